#include <LibTransport/SuspendedTime.h>

#include <ctime>

namespace Transport {

static std::chrono::nanoseconds readClock(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

Model::Duration suspendedTime()
{
    // Results are subtracted from each other, so one that is too large could hide a suspension.
    constexpr auto permittedGap = std::chrono::microseconds(50);
    constexpr int maximumReadings = 5;
    auto smallestGap = std::chrono::nanoseconds::max();
    std::chrono::nanoseconds suspended {};
    for (int reading = 0; reading < maximumReadings && smallestGap > permittedGap; ++reading) {
        auto before = readClock(CLOCK_MONOTONIC);
        auto boot = readClock(CLOCK_BOOTTIME);
        auto gap = readClock(CLOCK_MONOTONIC) - before;
        if (gap >= smallestGap)
            continue;
        smallestGap = gap;
        suspended = boot - before;
    }
    return std::chrono::duration_cast<Model::Duration>(suspended);
}

}
