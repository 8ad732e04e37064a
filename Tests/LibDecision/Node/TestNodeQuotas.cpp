#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>

using namespace Testing;

namespace {

constexpr size_t nodeCount = 3;

NodeFleetOptions quotaOptions()
{
    auto table = std::make_shared<RouteTable>();
    table->version = Revision(1);
    table->services.push_back({ ServiceName("booking"), "/health", 100 });
    Route route { "booking", "booking.example", "/", { { ServiceName("booking"), 1 } } };
    route.isIdempotent = true;
    route.timeout = 2s;
    route.latencyObjective = 1s;
    route.maximumAttempts = 3;
    table->routes.push_back(route);
    table->services.push_back({ ServiceName("rooms"), "/health", 100 });
    route.name = "rooms";
    route.host = "rooms.example";
    route.targets = { { ServiceName("rooms"), 1 } };
    table->routes.push_back(route);
    table->tenants.push_back({ .name = AccountId("hotel"), .keyDigests = { "hotel" }, .requestsPerSecond = 20, .burst = 30 });
    table->tenants.push_back({ .name = AccountId("someone"), .keyDigests = { "someone" } });
    NodeFleetOptions options { .routing = RoutingMode::RouteTable, .routes = table };
    return options;
}

// A fleet whose quota partitions have holders and full buckets.
class NodeQuotas : public testing::Test {
protected:
    NodeQuotas()
    {
        for (size_t node = 0; node < nodeCount; ++node)
            fleet.backends()[fleet.addBackend("booking", node)].slots = 50;
        fleet.backends()[fleet.addBackend("rooms", 0)].slots = 100;
        fleet.runFor(20s);
    }

    size_t send(size_t node, const std::string& tenant)
    {
        auto request = fleet.makeRequest("booking", Method::Get);
        request.remaining = 2s;
        return fleet.send(node, std::move(request), tenant);
    }

    size_t countAnswered() const
    {
        return static_cast<size_t>(std::ranges::count(fleet.requests(), CallerOutcome::Answered, &CallerRequest::callerOutcome));
    }

    NodeFleet fleet { 5, nodeCount, quotaOptions() };
};

}

TEST_F(NodeQuotas, AllProcessesTogetherLetThroughWhatTheQuotaAllows)
{
    for (size_t number = 0; number < 90; ++number)
        send(number % nodeCount, "hotel");
    fleet.runFor(3s);
    EXPECT_NEAR(static_cast<double>(countAnswered()), 30, 2);
    for (const auto& request : fleet.requests()) {
        if (request.callerOutcome == CallerOutcome::Answered)
            continue;
        EXPECT_EQ(request.callerOutcome, CallerOutcome::NotRun);
        EXPECT_EQ(request.reason, Reason::QuotaExceeded);
        EXPECT_EQ(request.runs, 0u);
        EXPECT_GT(request.retryAfter, Duration::zero());
        EXPECT_LE(*request.outcomeAt - request.sentAt, 50ms);
    }
}

// With its calls, the tenant's 25 requests would need 50 tokens of the 30 that there are.
TEST_F(NodeQuotas, DontCountTheCallsOfRunningRequestsAndOtherTenants)
{
    for (size_t node = 0; node < nodeCount; ++node) {
        fleet.backends()[node].calledService = ServiceName("rooms");
        fleet.backends()[node].callShare = 1;
    }
    for (size_t number = 0; number < 25; ++number)
        send(number % nodeCount, "hotel");
    for (size_t number = 0; number < 60; ++number)
        send(number % nodeCount, "someone");
    fleet.runFor(3s);
    auto isAnswered = [](const CallerRequest& request) { return request.callerOutcome == CallerOutcome::Answered; };
    // Each of the 85 requests made a call.
    EXPECT_EQ(fleet.requests().size(), 170u);
    EXPECT_TRUE(std::ranges::all_of(fleet.requests(), isAnswered));
}

// A call that waits for a token isn't in the table of calls yet.
TEST_F(NodeQuotas, ACallWhoseCallerHasGoneIsntRun)
{
    for (size_t node = 0; node < nodeCount; ++node)
        fleet.callerGone(send(node, "hotel"));
    fleet.runFor(3s);
    auto runs = std::ranges::count_if(fleet.requests(), [](const CallerRequest& request) { return request.runs > 0; });
    // The holder itself needs no message.
    EXPECT_LE(runs, 1);
    for (size_t node = 0; node < nodeCount; ++node)
        EXPECT_EQ(fleet.state(node).quotas().waitingCount(), 0u);
}

TEST_F(NodeQuotas, ALeavingProcessHandsItsPartitionsOver)
{
    auto holds = [&](size_t node) { return fleet.state(node).quotas().holder().heldCount(); };
    size_t holder = 0;
    while (holder < nodeCount && holds(holder) == 0)
        ++holder;
    ASSERT_LT(holder, nodeCount);
    fleet.leave(holder);
    fleet.runFor(3s);
    EXPECT_TRUE(fleet.hasLeft(holder));
    send((holder + 1) % nodeCount, "hotel");
    fleet.runFor(1s);
    EXPECT_EQ(countAnswered(), 1u);
}
