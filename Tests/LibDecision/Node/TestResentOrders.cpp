#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

constexpr size_t nodeCount = 4;
constexpr Duration warmUp = 15s;
constexpr Duration loadTime = 10s;
constexpr Duration longestDeadline = 25s;
constexpr double requestsPerSecond = 40;
const std::string service = "commission-desk";

struct ProcessFault {
    enum class Kind {
        Kill,
        // Killed, and restarted with a lower time of day.
        KillAndSetBack,
        Pause,
        // Messages and connections to the next process fail.
        Cut,
    };

    Kind kind { Kind::Kill };
    Duration at { 0 };
    Duration length { 0 };
    size_t node { 0 };
};

// Callers' requests that must not run twice, at processes that resend orders, while orders, answers and messages are
// delayed by seconds.
class ResentOrders {
public:
    ResentOrders(uint64_t seed, std::vector<ProcessFault> faults, bool areForwarded)
        : m_faults(std::move(faults))
        , m_fleet(seed, nodeCount, fleetOptions(areForwarded))
        , m_random(seed + 1)
    {
        m_fleet.fleet().cut = [this](size_t from, size_t to) { return m_cuts.contains({ from, to }); };
        for (size_t node = 0; node < nodeCount; ++node)
            m_fleet.backends()[m_fleet.addBackend(service, node)].serviceTime = 150ms;
    }

    void run()
    {
        m_fleet.runFor(warmUp);
        m_fleet.slowTransits = 0.2;
        m_fleet.fleet().faults.slowShare = 0.05;
        for (const auto& fault : m_faults)
            m_fleet.fleet().callLater(fault.at, [this, fault] { startFault(fault); });
        m_loadEnds = m_fleet.fleet().now() + loadTime;
        sendNext();
        m_fleet.runFor(loadTime + longestDeadline + 5s);
    }

    const NodeFleet& fleet() const { return m_fleet; }

private:
    static NodeFleetOptions fleetOptions(bool areForwarded)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = Revision(1);
        table->services.push_back({ ServiceName(service), "/health", 100 });
        Route route { "book", service + ".example", "/", { { ServiceName(service), 1 } } };
        route.timeout = longestDeadline;
        route.latencyObjective = 300ms;
        route.maximumAttempts = 3;
        table->routes.push_back(route);
        NodeFleetOptions options { .routing = RoutingMode::RouteTable, .routes = table, .areBackendsTied = true, .announcementInterval = 200ms };
        options.defaultProfile.health.floor = 1;
        options.defaultProfile.lifecycle.coldStart = 0s;
        options.defaultProfile.capacity.queueTimeout = 2s;
        options.defaultProfile.capacity.callerWait = 2s;
        options.defaultProfile.retries.settles = true;
        options.defaultProfile.retries.settlesThroughPeers = areForwarded;
        options.defaultProfile.retries.reroutes = 10;
        return options;
    }

    void startFault(const ProcessFault& fault)
    {
        auto node = fault.node % nodeCount;
        auto later = [&](auto action) { m_fleet.fleet().callLater(fault.length, action); };
        switch (fault.kind) {
        case ProcessFault::Kind::Kill:
            m_fleet.kill(node);
            later([this, node] { m_fleet.restart(node); });
            return;
        case ProcessFault::Kind::KillAndSetBack:
            m_fleet.kill(node);
            later([this, node] { m_fleet.restartInThePast(node); });
            return;
        case ProcessFault::Kind::Pause:
            m_fleet.pause(node, fault.length);
            return;
        case ProcessFault::Kind::Cut:
            std::pair cut { node, (node + 1) % nodeCount };
            m_cuts.insert(cut);
            later([this, cut] { m_cuts.erase(m_cuts.find(cut)); });
            return;
        }
    }

    void sendNext()
    {
        if (m_fleet.fleet().now() >= m_loadEnds)
            return;
        auto request = m_fleet.makeRequest(service, Method::Post);
        request.remaining = longestDeadline;
        m_fleet.send(std::uniform_int_distribution<size_t>(0, nodeCount - 1)(m_random), std::move(request));
        std::exponential_distribution<double> gap(requestsPerSecond);
        m_fleet.fleet().callLater(Duration(static_cast<int64_t>(gap(m_random) * 1e6)), [this] { sendNext(); });
    }

    std::vector<ProcessFault> m_faults;
    NodeFleet m_fleet;
    std::mt19937_64 m_random;
    std::multiset<std::pair<size_t, size_t>> m_cuts;
    Instant m_loadEnds;
};

std::vector<ProcessFault> arbitraryProcessFaults()
{
    std::vector<ProcessFault> faults(*rc::gen::inRange<size_t>(1, 8));
    for (auto& fault : faults) {
        fault.kind = *rc::gen::element(ProcessFault::Kind::Kill, ProcessFault::Kind::KillAndSetBack, ProcessFault::Kind::Pause, ProcessFault::Kind::Cut);
        fault.at = std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
        fault.length = std::chrono::milliseconds(*rc::gen::inRange(50, 6'000));
        fault.node = *rc::gen::inRange<size_t>(0, nodeCount);
    }
    return faults;
}

void expectOneRunAndTrueOutcomes(const NodeFleet& fleet)
{
    size_t answered = 0;
    for (const auto& request : fleet.requests()) {
        RC_ASSERT(request.runs <= 1u);
        RC_ASSERT(request.outcomeCount <= 1u);
        if (request.callerOutcome == CallerOutcome::NotRun)
            RC_ASSERT(request.runs == 0u);
        if (request.callerOutcome == CallerOutcome::Answered)
            RC_ASSERT(request.runs == 1u);
        answered += request.callerOutcome == CallerOutcome::Answered ? 1 : 0;
    }
    // Without answers the property would hold for a fleet that serves nothing.
    RC_ASSERT(answered > fleet.requests().size() / 4);
}

}

// Guards against docs/incidents/2026-12-06-resent-order.md: an order that is sent again and delayed in transit runs a second
// time at a restarted process, or a request that ran is reported as not run.
RC_GTEST_PROP(ResentOrderProperties, NothingRunsTwiceAndWhatRanIsNeverReportedAsNotRun, ())
{
    ResentOrders load(*rc::gen::arbitrary<uint64_t>(), arbitraryProcessFaults(), false);
    load.run();
    expectOneRunAndTrueOutcomes(load.fleet());
}

// A process that forwards orders may hold them for seconds and deliver them after their sender has given up.
RC_GTEST_PROP(ResentOrderProperties, ForwardedOrdersRunOnceAndWhatRanIsNeverReportedAsNotRun, ())
{
    ResentOrders load(*rc::gen::arbitrary<uint64_t>(), arbitraryProcessFaults(), true);
    load.run();
    expectOneRunAndTrueOutcomes(load.fleet());
}

// An answer that the sidecar keeps is of no use to a caller whose ingress doesn't reach it.
TEST(ForwardedOrders, MoreCallersGetTheirAnswersWhilePathsBetweenTwoProcessesAreCut)
{
    // Longer than any request may take.
    std::vector<ProcessFault> cuts { { ProcessFault::Kind::Cut, 1s, loadTime + longestDeadline, 0 }, { ProcessFault::Kind::Cut, 3s, loadTime + longestDeadline, 2 } };
    size_t direct = 0;
    size_t forwarded = 0;
    auto countUnknown = [](const ResentOrders& load) {
        return static_cast<size_t>(std::ranges::count(load.fleet().requests(), CallerOutcome::Unknown, &CallerRequest::callerOutcome));
    };
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        ResentOrders without(seed, cuts, false);
        without.run();
        direct += countUnknown(without);
        ResentOrders with(seed, cuts, true);
        with.run();
        forwarded += countUnknown(with);
    }
    EXPECT_GT(direct, 0u);
    EXPECT_LT(forwarded, direct);
}
