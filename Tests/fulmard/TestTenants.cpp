#include "DaemonTest.h"

#include <LibTransport/HttpServer.h>
#include <LibTransport/SuspendedTime.h>

using namespace Testing;

namespace {

constexpr auto secret = "k-north-0815";
constexpr auto configurationStart = R"({"version":)";
constexpr auto configurationEnd = R"(,"routes":[{"name":"r","host":"office.example","prefix":"/r/","routeKind":"unsafe","timeoutMs":2000,"service":"desk","maxAttempts":2},
{"name":"p","host":"office.example","prefix":"/p/","routeKind":"safe","timeoutMs":2000,"service":"desk","maxAttempts":2,"public":true}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":9}])";

// A whole fulmard before a backend server that keeps what it gets.
class TenantsTest : public DaemonTest {
protected:
    TenantsTest()
    {
        logLevel = "trace";
        Transport::HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.onRequest = [this](Transport::ServerRequestId id, const Transport::HttpRequest& request) {
            if (request.target != "/health")
                received.push_back(request);
            auto requestId = std::string(Transport::findHeader(request.headers, "attempt-id").value_or(""));
            m_backend->respond(id, { 200, { { "attempt-id", requestId }, { "server-seal", "1" } }, "done" });
        };
        m_backend.emplace(m_loop, std::move(options));
    }

    void startWith(const std::string& tenants)
    {
        start(configurationStart + std::string("7") + configurationEnd + tenants + "}");
        ASSERT_TRUE(runUntil([&] { return state().routes().version() == Revision(7); }));
        ASSERT_EQ(checkIn("i-1", report("address", "\"" + m_backend->endpoint().toString() + "\"")), 204);
    }

    // Starts a process without a backend server of its own.
    void startIngress()
    {
        startDaemon(m_ingress, "node-2", { m_daemon->controlEndpoint() });
        ASSERT_TRUE(runUntil([&] {
            const auto& ingress = m_ingress->node().state();
            return ingress.routes().table() && ingress.registry().find(BackendId("i-1"));
        }));
    }

    Transport::HttpResponse send(const std::string& target, Transport::HeaderList headers)
    {
        if (!Transport::findHeader(headers, "attempt-id"))
            headers.push_back({ "attempt-id", "a-" + std::to_string(++m_lastRequest) });
        return exchange(m_ingress ? m_ingress->callersEndpoint() : m_daemon->callersEndpoint(), { "POST", "office.example", target, std::move(headers), "body" });
    }

    std::optional<std::string> lastReceived(std::string_view header) const
    {
        auto value = Transport::findHeader(received.back().headers, header);
        return value ? std::optional(std::string(*value)) : std::nullopt;
    }

    std::vector<Transport::HttpRequest> received;

private:
    std::optional<Transport::HttpServer> m_backend;
    std::optional<Daemon> m_ingress;
    uint64_t m_lastRequest { 0 };
};

}

// A key that leaves the process, or a name that a caller chose itself, lets others act for the tenant.
TEST_F(TenantsTest, ABackendServerLearnsTheTenantAndNobodyTheKey)
{
    startWith(R"(,"tenants":[{"name":"north","apiKeys":[")" + std::string(secret) + R"("]}])");
    EXPECT_EQ(send("/r/x", { { "authorization", "Bearer " + std::string(secret) }, { "tenant", "south" } }).status, 200);
    ASSERT_EQ(received.size(), 1u);
    EXPECT_EQ(lastReceived("tenant"), "north");
    EXPECT_EQ(lastReceived("authorization"), std::nullopt);

    EXPECT_EQ(send("/p/x", { { "authorization", "Bearer " + std::string(secret) }, { "tenant", "south" } }).status, 200);
    ASSERT_EQ(received.size(), 2u);
    EXPECT_EQ(lastReceived("tenant"), std::nullopt);
    EXPECT_EQ(lastReceived("authorization"), std::nullopt);

    auto refused = send("/r/x", { { "authorization", "Bearer " + std::string(secret) + "x" } });
    EXPECT_EQ(refused.status, 401);
    EXPECT_EQ(Transport::findHeader(refused.headers, "www-authenticate"), "Bearer");
    EXPECT_EQ(refused.body.find(secret), std::string::npos);
    EXPECT_EQ(send("/r/x", {}).status, 401);
    EXPECT_EQ(received.size(), 2u);
    EXPECT_NE(output.find("unknown-key"), std::string::npos);
    EXPECT_EQ(output.find(secret), std::string::npos);
}

// The request crosses to another process, which takes account and header from the ingress.
TEST_F(TenantsTest, ABackendServerOfAnotherProcessLearnsTheTenantAndNobodyTheKey)
{
    startWith(R"(,"tenants":[{"name":"north","apiKeys":[")" + std::string(secret) + R"("]}])");
    startIngress();
    EXPECT_EQ(send("/r/x", { { "authorization", "Bearer " + std::string(secret) }, { "tenant", "south" }, { "fulmar-account", "south" } }).status, 200);
    ASSERT_EQ(received.size(), 1u);
    EXPECT_EQ(lastReceived("tenant"), "north");
    for (const auto& header : received.back().headers)
        EXPECT_EQ(header.value.find(secret), std::string::npos) << header.name;
    EXPECT_EQ(output.find(secret), std::string::npos);
    // It may be the call of a run that began before this process.
    EXPECT_EQ(send("/r/x", { { "attempt-id", "a.1" } }).status, 503);
    EXPECT_EQ(send("/r/x", { { "attempt-id", "a" } }).status, 401);
    EXPECT_EQ(received.size(), 1u);
}

// Deployments without tenants use these headers for purposes of their own.
TEST_F(TenantsTest, WithoutTenantsTheHeadersPassUnchanged)
{
    startWith("");
    EXPECT_EQ(send("/r/x", { { "authorization", "Basic eA==" }, { "tenant", "south" } }).status, 200);
    ASSERT_EQ(received.size(), 1u);
    EXPECT_EQ(lastReceived("authorization"), "Basic eA==");
    EXPECT_EQ(lastReceived("tenant"), "south");
}

// A reading that is too large would hide a later suspension, so that a proof would seem younger than it is.
TEST(SuspendedTime, ReadingsAgreeWhileTheMachineRuns)
{
    constexpr Duration tolerance = 1ms;
    constexpr int readings = 1000;
    auto first = Transport::suspendedTime();
    EXPECT_GE(first, Duration::zero());
    for (int reading = 0; reading < readings; ++reading)
        EXPECT_LT(std::chrono::abs(Transport::suspendedTime() - first), tolerance);
}

TEST_F(TenantsTest, AnUnusableRouteIsRefusedAsNotRun)
{
    start(R"({"version":7,"routes":[{"name":"r","host":"office.example","prefix":"/r/","routeKind":"new"}],"services":[]})");
    ASSERT_TRUE(runUntil([&] { return state().routes().version() == Revision(7); }));
    auto refused = send("/r/x", {});
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(Transport::findHeader(refused.headers, "retry-after").has_value());
    EXPECT_EQ(send("/other/x", {}).status, 404);
}
