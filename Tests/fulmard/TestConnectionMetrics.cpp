#include "DaemonTest.h"

using namespace Testing;

namespace {

class ConnectionMetrics : public DaemonTest {
protected:
    Transport::HttpResponse send(const Endpoint& to, const std::string& method, const std::string& target, std::string body)
    {
        Transport::ClientRequest request;
        request.to = to;
        request.request = { method, "", target, {}, std::move(body) };
        request.deadline = 5s;
        std::optional<Transport::HttpResponse> response;
        m_client.send(std::move(request), [&](const Transport::ClientResult& result) { response = result.response; });
        runUntil([&] { return response.has_value(); });
        return response.value_or(Transport::HttpResponse {});
    }

    Endpoint freeEndpoint()
    {
        Transport::HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        return Transport::HttpServer(m_loop, std::move(options)).endpoint();
    }
};

}

// Guards against connections that are logged as ended, but not counted, since they ended at a listener of their own.
TEST_F(ConnectionMetrics, CountTheConnectionsOfAllListeners)
{
    announcements = freeEndpoint();
    memoryBytes = 512u << 10;
    start();
    EXPECT_EQ(send(*announcements, "POST", "/", std::string(500'000, 'x')).status, 503);
    auto metrics = send(m_daemon->controlEndpoint(), "GET", "/metrics", "").body;
    EXPECT_NE(metrics.find("fulmar_memory_refusals_total 1\n"), std::string::npos);
}
