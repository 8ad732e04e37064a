#pragma once

#include <LibModel/Time.h>

namespace Transport {

// Returns the time that the machine has spent suspended since its start: the steady clock stands still meanwhile, the boot
// clock doesn't. The result is too large by less than the time between two readings of the clocks, of the order of a
// microsecond; a process that is interrupted in between reads again.
Model::Duration suspendedTime();

}
