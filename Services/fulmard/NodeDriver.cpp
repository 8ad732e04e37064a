#include <Services/fulmard/NodeDriver.h>

#include <LibDecision/NodeState.h>
#include <LibTransport/SuspendedTime.h>

namespace Fulmard {

NodeDriver::NodeDriver(Transport::EventLoop& loop, Decision::NodeOptions options, EffectHandler handler)
    : m_loop(loop)
    , m_node(std::move(options))
    , m_handler(std::move(handler))
    , m_suspendedTime(Transport::suspendedTime())
{
}

NodeDriver::~NodeDriver()
{
    if (m_timer)
        m_loop.cancelTimer(*m_timer);
}

void NodeDriver::start()
{
    m_isDraining = true;
    carryOut(m_node.start(m_loop.now()));
    carryOut(m_node.handle(m_loop.now(), Decision::SuspensionObserved { m_suspendedTime }));
    m_isDraining = false;
    drain();
}

void NodeDriver::handle(Decision::Input input)
{
    m_inputs.push_back(std::move(input));
    if (!m_isDraining)
        drain();
}

void NodeDriver::drain()
{
    m_isDraining = true;
    while (!m_inputs.empty()) {
        auto input = std::move(m_inputs.front());
        m_inputs.pop_front();
        observeSuspension();
        if (auto* arrived = std::get_if<Decision::CallArrived>(&input))
            arrived->suspendedTime = m_suspendedTime;
        else if (auto* message = std::get_if<Decision::MessageReceived>(&input))
            message->suspendedTime = m_suspendedTime;
        carryOut(m_node.handle(m_loop.now(), input));
    }
    m_isDraining = false;
    setTimer();
}

void NodeDriver::observeSuspension()
{
    // Only proofs of the configuration and quotas, which depend on tenants, outlive a suspension.
    if (!m_node.state().routes().tenants().hasTenants())
        return;
    auto suspendedTime = Transport::suspendedTime();
    if (suspendedTime <= m_suspendedTime)
        return;
    m_suspendedTime = suspendedTime;
    carryOut(m_node.handle(m_loop.now(), Decision::SuspensionObserved { suspendedTime }));
}

void NodeDriver::carryOut(const Decision::EffectList& effects)
{
    for (const auto& effect : effects)
        m_handler(effect);
}

void NodeDriver::setTimer()
{
    auto next = m_node.nextTimer();
    if (next == m_timerAt)
        return;
    if (m_timer)
        m_loop.cancelTimer(*m_timer);
    m_timer.reset();
    m_timerAt = next;
    if (!next)
        return;
    m_timer = m_loop.callAt(*next, [this] {
        m_timer.reset();
        m_timerAt.reset();
        handle(Decision::TimerFired {});
    });
}

}
