#pragma once

#include <chrono>

namespace Model {

// A length of time in microseconds.
using Duration = std::chrono::microseconds;

// Clock of the decision core. It can't be read: every instant is handed in by whoever drives the core.
struct CoreClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

// A monotonic point in time of one process. Instants of two processes can't be compared.
using Instant = CoreClock::time_point;

using namespace std::chrono_literals;

}
