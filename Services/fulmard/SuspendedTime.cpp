#include <Services/fulmard/SuspendedTime.h>

#include <ctime>

namespace Fulmard {

static std::chrono::nanoseconds readClock(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

Model::Duration readSuspendedTime()
{
    auto steady = readClock(CLOCK_MONOTONIC);
    return std::chrono::duration_cast<Model::Duration>(readClock(CLOCK_BOOTTIME) - steady);
}

}
