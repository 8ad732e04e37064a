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
    // How this process presents itself. Its incarnation must be higher than that of any earlier start.
    MemberRecord self;
    // Control endpoints to join through.
    std::vector<Endpoint> seeds;
    // Seeds every random choice of the node.
    uint64_t randomSeed { 0 };
    // Longest wait for requests in flight when the process leaves.
    Duration leaveTimeout { std::chrono::seconds(30) };
    // A leaving process goes on taking callers' requests for this time, until callers know that it leaves.
    Duration leaveNotice { 0 };
    // Calls that the process handles at once.
    uint32_t concurrentCalls { 4096 };
    // How the service of a request is found.
    RoutingMode routing { RoutingMode::ServiceHeader };
    // In force for services that picked no published profile.
    Profile defaultProfile;
};

// The whole decision core of one process, without any I/O: inputs and their instants go in, effects come out.
// The same inputs with the same seed give the same effects. Instants must not decrease.
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
    // The instant at which the driver owes the node a TimerFired. It may change with each input.
    std::optional<Instant> nextTimer() const;

    // The parts' state, for reports to operators.
    const NodeState& state() const;

private:
    std::unique_ptr<NodeState> m_state;
};

}
