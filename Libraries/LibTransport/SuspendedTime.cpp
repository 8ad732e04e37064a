#include <LibTransport/SuspendedTime.h>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace Transport {

Model::Duration suspendedTime()
{
    timespec sinceBoot {};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    auto awake = std::chrono::steady_clock::now().time_since_epoch();
    auto total = std::chrono::seconds(sinceBoot.tv_sec) + std::chrono::nanoseconds(sinceBoot.tv_nsec);
    return std::max(Model::Duration(0), std::chrono::floor<Model::Duration>(total - awake));
}

}
