#include "../Membership/MemberProcess.h"

#include <LibDecision/Configuration/RouteConfiguration.h>
#include <LibDecision/Membership/RecordSize.h>

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <set>
#include <vector>

using namespace Testing;

namespace {

// Time within which a published table must be in force in every process that is in touch.
constexpr Duration adoptionBound = 2s;

// A process with membership and routes.
class RouteProcess {
public:
    RouteProcess(const MemberRecord& self, const std::vector<Endpoint>& seeds, uint64_t randomSeed)
        : m_random(randomSeed)
        , m_membership({ self, seeds })
        , m_routes(RoutingMode::RouteTable, self, m_membership, m_profiles)
    {
    }

    EffectList start(Instant now)
    {
        return inTurn(now, [&](Turn& turn) {
            m_membership.start(turn);
            m_routes.start(turn);
        });
    }

    EffectList handle(Instant now, const Input& input)
    {
        return inTurn(now, [&](Turn& turn) {
            if (const auto* received = std::get_if<MessageReceived>(&input)) {
                m_membership.receive(turn, received->message);
                m_routes.receive(turn, received->message);
            } else if (const auto* replied = std::get_if<PlatformReplied>(&input)) {
                m_routes.handleReply(turn, replied->reply);
            } else if (std::holds_alternative<TimerFired>(input)) {
                m_membership.handleTimer(turn);
                m_routes.handleTimer(turn);
            }
        });
    }

    std::optional<Instant> nextTimer() const { return earliest(m_membership.nextTimer(), m_routes.nextTimer()); }
    Revision routesVersion() const { return m_routes.version(); }
    const RouteTable* table() const { return m_routes.table(); }

private:
    template <typename Action>
    EffectList inTurn(Instant now, const Action& action)
    {
        Turn turn(now, m_random, m_lastTag);
        action(turn);
        m_membership.spread(turn, turn.takeRumors());
        return turn.takeEffects();
    }

    std::mt19937_64 m_random;
    PlatformTag m_lastTag;
    Membership m_membership;
    ProfileRegistry m_profiles;
    RouteConfiguration m_routes;
};

// A fleet whose platform holds one route table.
class RouteFleet {
public:
    RouteFleet(size_t count, size_t zones, uint64_t seed)
        : m_fleet(seed)
    {
        m_fleet.onEffect = [this](size_t process, const Effect& effect) {
            if (const auto* call = std::get_if<CallPlatform>(&effect))
                forward(process, *call);
        };
        m_layout.zones = zones;
        for (size_t index = 0; index < count; ++index) {
            auto record = m_layout.record(index, 1);
            m_fleet.start(record, std::make_unique<RouteProcess>(record, seedsOf(m_layout), m_fleet.random()()));
        }
        publish();
        m_fleet.runFor(10s);
    }

    void publish()
    {
        ++m_version;
        for (const auto& [process, call] : std::exchange(m_watches, {})) {
            if (!deafWatchers.contains(process))
                answer(process, call);
        }
    }

    bool isInForceEverywhere()
    {
        for (size_t index = 0; index < m_fleet.size(); ++index) {
            if (m_fleet.process(index).routesVersion() != Revision(m_version))
                return false;
        }
        return true;
    }

    void runFor(Duration duration) { m_fleet.runFor(duration); }
    size_t calls() const { return m_calls; }
    std::vector<size_t> watchers() const
    {
        std::vector<size_t> processes;
        std::ranges::transform(m_watches, std::back_inserter(processes), [](const auto& watch) { return watch.first; });
        return processes;
    }
    FakeFleet<RouteProcess>& fleet() { return m_fleet; }

    // Processes that the platform turns away.
    std::set<size_t> turnedAway;
    // Processes whose watches are never answered; what they ask from then on is.
    std::set<size_t> deafWatchers;
    size_t routes { 1 };
    size_t tenants { 0 };

private:
    void forward(size_t process, const CallPlatform& call)
    {
        const auto* watch = std::get_if<WatchRoutes>(&call.operation);
        if (!watch)
            return;
        ++m_calls;
        if (turnedAway.contains(process)) {
            m_fleet.deliverLater(process, 5ms, PlatformReplied { { .tag = call.tag, .status = PlatformStatus::NoAnswer } });
        } else if (watch->index == m_version) {
            m_watches.emplace_back(process, call);
            m_fleet.callLater(watch->wait, [this, process, call] {
                if (std::erase_if(m_watches, [&](const auto& waiting) { return waiting.first == process && waiting.second.tag == call.tag; }) > 0)
                    answer(process, call);
            });
        } else {
            answer(process, call);
        }
    }

    void answer(size_t process, const CallPlatform& call)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = Revision(m_version);
        table->services.push_back({ ServiceName("desk"), "/health", 10 });
        for (size_t route = 0; route < routes; ++route) {
            auto name = std::to_string(route);
            table->routes.push_back({ "r" + name, "office.example", "/" + name + "/", { { ServiceName("desk"), 1 } } });
        }
        for (size_t tenant = 0; tenant < tenants; ++tenant)
            table->tenants.push_back({ AccountId("tenant-" + std::to_string(tenant)), { std::to_string(tenant) + std::string(64, 'a') } });
        m_fleet.deliverLater(process, 5ms, PlatformReplied { { .tag = call.tag, .status = PlatformStatus::Done, .index = m_version, .routes = table } });
    }

    FleetLayout m_layout;
    FakeFleet<RouteProcess> m_fleet;
    uint64_t m_version { 0 };
    size_t m_calls { 0 };
    std::vector<std::pair<size_t, CallPlatform>> m_watches;
};

}

// Every call to the platform is paid for, waiting watches too.
TEST(RouteConfiguration, OnlyAFewProcessesOfAFleetCallThePlatform)
{
    constexpr size_t processes = 120;
    RouteFleet fleet(processes, 3, 1);
    auto callsAtStart = fleet.calls();
    EXPECT_LE(callsAtStart, processes + 3 * RouteConfiguration::watchersPerZone);
    fleet.runFor(60s);
    constexpr size_t watchesPerMinute = 3;
    EXPECT_LE(fleet.calls() - callsAtStart, watchesPerMinute * 3 * RouteConfiguration::watchersPerZone);
}

TEST(RouteConfiguration, ATableReachesThreeHundredProcessesInTime)
{
    RouteFleet fleet(300, 5, 1);
    fleet.publish();
    fleet.runFor(adoptionBound);
    EXPECT_TRUE(fleet.isInForceEverywhere());
}

RC_GTEST_PROP(RouteConfiguration, ATableReachesProcessesThatThePlatformTurnsAway, ())
{
    RouteFleet fleet(40, 4, *rc::gen::arbitrary<uint64_t>());
    for (size_t process = 0; process < 40; ++process) {
        if (*rc::gen::element(true, false, false))
            fleet.turnedAway.insert(process);
    }
    for (int change = 0; change < 3; ++change) {
        fleet.publish();
        fleet.runFor(adoptionBound);
        RC_ASSERT(fleet.isInForceEverywhere());
    }
}

RC_GTEST_PROP(RouteConfiguration, ATableThatPeersAnnounceButDoNotDeliverIsReadFromThePlatform, ())
{
    RouteFleet fleet(20, 2, *rc::gen::arbitrary<uint64_t>());
    auto& random = fleet.fleet().random();
    auto lossPercent = *rc::gen::inRange(50, 101);
    fleet.fleet().loses = [&random, lossPercent](const SendMessage& message) {
        return std::holds_alternative<RouteTablePart>(message.body) && std::uniform_int_distribution(0, 99)(random) < lossPercent;
    };
    for (int change = 0; change < 3; ++change) {
        // One watcher hears of the change.
        auto watchers = fleet.watchers();
        std::copy_if(watchers.begin() + 1, watchers.end(), std::inserter(fleet.deafWatchers, fleet.deafWatchers.end()), [](size_t) { return *rc::gen::arbitrary<bool>(); });
        fleet.publish();
        fleet.runFor(adoptionBound);
        RC_ASSERT(fleet.isInForceEverywhere());
        fleet.deafWatchers.clear();
    }
}

RC_GTEST_PROP(RouteConfiguration, ATableOfManyPartsArrivesInSpiteOfLosses, ())
{
    RouteFleet fleet(12, 1, *rc::gen::arbitrary<uint64_t>());
    fleet.routes = 3 * RouteConfiguration::routesPerPart;
    fleet.fleet().faults.loss = 0.3;
    fleet.publish();
    fleet.runFor(adoptionBound);
    RC_ASSERT(fleet.isInForceEverywhere());
}

// Tenants that are lost between processes would get 401 there; parts beyond the message limit would never arrive.
TEST(RouteConfiguration, ATableWithSeventyFiveThousandTenantsArrivesWholeInMessagesBelowTheLimit)
{
    constexpr size_t messageLimit = 256 * 1024;
    RouteFleet fleet(8, 1, 1);
    fleet.routes = 2 * RouteConfiguration::routesPerPart;
    fleet.tenants = 75'000;
    size_t largest = 0;
    fleet.fleet().loses = [&](const SendMessage& message) {
        if (std::holds_alternative<RouteTablePart>(message.body))
            largest = std::max(largest, estimatedSize(message.body));
        return false;
    };
    fleet.publish();
    fleet.runFor(adoptionBound);
    EXPECT_TRUE(fleet.isInForceEverywhere());
    EXPECT_GT(largest, 0u);
    EXPECT_LT(largest, messageLimit);
    for (size_t index = 0; index < fleet.fleet().size(); ++index)
        EXPECT_EQ(fleet.fleet().process(index).table()->tenants.size(), fleet.tenants);
}

// A process that is merely behind for a moment must not call the platform, since changes may follow each other closely.
TEST(RouteConfiguration, ChangesInQuickSuccessionAreReadByTheWatchersOnly)
{
    constexpr size_t changes = 50;
    RouteFleet fleet(120, 3, 1);
    auto callsAtStart = fleet.calls();
    for (size_t change = 0; change < changes; ++change) {
        fleet.publish();
        fleet.runFor(60ms);
    }
    fleet.runFor(adoptionBound);
    EXPECT_TRUE(fleet.isInForceEverywhere());
    EXPECT_LE(fleet.calls() - callsAtStart, (changes + 1) * 3 * RouteConfiguration::watchersPerZone);
}
