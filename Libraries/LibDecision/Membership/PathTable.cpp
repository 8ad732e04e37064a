#include <LibDecision/Membership/PathTable.h>

#include <algorithm>

namespace Decision {

namespace {

    // More than one, since a single probe may be lost on a working path.
    constexpr uint32_t failuresUntilLost = 2;
    constexpr Duration failingPathProbeInterval = std::chrono::milliseconds(500);
    constexpr Duration firstLostPathProbeInterval = std::chrono::seconds(2);
    constexpr Duration maximumLostPathProbeInterval = std::chrono::seconds(30);

    Duration probeInterval(uint32_t failures)
    {
        if (failures < failuresUntilLost)
            return failingPathProbeInterval;
        constexpr uint32_t maximumDoublings = 4;
        auto doublings = std::min(failures - failuresUntilLost, maximumDoublings);
        return std::min(firstLostPathProbeInterval * (1 << doublings), maximumLostPathProbeInterval);
    }

}

bool PathTable::directProbeFailed(Instant now, const InstanceId& peer)
{
    return recordFailures(now, peer, 1);
}

bool PathTable::allProbesFailed(Instant now, const InstanceId& peer)
{
    return recordFailures(now, peer, failuresUntilLost);
}

bool PathTable::recordFailures(Instant now, const InstanceId& peer, uint32_t failures)
{
    auto& path = m_failingPaths[peer];
    path.failures += failures;
    m_probes.set(peer, now + probeInterval(path.failures));
    if (path.isLost || path.failures < failuresUntilLost)
        return false;
    path.isLost = true;
    return true;
}

bool PathTable::probeAnswered(const InstanceId& peer)
{
    auto wasLost = isLost(peer);
    forget(peer);
    return wasLost;
}

void PathTable::forget(const InstanceId& peer)
{
    m_failingPaths.erase(peer);
    m_probes.cancel(peer);
}

bool PathTable::isLost(const InstanceId& peer) const
{
    auto path = m_failingPaths.find(peer);
    return path != m_failingPaths.end() && path->second.isLost;
}

size_t PathTable::lostCount() const
{
    return std::ranges::count_if(m_failingPaths, [](const auto& item) { return item.second.isLost; });
}

}
