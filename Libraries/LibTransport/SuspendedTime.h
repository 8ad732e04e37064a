#pragma once

#include <LibModel/Time.h>

namespace Transport {

// Returns the time that the machine has spent suspended since its start, which the steady clock doesn't count.
Model::Duration suspendedTime();

}
