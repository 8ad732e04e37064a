#pragma once

#include <LibDecision/Input.h>
#include <LibDecision/Turn.h>
#include <LibModel/Settings.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Decision {

class NodeState;

struct NodeOptions {
    // This process's own record. Its incarnation must be higher than that of any earlier start.
    MemberRecord self;
    // Control endpoints of processes through which to join the fleet.
    std::vector<Endpoint> seeds;
    // Seed of the random engine that all of the node's random choices use.
    uint64_t randomSeed { 0 };
    // Longest time that a leaving process waits for requests in flight.
    Duration leaveTimeout { std::chrono::seconds(30) };
    // How long a leaving process still accepts requests, so that callers have time to learn that it is leaving.
    Duration leaveNotice { 0 };
    // Maximum number of calls in flight.
    uint32_t concurrentCalls { 4096 };
    // How the service of a request is determined.
    RoutingMode routing { RoutingMode::ServiceHeader };
    // Applies to services without a published profile.
    Profile defaultProfile;
    TenantTerms tenants;
};

// The decision core of one process. It does no I/O: it takes inputs with the instants at which they occurred, and
// returns effects for its driver to carry out. It is deterministic: equal inputs, instants and seeds give equal
// effects. Instants must not decrease from call to call.
class Node {
public:
    // Throws DocumentError if a state chart is malformed.
    explicit Node(NodeOptions);
    ~Node();
    Node(Node&&) noexcept;
    Node& operator=(Node&&) noexcept;

    // Must be called once, before any input.
    EffectList start(Instant now);
    EffectList handle(Instant now, const Input&);
    // The instant at which the driver must pass in TimerFired. It may change with each input.
    std::optional<Instant> nextTimer() const;

    // The state of the node's components, for reports to operators.
    const NodeState& state() const;

private:
    std::unique_ptr<NodeState> m_state;
};

}
