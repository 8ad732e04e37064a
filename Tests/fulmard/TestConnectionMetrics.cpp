#include "DaemonTest.h"

using namespace Testing;

namespace {

class ConnectionMetrics : public DaemonTest {
protected:
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
    EXPECT_EQ(exchange(*announcements, { "POST", "", "/", {}, std::string(500'000, 'x') }).status, 503);
    auto metrics = exchange(m_daemon->controlEndpoint(), { "GET", "", "/metrics", {}, "" }).body;
    EXPECT_NE(metrics.find("fulmar_memory_refusals_total 1\n"), std::string::npos);
}
