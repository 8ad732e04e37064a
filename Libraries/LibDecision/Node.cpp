#include <LibDecision/Node.h>

#include <LibDecision/NodeState.h>

namespace Decision {

Node::Node(NodeOptions options)
    : m_state(std::make_unique<NodeState>(options))
{
}

Node::~Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;

EffectList Node::start(Instant now) { return m_state->start(now); }
EffectList Node::handle(Instant now, const Input& input) { return m_state->handle(now, input); }
std::optional<Instant> Node::nextTimer() const { return m_state->nextTimer(); }
const NodeState& Node::state() const { return *m_state; }

}
