#pragma once

#include <LibDecision/Membership/PeerSet.h>

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace Decision {

// Selects the member to probe next: every member once per round, in a random order for each round, so that the time
// until a member is probed is bounded.
class ProbeSchedule {
public:
    // Inserts a new member at a random position of the rest of the round.
    void add(const InstanceId&, std::mt19937_64&);
    // Returns std::nullopt if there are no peers. Members that aren't in the set are skipped.
    std::optional<InstanceId> next(const PeerSet&, std::mt19937_64&);

private:
    // The rest of the round; the last element is probed next.
    std::vector<InstanceId> m_round;
};

}
