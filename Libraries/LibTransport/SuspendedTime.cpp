#include <LibTransport/SuspendedTime.h>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace Transport {

namespace {

    std::chrono::nanoseconds readClock(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

}

Model::Duration suspendedTime()
{
    // If the process is preempted between the two readings, the difference is too long, so the shortest one counts.
    constexpr int readings = 3;
    auto shortest = std::chrono::nanoseconds::max();
    for (int reading = 0; reading < readings; ++reading) {
        auto steady = readClock(CLOCK_MONOTONIC);
        shortest = std::min(shortest, readClock(CLOCK_BOOTTIME) - steady);
    }
    return std::chrono::duration_cast<Model::Duration>(shortest);
}

}
