#pragma once

#include <LibModel/Time.h>

namespace Transport {

// Returns the time that the machine has spent suspended since its start, which the steady clock doesn't count: the
// difference of CLOCK_BOOTTIME and the steady clock. If the process is interrupted between the two readings, the result
// is too low by that time, never too high.
Model::Duration suspendedTime();

}
