#include "DaemonTest.h"

#include <LibControl/RunEnvelope.h>
#include <LibTransport/HttpServer.h>

using namespace Testing;

namespace {

constexpr auto configuration = R"({"version":7,"routes":[{"name":"r","host":"office.example","prefix":"/","routeKind":"unsafe","timeoutMs":2000,"service":"desk","maxAttempts":2}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":9}]})";

// Two processes, of which the first has a backend server, and a sender that knows the fleet's key.
class ForwardedOrdersTest : public DaemonTest {
protected:
    ForwardedOrdersTest()
    {
        Transport::HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.onRequest = [this](Transport::ServerRequestId id, const Transport::HttpRequest& request) {
            runs += request.target == "/health" ? 0 : 1;
            auto requestId = std::string(Transport::findHeader(request.headers, "attempt-id").value_or(""));
            m_backend->respond(id, { 200, { { "attempt-id", requestId }, { "server-seal", "1" } }, "done" });
        };
        m_backend.emplace(m_loop, std::move(options));
    }

    void SetUp() override
    {
        start(configuration);
        ASSERT_TRUE(runUntil([&] { return state().routes().version() == Revision(7); }));
        ASSERT_EQ(checkIn("i-1", report("address", "\"" + m_backend->endpoint().toString() + "\"")), 204);
        ASSERT_TRUE(runUntil([&] { return state().registry().find(BackendId("i-1")); }));
        startDaemon(m_forwarder, "node-2", { m_daemon->controlEndpoint() });
    }

    Control::RunOrder orderOf(Duration firstSentAgo) const
    {
        Control::RunOrder order;
        order.to = m_daemon->controlEndpoint();
        order.backend = BackendId("i-1");
        order.backendIncarnation = m_daemon->node().state().registry().find(BackendId("i-1"))->incarnation;
        order.request.id = RequestId("a-1");
        order.request.service = ServiceName("desk");
        order.request.remaining = 2s;
        order.attempt = AttemptId(1);
        order.receiverStart = Incarnation(1);
        order.firstSentAgo = firstSentAgo;
        return order;
    }

    Transport::HttpResponse send(const std::string& sealedOrder)
    {
        return exchange(m_forwarder->controlEndpoint(), { "POST", "office.example", "/book", { { "fulmar-run", sealedOrder } }, "body" });
    }

    static std::optional<Control::RunResult> resultOf(const Transport::HttpResponse& response)
    {
        auto header = Transport::findHeader(response.headers, "fulmar-sidecar");
        return header ? std::optional(Control::decodeRunResult(*header)) : std::nullopt;
    }

    Control::RunOrderChannel sender { "fulmarsail fleet without a shared secret", InstanceId("node-3"), Incarnation(1), { "127.0.0.1", 1 } };
    size_t runs { 0 };

private:
    std::optional<Transport::HttpServer> m_backend;
    std::optional<Daemon> m_forwarder;
};

}

// A sender that doesn't reach the sidecar would never learn what became of its request.
TEST_F(ForwardedOrdersTest, AnOrderThatIsSentAgainReachesTheSidecarThroughAnotherProcessAndRunsOnce)
{
    for (int number = 0; number < 2; ++number) {
        auto response = send(sender.seal(orderOf(1s)));
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "done");
        ASSERT_TRUE(resultOf(response));
        EXPECT_EQ(resultOf(response)->outcome, Outcome::Answered);
    }
    EXPECT_EQ(runs, 1u);
}

// A process that forwards what isn't signed, or first sends, would be an open proxy into the fleet.
TEST_F(ForwardedOrdersTest, NothingElseIsForwarded)
{
    auto first = resultOf(send(sender.seal(orderOf(0s))));
    ASSERT_TRUE(first);
    EXPECT_EQ(first->outcome, Outcome::NotRun);
    Control::RunOrderChannel stranger { "another key", InstanceId("node-3"), Incarnation(1), { "127.0.0.1", 1 } };
    auto unsignedOrder = resultOf(send(stranger.seal(orderOf(1s))));
    ASSERT_TRUE(unsignedOrder);
    EXPECT_EQ(unsignedOrder->outcome, Outcome::NotRun);
    EXPECT_EQ(runs, 0u);
}

// The sender must not take the failure of this way for what the sidecar says.
TEST_F(ForwardedOrdersTest, AnOrderThatCannotBeForwardedIsAnsweredWithoutAResult)
{
    auto order = orderOf(1s);
    order.to = { "127.0.0.1", 1 };
    auto response = send(sender.seal(order));
    EXPECT_EQ(response.status, 502);
    EXPECT_FALSE(resultOf(response));
}
