#pragma once

#include <LibDecision/TimerQueue.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

using namespace Model;

// Tracks which members this process itself can't reach, regardless of their state in the fleet. A link may be cut in
// one direction only, or between two processes only.
class PathTable {
public:
    // Records a probe that the member answered only indirectly. Returns true if this makes the path lost.
    bool directProbeFailed(Instant now, const InstanceId&);
    // Records a probe that the member answered neither directly nor indirectly. Returns true if this makes the path
    // lost.
    bool allProbesFailed(Instant now, const InstanceId&);
    // Records that the member answered a direct probe. Returns true if the path was lost before.
    bool probeAnswered(const InstanceId&);
    void forget(const InstanceId&);

    bool isLost(const InstanceId&) const;
    size_t lostCount() const;

    std::optional<Instant> nextProbe() const { return m_probes.next(); }
    // Removes and returns the members with a failing or lost path whose next probe is due.
    std::vector<InstanceId> takeDueProbes(Instant now) { return m_probes.takeDue(now); }

private:
    struct Path {
        uint32_t failures { 0 };
        bool isLost { false };
    };

    bool recordFailures(Instant now, const InstanceId&, uint32_t failures);

    std::unordered_map<InstanceId, Path> m_failingPaths;
    TimerQueue<InstanceId> m_probes;
};

}
