#pragma once

#include <LibModel/Time.h>

namespace Fulmard {

// Returns the time that the machine has spent suspended since its start: the steady clock stands still meanwhile, the boot
// clock doesn't. The boot clock is read last, so that the result is never too small.
Model::Duration readSuspendedTime();

}
