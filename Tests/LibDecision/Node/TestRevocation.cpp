#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

constexpr Duration bound = 5s;
constexpr size_t zones = 3;

std::shared_ptr<const RouteTable> tableOf(uint64_t version)
{
    auto table = std::make_shared<RouteTable>();
    table->version = Revision(version);
    table->services.push_back({ ServiceName("desk"), "/health", 10 });
    table->routes.push_back({ "desk", "desk.example", "/", { { ServiceName("desk"), 1 } } });
    table->tenants.push_back({ AccountId("tenant"), { std::string(64, 'a') } });
    return table;
}

NodeFleetOptions strictOptions(Duration revocationBound = bound)
{
    NodeFleetOptions options;
    options.routing = RoutingMode::RouteTable;
    options.routes = tableOf(1);
    options.tenants.hasStrictRevocation = true;
    options.tenants.revocationBound = revocationBound;
    return options;
}

// A fleet under strict revocation. Each published table counts as one that revokes the keys of those before it.
class RevocationFleet {
public:
    RevocationFleet(uint64_t seed, size_t nodes, const NodeFleetOptions& options = strictOptions())
        : fleet(seed, nodes, options)
        , m_count(nodes)
    {
        fleet.fleet().cut = [this](size_t from, size_t to) { return cuts.contains({ from, to }); };
        m_confirmedAt[1] = fleet.fleet().now();
    }

    void publish()
    {
        auto version = m_confirmedAt.rbegin()->first + 1;
        m_confirmedAt[version] = fleet.fleet().now();
        fleet.publish(tableOf(version));
    }

    bool isProven(size_t node)
    {
        auto& processes = fleet.fleet();
        return processes.isRunning(node) && !fleet.state(node).configurationProof().refusal(processes.localNow(node));
    }

    // Sends a request with a key. Returns whether it was accepted; one to a process that is down or paused isn't sent.
    bool isAccepted(size_t node)
    {
        if (!fleet.fleet().isRunning(node) || fleet.fleet().isPaused(node) || fleet.hasLeft(node) || fleet.state(node).isLeaving())
            return false;
        auto request = fleet.send(node, fleet.makeRequest("desk", Method::Get), std::string(64, 'a'));
        auto reason = fleet.requests()[request].reason;
        return reason != Reason::ConfigurationUnproven && reason != Reason::NotConfigured;
    }

    // Returns how many processes accept a request under a table that was replaced longer ago than the bound.
    size_t violations()
    {
        size_t count = 0;
        for (size_t node = 0; node < m_count; ++node) {
            if (!isAccepted(node))
                continue;
            auto next = m_confirmedAt.upper_bound(fleet.state(node).routes().version().value());
            count += next != m_confirmedAt.end() && fleet.fleet().now() > next->second + bound ? 1 : 0;
        }
        return count;
    }

    bool isProvenEverywhere()
    {
        for (size_t node = 0; node < m_count; ++node) {
            if (!isProven(node))
                return false;
        }
        return true;
    }

    void cutOff(size_t node, Duration length)
    {
        for (size_t other = 0; other < m_count; ++other) {
            cuts.insert({ node, other });
            cuts.insert({ other, node });
        }
        fleet.fleet().callLater(length, [this, node] { std::erase_if(cuts, [node](const auto& cut) { return cut.first == node || cut.second == node; }); });
    }

    NodeFleet fleet;
    std::set<std::pair<size_t, size_t>> cuts;

private:
    size_t m_count;
    std::map<uint64_t, Instant> m_confirmedAt;
};

enum class RevocationFault {
    // Neither the store nor any process is in touch with it.
    Isolated,
    CutOff,
    CutOneWay,
    Pause,
    Suspend,
    Restart,
    SilentStore,
    TurnedAway,
    StoreDown,
    StoreRestored,
    BadNetwork,
    NewTable,
    Last,
};

struct FaultStep {
    RevocationFault kind { RevocationFault::NewTable };
    Duration at { 0 };
    Duration length { 0 };
    size_t node { 0 };
};

constexpr size_t nodeCount = 7;

void inject(RevocationFleet& revocation, const FaultStep& step)
{
    auto& fleet = revocation.fleet;
    auto later = [&](std::function<void()> action) { fleet.fleet().callLater(step.length, std::move(action)); };
    // A change that the affected process may miss.
    fleet.fleet().callLater(500ms, [&revocation] { revocation.publish(); });
    switch (step.kind) {
    case RevocationFault::Isolated:
        revocation.cutOff(step.node, step.length);
        fleet.nodesWithSilentStore.insert(step.node);
        return later([&fleet, node = step.node] { fleet.nodesWithSilentStore.erase(node); });
    case RevocationFault::CutOff:
        return revocation.cutOff(step.node, step.length);
    case RevocationFault::CutOneWay: {
        std::pair cut { step.node, (step.node + 1) % nodeCount };
        revocation.cuts.insert(cut);
        return later([&revocation, cut] { revocation.cuts.erase(cut); });
    }
    case RevocationFault::Pause:
        if (fleet.fleet().isRunning(step.node) && !fleet.fleet().isPaused(step.node))
            fleet.pause(step.node, step.length);
        return;
    case RevocationFault::Suspend:
        return fleet.suspend(step.node, step.length);
    case RevocationFault::Restart:
        fleet.kill(step.node);
        return later([&fleet, node = step.node] { fleet.restart(node); });
    case RevocationFault::SilentStore:
        fleet.nodesWithSilentStore.insert(step.node);
        return later([&fleet, node = step.node] { fleet.nodesWithSilentStore.erase(node); });
    case RevocationFault::TurnedAway:
        fleet.nodesTurnedAway.insert(step.node);
        return later([&fleet, node = step.node] { fleet.nodesTurnedAway.erase(node); });
    case RevocationFault::StoreDown:
        fleet.isPlatformDown = true;
        return later([&fleet] { fleet.isPlatformDown = false; });
    case RevocationFault::StoreRestored:
        // The copy is some seconds old, and the operator writes again within the bound.
        fleet.platform().takeSnapshot();
        return later([&revocation] {
            revocation.fleet.restorePlatform();
            revocation.fleet.fleet().callLater(2s, [&revocation] { revocation.publish(); });
        });
    case RevocationFault::BadNetwork:
        fleet.fleet().faults = { 0.2, 0.2, 500us, 900ms };
        return later([&fleet] { fleet.fleet().faults = {}; });
    case RevocationFault::NewTable:
    case RevocationFault::Last:
        return revocation.publish();
    }
}

// Numbers of the whole range also in the first schedules, which would otherwise have short faults only.
int anyOf(int from, int to) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to)); }

std::vector<FaultStep> arbitrarySteps()
{
    std::vector<FaultStep> steps(static_cast<size_t>(anyOf(1, 7)));
    for (auto& step : steps) {
        step.kind = static_cast<RevocationFault>(anyOf(0, static_cast<int>(RevocationFault::Last)));
        step.at = std::chrono::milliseconds(anyOf(0, 12'000));
        step.length = std::chrono::milliseconds(anyOf(100, 12'000));
        step.node = static_cast<size_t>(anyOf(0, nodeCount));
    }
    return steps;
}

}

// Guards against a request that is accepted with a revoked key, whatever has failed.
RC_GTEST_PROP(Revocation, NoProcessAcceptsAKeyLaterThanTheBound, ())
{
    RevocationFleet revocation(*rc::gen::arbitrary<uint64_t>(), nodeCount);
    revocation.fleet.runFor(8s);
    auto steps = arbitrarySteps();
    for (const auto& step : steps)
        revocation.fleet.fleet().callLater(step.at, [&revocation, step] { inject(revocation, step); });
    for (int tick = 0; tick < 300; ++tick) {
        revocation.fleet.runFor(100ms);
        RC_ASSERT(revocation.violations() == 0u);
    }
    // Refusals end with the faults.
    revocation.fleet.runFor(12s);
    for (size_t node = 0; node < nodeCount; ++node)
        revocation.fleet.restart(node);
    revocation.fleet.runFor(8s);
    RC_ASSERT(revocation.isProvenEverywhere());
}

// Guards against refusals without any fault, and against the cost of proofs.
TEST(Revocation, ACalmFleetIsProvenAllTheTimeWithFewReads)
{
    constexpr size_t nodes = 90;
    RevocationFleet revocation(1, nodes);
    revocation.fleet.runFor(10s);
    revocation.fleet.confirmations = 0;
    size_t messages = 0;
    std::vector<size_t> answers(nodes);
    revocation.fleet.fleet().onSend = [&](size_t from, const SendMessage& message) {
        messages += std::holds_alternative<ConfigurationProofRequest>(message.body) ? 1 : 0;
        answers[from] += std::holds_alternative<ConfigurationProofReply>(message.body) ? 1 : 0;
    };
    constexpr int seconds = 60;
    Duration oldest { 0 };
    for (int tick = 0; tick < seconds * 10; ++tick) {
        revocation.fleet.runFor(100ms);
        if (tick % 100 == 0)
            revocation.publish();
        for (size_t node = 0; node < nodes; ++node) {
            ASSERT_TRUE(revocation.isProven(node)) << node << " after " << tick;
            oldest = std::max(oldest, *revocation.fleet.state(node).configurationProof().age(revocation.fleet.fleet().now()));
        }
    }
    EXPECT_LE(oldest, 2200ms);
    // Each takes one or two reads.
    EXPECT_LE(static_cast<double>(revocation.fleet.confirmations), 1.1 * zones * seconds);
    EXPECT_LE(messages, 2 * nodes * seconds);
    EXPECT_LE(*std::ranges::max_element(answers), 40 * seconds);
    RecordProperty("reads", static_cast<int>(revocation.fleet.confirmations));
    RecordProperty("requests", static_cast<int>(messages));
    RecordProperty("oldestProofInMilliseconds", static_cast<int>(oldest / 1ms));
}

// Guards against a proof that is needed but comes late: after a suspension, a cut or a start.
TEST(Revocation, AProcessThatComesBackIsProvenSoon)
{
    RevocationFleet revocation(2, 12);
    auto& fleet = revocation.fleet;
    fleet.runFor(10s);
    fleet.suspend(4, 20s);
    fleet.runFor(20s);
    EXPECT_FALSE(revocation.isProven(4)) << "time spent suspended counts";
    fleet.runFor(100ms);
    EXPECT_TRUE(revocation.isProven(4));
    revocation.cutOff(5, 20s);
    fleet.nodesWithSilentStore.insert(5);
    fleet.runFor(19s);
    EXPECT_FALSE(revocation.isProven(5));
    EXPECT_FALSE(revocation.isAccepted(5));
    fleet.runFor(1500ms);
    EXPECT_TRUE(revocation.isProven(5));
    fleet.kill(6);
    fleet.runFor(10s);
    fleet.restart(6);
    fleet.runFor(1s);
    EXPECT_TRUE(revocation.isProven(6));
    EXPECT_TRUE(revocation.isAccepted(6));
}

// Guards against refusals while the store refuses most machines, or a zone's reader has died.
TEST(Revocation, ProofsPassFromThoseThatTheStoreServes)
{
    RevocationFleet revocation(3, 12);
    auto& fleet = revocation.fleet;
    fleet.runFor(10s);
    for (size_t node = 1; node < 12; ++node)
        (node % 2 ? fleet.nodesWithSilentStore : fleet.nodesTurnedAway).insert(node);
    for (int tick = 0; tick < 100; ++tick) {
        fleet.runFor(100ms);
        EXPECT_TRUE(revocation.isProvenEverywhere()) << tick;
    }
}

// Guards against a proof from a store that came back from a copy and lacks the newest table.
TEST(Revocation, AStoreThatCameBackFromACopyProvesNothingUntilItIsWrittenAgain)
{
    constexpr size_t isolated = 3;
    RevocationFleet revocation(5, nodeCount);
    auto& fleet = revocation.fleet;
    auto countViolations = [&] {
        size_t count = 0;
        for (int tick = 0; tick < 20; ++tick) {
            fleet.runFor(100ms);
            count += revocation.violations();
        }
        return count;
    };
    fleet.runFor(8s);
    revocation.cutOff(isolated, 60s);
    fleet.nodesWithSilentStore.insert(isolated);
    fleet.runFor(200ms);
    fleet.platform().takeSnapshot();
    revocation.publish();
    fleet.runFor(4500ms);
    fleet.restorePlatform();
    fleet.nodesWithSilentStore.erase(isolated);
    EXPECT_EQ(countViolations(), 0u);
    // A restarted process doesn't know that the era has risen.
    fleet.kill(isolated);
    fleet.restart(isolated);
    EXPECT_EQ(countViolations(), 0u);
    EXPECT_EQ(fleet.state(isolated).routes().version(), Revision(1));
    EXPECT_FALSE(revocation.isProven(isolated));
    revocation.publish();
    fleet.runFor(5s);
    EXPECT_TRUE(revocation.isProvenEverywhere());
}

// Guards against refusals where the platform scales its bounds down.
TEST(Revocation, AShortBoundIsKeptWithoutRefusals)
{
    RevocationFleet revocation(6, 20, strictOptions(2s));
    revocation.fleet.runFor(10s);
    for (int tick = 0; tick < 200; ++tick) {
        revocation.fleet.runFor(50ms);
        EXPECT_TRUE(revocation.isProvenEverywhere()) << tick;
    }
}

// Guards against cost where the feature isn't asked for.
TEST(Revocation, WithoutStrictRevocationNothingIsSentOrRead)
{
    auto options = strictOptions();
    options.tenants.hasStrictRevocation = false;
    RevocationFleet revocation(4, 6, options);
    size_t messages = 0;
    revocation.fleet.fleet().onSend = [&](size_t, const SendMessage& message) {
        messages += std::holds_alternative<ConfigurationProofRequest>(message.body) || std::holds_alternative<ConfigurationProofReply>(message.body) ? 1 : 0;
    };
    revocation.fleet.runFor(20s);
    EXPECT_EQ(messages + revocation.fleet.confirmations, 0u);
    EXPECT_TRUE(revocation.isAccepted(0));
}
