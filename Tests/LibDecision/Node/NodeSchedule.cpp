#include "NodeSchedule.h"

#include <algorithm>

namespace Testing {

namespace {

    const std::string service = "commission-desk";
    constexpr Duration warmUp = 15s;
    constexpr Duration longestDeadline = 2s;
    constexpr Duration settleTime = 10s;
    constexpr double requestsPerSecond = 60;
    constexpr size_t maximumResends = 4;

}

NodeSchedule::NodeSchedule(uint64_t seed, std::vector<NodeFault> faults)
    : m_faults(std::move(faults))
    , m_fleet(seed, nodeCount)
    , m_random(seed + 1)
{
    m_fleet.fleet().cut = [this](size_t from, size_t to) { return m_cuts.contains({ from, to }); };
    for (size_t node = 0; node < nodeCount; ++node) {
        for (size_t backend = 0; backend < backendsPerNode; ++backend)
            m_fleet.addBackend(service, node);
    }
}

bool NodeSchedule::hasFault(NodeFaultKind kind) const
{
    return std::ranges::find(m_faults, kind, &NodeFault::kind) != m_faults.end();
}

void NodeSchedule::run()
{
    m_fleet.runFor(warmUp);
    m_loadEnds = m_fleet.fleet().now() + loadTime;
    for (const auto& fault : m_faults)
        m_fleet.fleet().callLater(fault.at, [this, fault] { startFault(fault); });
    sendNext();
    m_fleet.runFor(loadTime + longestDeadline + settleTime);
}

void NodeSchedule::injectBackendFaults(const NodeFault& fault, const BackendFaults& simulatedFaults)
{
    auto backend = fault.first % m_fleet.backends().size();
    m_fleet.backends()[backend].simulatedFaults = simulatedFaults;
    m_fleet.fleet().callLater(fault.length, [this, backend] { m_fleet.backends()[backend].simulatedFaults = {}; });
}

void NodeSchedule::startFault(const NodeFault& fault)
{
    auto& fleet = m_fleet.fleet();
    auto node = fault.first % nodeCount;
    auto other = (node + 1 + fault.second % (nodeCount - 1)) % nodeCount;
    switch (fault.kind) {
    case NodeFaultKind::Kill:
        m_fleet.kill(node);
        fleet.callLater(fault.length, [this, node] { m_fleet.restart(node); });
        break;
    case NodeFaultKind::Leave:
        m_fleet.leave(node);
        fleet.callLater(fault.length + 22s, [this, node] { m_fleet.restart(node); });
        break;
    case NodeFaultKind::Pause:
        m_fleet.pause(node, fault.length);
        break;
    case NodeFaultKind::CutOneWay:
        m_cuts.insert({ node, other });
        fleet.callLater(fault.length, [this, node, other] { m_cuts.erase(m_cuts.find({ node, other })); });
        break;
    case NodeFaultKind::BadNetwork:
        fleet.faults = { 0.2, 0.2, 500us, 80ms };
        fleet.callLater(fault.length, [this] { m_fleet.fleet().faults = {}; });
        break;
    case NodeFaultKind::PlatformDown:
        m_fleet.isPlatformDown = true;
        fleet.callLater(fault.length, [this] { m_fleet.isPlatformDown = false; });
        break;
    case NodeFaultKind::PlatformRepliesLost:
        m_fleet.lostPlatformReplies = 0.5;
        fleet.callLater(fault.length, [this] { m_fleet.lostPlatformReplies = 0; });
        break;
    case NodeFaultKind::BackendSlow:
        injectBackendFaults(fault, { .slowFactor = 10 });
        break;
    case NodeFaultKind::BackendStuck:
        injectBackendFaults(fault, { .isStuck = true });
        break;
    case NodeFaultKind::BackendErrors:
        injectBackendFaults(fault, { .errorShare = 0.5 });
        break;
    case NodeFaultKind::BackendCuts:
        injectBackendFaults(fault, { .cutShare = 0.5 });
        break;
    case NodeFaultKind::BackendCrash:
        injectBackendFaults(fault, { .crashFingerprint = std::hash<std::string> {}("key-3") });
        break;
    case NodeFaultKind::BackendDrain:
        m_fleet.drain(fault.first % m_fleet.backends().size());
        break;
    }
}

void NodeSchedule::sendNext()
{
    auto& fleet = m_fleet.fleet();
    if (fleet.now() >= m_loadEnds)
        return;
    auto node = std::uniform_int_distribution<size_t>(0, nodeCount - 1)(m_random);
    auto kind = std::uniform_int_distribution<int>(0, 9)(m_random);
    if (kind < 5)
        m_fleet.send(node, m_fleet.makeRequest(service, Method::Get));
    else if (kind < 7)
        m_fleet.send(node, m_fleet.makeRequest(service, Method::Post));
    else if (kind < 8)
        m_fleet.callerGone(m_fleet.send(node, m_fleet.makeRequest(service, Method::Post)));
    else
        resend("key-" + std::to_string(++m_lastKey), maximumResends);

    std::exponential_distribution<double> gap(requestsPerSecond);
    fleet.callLater(Duration(static_cast<int64_t>(gap(m_random) * 1e6)), [this] { sendNext(); });
}

void NodeSchedule::resend(const std::string& key, size_t times)
{
    if (times == 0)
        return;
    auto node = std::uniform_int_distribution<size_t>(0, nodeCount - 1)(m_random);
    m_fleet.send(node, m_fleet.makeRequest(service, Method::Post, key));
    auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 1500)(m_random));
    m_fleet.fleet().callLater(delay, [this, key, times] { resend(key, times - 1); });
}

}
