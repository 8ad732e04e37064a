#pragma once

#include <LibDecision/Node.h>
#include <LibTransport/EventLoop.h>

#include <deque>
#include <functional>
#include <optional>

namespace Fulmard {

// Feeds the decision core from the event loop: hands in inputs one after another, carries out effects in their
// order, and keeps one timer set for the core.
class NodeDriver {
public:
    using EffectHandler = std::function<void(const Decision::Effect&)>;

    NodeDriver(Transport::EventLoop&, Decision::NodeOptions, EffectHandler);
    ~NodeDriver();
    NodeDriver(const NodeDriver&) = delete;
    NodeDriver& operator=(const NodeDriver&) = delete;

    void start();
    // Takes an input; one that arises while effects are carried out waits until they are.
    void handle(Decision::Input);

    const Decision::Node& node() const { return m_node; }

private:
    void drain();
    // Tells the core that the machine was suspended, if it was since the last input.
    void observeSuspension();
    void carryOut(const Decision::EffectList&);
    void setTimer();

    Transport::EventLoop& m_loop;
    Decision::Node m_node;
    EffectHandler m_handler;
    std::deque<Decision::Input> m_inputs;
    bool m_isDraining { false };
    Model::Duration m_suspendedTime;
    std::optional<Transport::TimerId> m_timer;
    std::optional<Model::Instant> m_timerAt;
};

}
