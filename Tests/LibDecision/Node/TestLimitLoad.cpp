#include "ArbitraryFaults.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

// Two kinds of requests for one service, of which one is more urgent. All backend servers of the service name a limit far
// below the load.
class LimitedServiceLoad {
public:
    static constexpr size_t nodeCount = 6;
    static constexpr size_t backendCount = 4;
    static constexpr double limit = 2;
    static constexpr double requestsPerSecond = 12;
    static constexpr Duration latencyObjective = 300ms;
    static constexpr Duration measured = 120s;

    explicit LimitedServiceLoad(uint64_t seed)
        : m_fleet(seed, nodeCount, options())
        , m_random(seed + 1)
    {
        for (size_t node = 0; node < backendCount; ++node)
            m_fleet.backends()[m_fleet.addBackend("urgent", node)].slots = 6;
        m_fleet.runFor(20s);
    }

    void run()
    {
        for (auto& backend : m_fleet.backends())
            backend.simulatedFaults.notice.requestLimit = limit;
        m_ends = m_fleet.fleet().now() + 3s + measured;
        sendNext("urgent");
        sendNext("later");
        m_fleet.runFor(3s);
        m_measuredFrom = m_fleet.fleet().now();
        m_refusalsBefore = refusals();
        m_fleet.runFor(measured + 2s);
    }

    std::vector<CallerRequest> requestsOf(const std::string& kind) const
    {
        std::vector<CallerRequest> requests;
        std::ranges::copy_if(m_fleet.requests(), std::back_inserter(requests), [&](const CallerRequest& request) {
            return request.info.service.value() == kind && request.sentAt >= m_measuredFrom;
        });
        return requests;
    }

    static size_t countAnswered(const std::vector<CallerRequest>& requests)
    {
        return static_cast<size_t>(std::ranges::count(requests, CallerOutcome::Answered, &CallerRequest::callerOutcome));
    }

    // Offers that sidecars refused.
    size_t refusedOffers() const { return refusals() - m_refusalsBefore; }

private:
    static NodeFleetOptions options()
    {
        auto options = FaultyLoad::fleetOptions();
        auto table = std::make_shared<RouteTable>();
        table->version = Revision(1);
        table->services.push_back({ ServiceName("urgent"), "/health", 100 });
        for (const auto* name : { "urgent", "later" }) {
            Route route { name, std::string(name) + ".example", "/", { { ServiceName("urgent"), 1 } } };
            route.isIdempotent = true;
            route.timeout = 2s;
            route.latencyObjective = latencyObjective;
            route.priority = route.name == "urgent" ? 0 : 2;
            route.maximumAttempts = 3;
            table->routes.push_back(route);
        }
        options.routes = table;
        options.defaultProfile.health.faultBound = 0.25;
        return options;
    }

    size_t refusals() const
    {
        auto refused = m_fleet.decisions().find(DecisionKind::RequestRefused);
        return refused == m_fleet.decisions().end() ? 0 : refused->second;
    }

    void sendNext(const std::string& kind)
    {
        if (m_fleet.fleet().now() >= m_ends)
            return;
        auto request = m_fleet.makeRequest(kind, Method::Get);
        request.remaining = 2s;
        m_fleet.send(std::uniform_int_distribution<size_t>(0, nodeCount - 1)(m_random), std::move(request));
        std::exponential_distribution<double> gap(requestsPerSecond);
        m_fleet.fleet().callLater(Duration(static_cast<int64_t>(gap(m_random) * 1e6)), [this, kind] { sendNext(kind); });
    }

    NodeFleet m_fleet;
    std::mt19937_64 m_random;
    Instant m_ends;
    Instant m_measuredFrom;
    size_t m_refusalsBefore { 0 };
};

}

TEST(LimitedService, ServesWhatItsBackendServersTakeAndRejectsTheRestAtOnceWithARetryTime)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        LimitedServiceLoad load(seed);
        load.run();
        auto urgent = load.requestsOf("urgent");
        auto later = load.requestsOf("later");
        auto served = LimitedServiceLoad::countAnswered(urgent) + LimitedServiceLoad::countAnswered(later);
        auto taken = LimitedServiceLoad::backendCount * LimitedServiceLoad::limit * std::chrono::duration<double>(LimitedServiceLoad::measured).count();
        EXPECT_GE(static_cast<double>(served), 0.8 * taken) << "seed " << seed;

        auto shareOf = [](const auto& requests) { return static_cast<double>(LimitedServiceLoad::countAnswered(requests)) / static_cast<double>(requests.size()); };
        // The users' tolerance for a kind that is served less often than a less urgent one.
        constexpr double tolerance = 0.05;
        EXPECT_GE(shareOf(urgent), shareOf(later) - tolerance) << "seed " << seed;
        // Each offer costs a hop: no more are refused than a few for each request that is let through.
        EXPECT_LE(load.refusedOffers(), urgent.size() + later.size() - served + 4 * served) << "seed " << seed;

        urgent.insert(urgent.end(), later.begin(), later.end());
        for (const auto& request : urgent) {
            if (request.callerOutcome == CallerOutcome::Answered)
                continue;
            EXPECT_EQ(request.callerOutcome, CallerOutcome::NotRun);
            EXPECT_EQ(request.runs, 0u);
            EXPECT_GT(request.retryAfter, Duration::zero());
            EXPECT_LE(*request.outcomeAt - request.sentAt, LimitedServiceLoad::latencyObjective / 2 + 10ms);
        }
    }
}

RC_GTEST_PROP(LimitLoadProperties, BackendServersGetNoMoreThanTheyNameInAnyWindow, ())
{
    auto faults = arbitraryLoadFaults();
    faults.push_back({ LoadFaultKind::NamedLimit, 500ms, 18s, *rc::gen::inRange<size_t>(0, 2), *rc::gen::inRange<size_t>(0, 16) });
    FaultyLoad load(*rc::gen::arbitrary<uint64_t>(), faults);
    load.run();
    RC_ASSERT(load.largestLimitExcess() <= 0);
}

TEST(LimitLoad, AllProcessesTogetherKeepTheLimitThatABackendServerNames)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        FaultyLoad load(seed, { { LoadFaultKind::NamedLimit, 500ms, 18s, 0, 1 }, { LoadFaultKind::Burst, 5s, 10s, 0, 0 } });
        load.run();
        EXPECT_LE(load.largestLimitExcess(), 0) << "seed " << seed;
    }
}

TEST(LimitLoad, ARestartedProcessKeepsTheLimitThatOnlyItsPredecessorHeard)
{
    // Limits of 0 and 3.2 a second.
    for (size_t limit : { 0, 4 }) {
        std::vector<LoadFault> faults { { LoadFaultKind::NamedLimit, 500ms, 18s, 0, limit }, { LoadFaultKind::Slow, 3s, 15s, 0, 8 }, { LoadFaultKind::Burst, 3s, 15s, 0, 0 } };
        for (int kill = 0; kill < 12; ++kill)
            faults.push_back({ LoadFaultKind::Kill, 4s + kill * 800ms, 200ms, 0, 0 });
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            FaultyLoad load(seed, faults);
            load.run();
            EXPECT_LE(load.largestLimitExcess(), 0) << "seed " << seed;
        }
    }
}
