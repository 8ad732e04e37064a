#include "NodeFleet.h"

#include <LibDecision/Node.h>
#include <LibDecision/NodeState.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Decision;

namespace {

// One process with a backend server of its own, whose route table has two tenants.
class TenantNode {
public:
    TenantNode()
        : m_node(options())
    {
        auto effects = m_node.start(m_now);
        handle(BackendAnnounced { { .id = BackendId("b-1"), .service = ServiceName("desk"), .endpoint = { "127.0.0.1", 9000 }, .incarnation = Incarnation(1), .slots = 8, .sequence = 1 } });
        for (const auto& effect : effects) {
            const auto* call = std::get_if<CallPlatform>(&effect);
            if (call && std::holds_alternative<WatchRoutes>(call->operation))
                m_watch = call->tag;
        }
    }

    void publish() { handle(PlatformReplied { { .tag = m_watch, .status = PlatformStatus::Done, .index = 1, .routes = std::make_shared<RouteTable>(table) } }); }

    // Sends a request and returns the reason of its refusal, or None if it was forwarded.
    Reason send(const std::string& path, const std::string& keyDigest, const std::string& id = "r")
    {
        CallArrived arrived;
        arrived.call = CallId(++m_lastCall);
        arrived.request.id = RequestId(id);
        arrived.request.account = AccountId("10.0.0.9");
        arrived.request.path = path;
        arrived.request.fingerprint = { 5, 7 };
        if (auto dot = id.rfind('.'); dot != std::string::npos)
            arrived.request.parent = RequestId(id.substr(0, dot));
        arrived.authority = "office.example";
        arrived.keyDigest = keyDigest;
        forwarded.reset();
        auto reason = Reason::CallerGone;
        for (const auto& effect : handle(std::move(arrived))) {
            if (const auto* refusal = std::get_if<RefuseCall>(&effect)) {
                reason = refusal->reason;
                EXPECT_EQ(refusal->outcome, Outcome::NotRun);
            } else if (const auto* forward = std::get_if<ForwardCall>(&effect)) {
                forwarded = *forward;
                reason = Reason::None;
            }
        }
        return reason;
    }

    // Runs the request that was forwarded last at this process's backend server.
    void run(const std::string& id)
    {
        SidecarCallArrived arrived;
        arrived.call = SidecarCallId(++m_lastCall);
        arrived.backend = forwarded->backend;
        arrived.incarnation = forwarded->incarnation;
        arrived.request.id = RequestId(id);
        arrived.request.service = ServiceName("desk");
        arrived.request.account = forwarded->account;
        arrived.request.remaining = forwarded->remaining;
        arrived.priority = forwarded->priority;
        auto effects = handle(arrived);
        ASSERT_TRUE(std::ranges::any_of(effects, [](const Effect& effect) { return std::holds_alternative<RunCall>(effect); }));
        m_running = arrived.call;
    }

    void finishRun() { handle(RunFinished { m_running, { .status = 200 } }); }

    RouteTable table = tableWithTenants();
    std::optional<ForwardCall> forwarded;

private:
    static NodeOptions options()
    {
        NodeOptions options;
        options.self = { InstanceId("node-1"), Incarnation(1), ZoneName("agadir"), RegionName("souss-massa"), { "127.0.0.1", 2000 }, { "127.0.0.1", 2001 } };
        options.routing = RoutingMode::RouteTable;
        return options;
    }

    static RouteTable tableWithTenants()
    {
        RouteTable table;
        table.version = Revision(1);
        table.services.push_back({ ServiceName("desk"), "/health", 10 });
        Route route { "private", "office.example", "/private/", { { ServiceName("desk"), 1 } } };
        route.priority = 2;
        table.routes.push_back(route);
        route = { "public", "office.example", "/public/", { { ServiceName("desk"), 1 } } };
        route.isPublic = true;
        table.routes.push_back(route);
        table.routes.push_back({ .name = "broken", .host = "office.example", .pathPrefix = "/private/broken/", .problem = "routeKind is unknown" });
        table.tenants = { { AccountId("north"), { "key-n" }, 1 }, { AccountId("south"), { "key-s" } } };
        return table;
    }

    EffectList handle(const Input& input)
    {
        m_now += 1ms;
        return m_node.handle(m_now, input);
    }

    Node m_node;
    Instant m_now { 100s };
    PlatformTag m_watch;
    uint64_t m_lastCall { 0 };
    SidecarCallId m_running;
};

}

// A request that is refused for the wrong reason gets a status that promises something else.
TEST(Tenants, ChecksTableThenRouteThenKey)
{
    TenantNode node;
    EXPECT_EQ(node.send("/private/x", "key-n"), Reason::NotConfigured);
    node.publish();
    EXPECT_EQ(node.send("/other/x", ""), Reason::NoRoute);
    EXPECT_EQ(node.send("/private/broken/x", ""), Reason::RouteUnusable);
    EXPECT_EQ(node.send("/private/x", ""), Reason::UnknownKey);
    EXPECT_EQ(node.send("/private/x", "key-x"), Reason::UnknownKey);
    EXPECT_EQ(node.send("/private/x", "key-n"), Reason::None);
    EXPECT_EQ(node.send("/public/x", ""), Reason::None);
    EXPECT_FALSE(node.forwarded->isFromTenant);
    EXPECT_EQ(node.forwarded->account, AccountId("10.0.0.9"));
}

// Otherwise a tenant's requests would be accounted to the machine that its callers connect from.
TEST(Tenants, TheTenantIsTheAccountAndItsPriorityGoesBeforeTheRoutes)
{
    TenantNode node;
    node.publish();
    ASSERT_EQ(node.send("/private/x", "key-n"), Reason::None);
    auto north = *node.forwarded;
    ASSERT_EQ(node.send("/private/x", "key-s"), Reason::None);
    auto south = *node.forwarded;
    EXPECT_TRUE(north.isFromTenant);
    EXPECT_EQ(north.account, AccountId("north"));
    EXPECT_NE(north.fingerprint, south.fingerprint);
    EXPECT_GT(north.priority, south.priority);
    EXPECT_EQ(north.fingerprint.low, 7u);
}

// An id with a dot in it used to be enough to count as a call of a running request. It is refused as not run rather than as
// unauthorized, since a process that has just started doesn't know what its backend server still runs.
TEST(Tenants, OnlyCallsOfRequestsThatRunHereNeedNoKey)
{
    TenantNode node;
    node.publish();
    EXPECT_EQ(node.send("/private/x", "", "r.1"), Reason::ParentUnknown);
    ASSERT_EQ(node.send("/private/x", "key-n", "r"), Reason::None);
    auto parent = *node.forwarded;
    EXPECT_EQ(node.send("/private/x", "", "r.1"), Reason::ParentUnknown) << "it doesn't run yet";
    node.forwarded = parent;
    node.run("r");
    ASSERT_EQ(node.send("/private/x", "", "r.1"), Reason::None);
    EXPECT_EQ(node.forwarded->account, AccountId("north"));
    EXPECT_FALSE(node.forwarded->isFromTenant);
    EXPECT_EQ(node.forwarded->priority, parent.priority - 1);
    EXPECT_EQ(node.forwarded->parent, RequestId("r"));
    EXPECT_EQ(node.send("/private/x", "", "r.1.1"), Reason::ParentUnknown);
    node.finishRun();
    EXPECT_EQ(node.send("/private/x", "", "r.2"), Reason::ParentUnknown);
    ASSERT_EQ(node.send("/private/x", "key-s", "r.3"), Reason::None);
    EXPECT_EQ(node.forwarded->parent, std::nullopt);
    EXPECT_EQ(node.forwarded->arrival, ArrivalKind::First);
}

// Deployments without tenants mustn't notice any of this.
RC_GTEST_PROP(Tenants, WithoutTenantsAKeyChangesNothing, ())
{
    auto forwardedWith = [](const std::string& keyDigest, const std::string& id) {
        TenantNode node;
        node.table.tenants.clear();
        node.publish();
        RC_ASSERT(node.send("/private/x", keyDigest, id) == Reason::None);
        return *node.forwarded;
    };
    auto id = *rc::gen::element<std::string>("r", "r.1");
    auto with = forwardedWith(*rc::gen::arbitrary<std::string>(), id);
    auto without = forwardedWith("", id);
    RC_ASSERT(with.account == AccountId("10.0.0.9") && without.account == with.account);
    RC_ASSERT(with.priority == without.priority && with.parent == without.parent && with.arrival == without.arrival);
    RC_ASSERT((with.fingerprint == Fingerprint { 5, 7 }));
    // A call of a running request goes one priority before its route.
    RC_ASSERT(with.priority == (id == "r" ? 3u : 2u));
}

namespace {

constexpr size_t fleetNodes = 4;

Testing::NodeFleetOptions optionsWithTenants()
{
    auto table = std::make_shared<RouteTable>();
    table->version = Revision(1);
    table->tenants = { { AccountId("north"), { "key-n" }, 1 }, { AccountId("south"), { "key-s" } } };
    for (const auto* name : { "desk", "archive" }) {
        table->services.push_back({ ServiceName(name), "/health", 100 });
        Route route { name, std::string(name) + ".example", "/", { { ServiceName(name), 1 } } };
        route.timeout = 2s;
        route.isIdempotent = true;
        route.maximumAttempts = 3;
        table->routes.push_back(route);
    }
    return { .routing = RoutingMode::RouteTable, .routes = table, .areBackendsTied = true };
}

// Backend servers of the first half of the nodes make calls to those of the second half.
void addBackends(Testing::NodeFleet& fleet)
{
    for (size_t node = 0; node < fleetNodes; ++node) {
        bool makesCalls = node < fleetNodes / 2;
        auto& backend = fleet.backends()[fleet.addBackend(makesCalls ? "desk" : "archive", node)];
        backend.calledService = ServiceName(makesCalls ? "archive" : "");
        backend.callShare = makesCalls ? 1 : 0;
    }
    fleet.runFor(12s);
}

struct SentRequest {
    size_t number { 0 };
    bool hasKey { false };
};

std::vector<SentRequest> sendArbitraryRequests(Testing::NodeFleet& fleet)
{
    std::vector<SentRequest> sent;
    auto count = *rc::gen::inRange(1, 60);
    for (int number = 0; number < count; ++number) {
        auto info = fleet.makeRequest("desk", Method::Get);
        if (*rc::gen::arbitrary<bool>()) {
            info.parent = RequestId("request-that-never-ran");
            info.id = RequestId(info.parent->value() + "." + info.id.value());
        }
        auto key = *rc::gen::element<std::string>("key-n", "key-s", "key-x", "");
        auto node = *rc::gen::inRange<size_t>(0, fleetNodes);
        sent.push_back({ fleet.send(node, info, key), key == "key-n" || key == "key-s" });
        fleet.runFor(std::chrono::milliseconds(*rc::gen::inRange(0, 50)));
    }
    return sent;
}

}

// Whatever fails, no request runs for a caller without a key, also not by an id like that of a running request's call.
RC_GTEST_PROP(Tenants, NothingRunsForACallerWithoutAKey, ())
{
    Testing::NodeFleet fleet(*rc::gen::arbitrary<uint64_t>(), fleetNodes, optionsWithTenants());
    addBackends(fleet);
    auto victim = *rc::gen::inRange<size_t>(0, fleetNodes);
    fleet.fleet().callLater(std::chrono::milliseconds(*rc::gen::inRange(0, 1000)), [&] { fleet.kill(victim); });
    fleet.fleet().callLater(1500ms, [&] { fleet.restart(victim); });
    auto sent = sendArbitraryRequests(fleet);
    fleet.runFor(5s);
    for (const auto& request : sent) {
        const auto& known = fleet.requests()[request.number];
        RC_ASSERT(request.hasKey || known.runs == 0);
        RC_ASSERT(!request.hasKey || known.reason != Reason::UnknownKey);
    }
}

// A run whose calls are refused for want of a key would fail although its caller had one.
RC_GTEST_PROP(Tenants, CallsOfRunningRequestsNeedNoKeyAtAnyProcess, ())
{
    Testing::NodeFleet fleet(*rc::gen::arbitrary<uint64_t>(), fleetNodes, optionsWithTenants());
    addBackends(fleet);
    auto sent = sendArbitraryRequests(fleet);
    fleet.runFor(5s);
    size_t calls = 0;
    for (const auto& request : fleet.requests()) {
        if (!request.waitingRun)
            continue;
        ++calls;
        RC_ASSERT(request.reason != Reason::UnknownKey);
    }
    auto withKey = std::ranges::count_if(sent, &SentRequest::hasKey);
    RC_ASSERT(calls >= static_cast<size_t>(withKey));
}
