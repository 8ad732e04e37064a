// Measures one hop over loopback, client and server on one loop: latency of requests one after the other, and
// requests per second with several at once; then the memory of idle connections. Not part of the tests.

#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>

#include <algorithm>
#include <ctime>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <unistd.h>
#include <vector>

using namespace Transport;

namespace {

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

// Keeps so many requests under way until all have been answered.
class HopBench {
public:
    HopBench(size_t requests, size_t concurrency, size_t bodyBytes)
        : m_requests(requests)
        , m_concurrency(concurrency)
        , m_body(bodyBytes, 'x')
    {
        HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.memory = m_memory;
        options.onRequest = [this](ServerRequestId id, HttpRequest request) { handle(id, std::move(request)); };
        m_server = std::make_unique<HttpServer>(m_loop, std::move(options));
        m_latencies.reserve(requests);
    }

    // Holds the answers back until so many connections are open, and then leaves them idle.
    void measureConnections(size_t connections)
    {
        m_heldUntil = connections;
        auto before = residentBytes();
        for (size_t i = 0; i < connections; ++i) {
            ClientRequest request;
            request.to = m_server->endpoint();
            request.request.method = "GET";
            request.request.target = "/";
            request.maximumConnections = connections;
            m_client.send(std::move(request), [this, connections](const ClientResult&) {
                if (++m_sent == connections)
                    m_loop.stop();
            });
        }
        m_loop.run();
        std::cout << connections << " idle connections, both ends: " << (residentBytes() - before) / connections << " B each\n";
    }

    void run()
    {
        auto startedAt = m_loop.now();
        auto processorAtStart = processorSeconds();
        for (size_t i = 0; i < m_concurrency; ++i)
            sendNext();
        m_loop.run();
        print(std::chrono::duration<double>(m_loop.now() - startedAt).count(), processorSeconds() - processorAtStart);
    }

private:
    void handle(ServerRequestId id, HttpRequest request)
    {
        if (m_heldUntil == 0) {
            m_server->respond(id, { 200, {}, std::move(request.body) });
            return;
        }
        m_held.push_back(id);
        if (m_held.size() == m_heldUntil)
            std::ranges::for_each(m_held, [this](auto held) { m_server->respond(held, {}); });
    }

    void sendNext()
    {
        if (m_sent == m_requests)
            return;
        ++m_sent;
        ClientRequest request;
        request.to = m_server->endpoint();
        request.request.method = "POST";
        request.request.target = "/commissions/17?open=1";
        request.request.headers = { { "fulmar-request-id", "0123456789abcdef" }, { "accept", "application/json" } };
        request.request.body = m_body;
        m_client.send(std::move(request), [this](const ClientResult& result) {
            m_failures += result.status == ClientStatus::Answered ? 0 : 1;
            m_latencies.push_back(result.elapsed.count());
            if (m_latencies.size() == m_requests)
                m_loop.stop();
            sendNext();
        });
    }

    double quantile(double share) { return static_cast<double>(m_latencies[static_cast<size_t>(share * static_cast<double>(m_latencies.size() - 1))]); }

    void print(double seconds, double processor)
    {
        std::ranges::sort(m_latencies);
        std::cout << std::fixed << std::setprecision(0) << "at once " << m_concurrency << ", body " << m_body.size() << " B: "
                  << static_cast<double>(m_requests) / seconds << " requests/s, processor " << processor / static_cast<double>(m_requests) * 1e6
                  << " us/request, latency p50 " << quantile(0.5) << " us, p99 " << quantile(0.99) << " us, p99.9 " << quantile(0.999)
                  << " us, failed " << m_failures << "\n";
    }

    size_t m_requests;
    size_t m_concurrency;
    std::string m_body;
    size_t m_sent { 0 };
    size_t m_heldUntil { 0 };
    std::vector<ServerRequestId> m_held;
    size_t m_failures { 0 };
    std::vector<Duration::rep> m_latencies;
    EventLoop m_loop;
    std::shared_ptr<MemoryBudget> m_memory { std::make_shared<MemoryBudget>(uint64_t(1) << 30) };
    HttpClient m_client { m_loop, { .memory = m_memory } };
    std::unique_ptr<HttpServer> m_server;
};

}

int main(int argc, char** argv)
{
    cxxopts::Options options("bench-hop", "Measures one HTTP hop over loopback, client and server on one thread.");
    options.add_options()("requests", "for each row", cxxopts::value<size_t>()->default_value("50000"));
    auto parsed = options.parse(argc, argv);
    for (size_t concurrency : { 1, 8, 64 }) {
        for (size_t bodyBytes : { 100, 10'000 })
            HopBench(parsed["requests"].as<size_t>(), concurrency, bodyBytes).run();
    }
    HopBench(0, 0, 0).measureConnections(2000);
    return 0;
}
