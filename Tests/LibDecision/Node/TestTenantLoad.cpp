#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

// Tenants that each send the same, and one that sends `hotFactor` times as much for some seconds, at backend servers whose
// slots don't suffice for that. Each tenant's callers send to one process only.
class TenantLoad {
public:
    static constexpr size_t nodeCount = 4;
    static constexpr size_t tenantCount = 10;
    static constexpr Duration loadTime = 20s;

    TenantLoad(uint64_t seed, double usualLoad, double hotFactor)
        : m_fleet(seed, nodeCount, options())
        , m_random(seed + 1)
        , m_usualRate(usualLoad * capacity / tenantCount)
        , m_hotFactor(hotFactor)
    {
        for (size_t node = 0; node < nodeCount; ++node) {
            auto& backend = m_fleet.backends()[m_fleet.addBackend("desk", node)];
            backend.slots = slots;
            backend.serviceTime = serviceTime;
        }
    }

    void run()
    {
        m_fleet.runFor(15s);
        m_ends = m_fleet.fleet().now() + loadTime;
        for (size_t tenant = 0; tenant < tenantCount; ++tenant)
            sendNext(tenant);
        m_fleet.runFor(loadTime + 5s);
    }

    // Share of the tenant's requests that were answered. The hot tenant is the first.
    double answeredShare(size_t tenant) const
    {
        return share([&](const CallerRequest& request) { return request.info.account == nameOf(tenant); });
    }
    double answeredShareOfAll() const
    {
        return share([](const CallerRequest&) { return true; });
    }

private:
    static constexpr uint32_t slots = 3;
    static constexpr Duration serviceTime = 50ms;
    // Requests a second.
    static constexpr double capacity = nodeCount * slots / 0.05;

    static AccountId nameOf(size_t tenant) { return AccountId("tenant-" + std::to_string(tenant)); }

    static NodeFleetOptions options()
    {
        auto table = std::make_shared<RouteTable>();
        table->version = Revision(1);
        table->services.push_back({ ServiceName("desk"), "/health", 100 });
        Route route { "desk", "desk.example", "/", { { ServiceName("desk"), 1 } } };
        route.isIdempotent = true;
        route.timeout = 2s;
        route.latencyObjective = 600ms;
        table->routes.push_back(route);
        for (size_t tenant = 0; tenant < tenantCount; ++tenant)
            table->tenants.push_back({ .name = nameOf(tenant), .keyDigests = { nameOf(tenant).value() } });
        NodeFleetOptions options { .routing = RoutingMode::RouteTable, .routes = table };
        options.defaultProfile.health.floor = 1;
        options.defaultProfile.lifecycle.coldStart = 0s;
        options.defaultProfile.capacity.queueLength = 12;
        options.defaultProfile.capacity.queueTimeout = 2s;
        options.defaultProfile.capacity.callerWait = 2s;
        options.defaultProfile.fairness.maximumAccountShare = 1;
        options.defaultProfile.retries.reroutes = 30;
        return options;
    }

    template <typename Predicate>
    double share(Predicate belongs) const
    {
        double sent = 0;
        double answered = 0;
        for (const auto& request : m_fleet.requests()) {
            sent += belongs(request) ? 1 : 0;
            answered += belongs(request) && request.callerOutcome == CallerOutcome::Answered ? 1 : 0;
        }
        return answered / sent;
    }

    void sendNext(size_t tenant)
    {
        if (m_fleet.fleet().now() >= m_ends)
            return;
        auto request = m_fleet.makeRequest("desk", Method::Get);
        request.account = nameOf(tenant);
        m_fleet.send(tenant % nodeCount, std::move(request), nameOf(tenant).value());
        std::exponential_distribution<double> gap(m_usualRate * (tenant == 0 ? m_hotFactor : 1));
        m_fleet.fleet().callLater(Duration(static_cast<int64_t>(gap(m_random) * 1e6)), [this, tenant] { sendNext(tenant); });
    }

    NodeFleet m_fleet;
    std::mt19937_64 m_random;
    double m_usualRate;
    double m_hotFactor;
    Instant m_ends;
};

}

// Guards against a hot tenant that crowds out others, or that seems to be served seldom because several sidecars count each of
// its requests. All others together send 0.72 of the capacity.
TEST(TenantLoad, HotTenantCrowdsOutNoOther)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        TenantLoad load(seed, 0.8, 7.5);
        load.run();
        for (size_t tenant = 1; tenant < TenantLoad::tenantCount; ++tenant)
            EXPECT_GE(load.answeredShare(tenant), 0.95) << "tenant " << tenant << ", seed " << seed;
    }
}

// Guards against starving a tenant that sends more than others: by least recent usage it got 0.22 of the share of all here.
TEST(TenantLoad, NoTenantIsServedLessThanAQuarterAsOftenAsAll)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        TenantLoad load(seed, 1.3, 7.5);
        load.run();
        for (size_t tenant = 0; tenant < TenantLoad::tenantCount; ++tenant)
            EXPECT_GE(load.answeredShare(tenant), load.answeredShareOfAll() / 4) << "tenant " << tenant << ", seed " << seed;
    }
}
