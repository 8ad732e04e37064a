#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <Tests/LibTransport/RawClient.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <thread>
#include <vector>

using namespace Transport;
using namespace TransportTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t megabyte = 1u << 20;

// A server with an account of 8 MB, of which one is set apart for small requests.
class BoundedServer : public ::testing::Test {
protected:
    void start(ServerLimits limits = {}, size_t maximumConnections = 0)
    {
        limits.bodyBytes = 16 * megabyte;
        HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maximumBodyBytes = limits.bodyBytes;
        options.memory = memory;
        options.maximumConnections = maximumConnections;
        options.accountHeader = "x-account";
        options.limits = [limits] { return limits; };
        options.onRequest = [this](ServerRequestId id, HttpRequest request) {
            bodies.push_back(request.body.size());
            server->respond(id, { 200, {}, "done" });
        };
        options.onConnectionEnd = [this](const ConnectionEnd& end) { ends.push_back(end); };
        server = std::make_unique<HttpServer>(loop, std::move(options));
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        auto end = loop.now() + 20s;
        while (!condition() && loop.now() < end)
            loop.runOnce(5ms);
        return condition();
    }

    bool runUntilEnd(ConnectionEndReason reason)
    {
        return runUntil([&] { return std::ranges::any_of(ends, [&](const auto& end) { return end.reason == reason; }); });
    }

    static std::string post(uint64_t bodyBytes, const std::string& fields = "")
    {
        return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    }

    EventLoop loop;
    std::shared_ptr<MemoryBudget> memory { std::make_shared<MemoryBudget>(8 * megabyte) };
    std::unique_ptr<HttpServer> server;
    std::vector<size_t> bodies;
    std::vector<ConnectionEnd> ends;
};

}

// Guards against refusing what the memory bears.
TEST_F(BoundedServer, ServesASingleBodyThatFitsAndReleasesIt)
{
    start();
    RawClient client(server->endpoint());
    client.sendAll(loop, post(6 * megabyte) + std::string(6 * megabyte, 'x'));
    EXPECT_NE(client.readUntil(loop, "done").find("200"), std::string::npos);
    EXPECT_EQ(bodies, std::vector<size_t> { 6 * megabyte });
    EXPECT_TRUE(runUntil([&] { return memory->held() == 0; }));
}

// Guards against buffering a body that can't be served.
TEST_F(BoundedServer, RefusesAnAnnouncedBodyThatDoesNotFitBeforeItComes)
{
    start();
    RawClient client(server->endpoint());
    client.send(post(10 * megabyte, "X-Account: desk\r\n"));
    EXPECT_NE(client.readUntil(loop, "no memory").find("HTTP/1.1 503"), std::string::npos);
    EXPECT_TRUE(bodies.empty());
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends.front().reason, ConnectionEndReason::MemoryRefused);
    EXPECT_EQ(ends.front().address, "127.0.0.1");
    EXPECT_EQ(ends.front().account, "desk");
}

// Guards against bodies without a length that grow beyond the account.
TEST_F(BoundedServer, RefusesAChunkedBodyOnceItDoesNotFit)
{
    start();
    RawClient client(server->endpoint());
    std::string text = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 10; ++i)
        text += "100000\r\n" + std::string(megabyte, 'x') + "\r\n";
    client.sendAll(loop, text);
    EXPECT_NE(client.readUntil(loop, "no memory").find("HTTP/1.1 503"), std::string::npos);
    EXPECT_TRUE(bodies.empty());
}

// Guards against small requests that starve while large ones hold the account, and against a stalled client that keeps
// others out.
TEST_F(BoundedServer, ServesSmallRequestsBesideAStalledBodyAndClosesItForALargeOne)
{
    start();
    RawClient stalled(server->endpoint());
    stalled.send(post(7 * megabyte - 200));
    EXPECT_TRUE(runUntil([&] { return memory->held() > 6 * megabyte; }));

    RawClient small(server->endpoint());
    small.send(post(5) + "hello");
    EXPECT_NE(small.readUntil(loop, "done").find("200"), std::string::npos);

    // A connection gets a second to show progress before it is closed for others.
    auto trialEnd = loop.now() + 1100ms;
    runUntil([&] { return loop.now() > trialEnd; });
    RawClient large(server->endpoint());
    large.sendAll(loop, post(2 * megabyte) + std::string(2 * megabyte, 'x'));
    EXPECT_NE(large.readUntil(loop, "done").find("200"), std::string::npos);
    stalled.readToEnd(loop);
    EXPECT_TRUE(stalled.isClosedByServer());
    EXPECT_TRUE(runUntilEnd(ConnectionEndReason::MemoryShed));
}

// Guards against closing a caller for a pause of this process, during which it sent.
TEST_F(BoundedServer, CountsWhatLiesUnreadAsProgress)
{
    start();
    RawClient uploader(server->endpoint());
    RawClient other(server->endpoint());
    uploader.send(post(6 * megabyte) + std::string(10'000, 'x'));
    EXPECT_TRUE(runUntil([&] { return server->openConnections() == 2 && memory->held() >= 6 * megabyte; }));
    std::this_thread::sleep_for(1200ms);
    uploader.send(std::string(200'000, 'x'));
    // The library reads first what became readable last.
    other.send(post(3 * megabyte));
    EXPECT_NE(other.readUntil(loop, "no memory").find("HTTP/1.1 503"), std::string::npos);
    uploader.sendAll(loop, std::string(6 * megabyte - 210'000, 'x'));
    EXPECT_NE(uploader.readUntil(loop, "done").find("200"), std::string::npos);
}

// Guards against connections that stay open without end.
TEST_F(BoundedServer, ClosesUnfinishedHeadsStalledBodiesAndIdleConnections)
{
    ServerLimits limits;
    limits.headTimeout = limits.stallTimeout = limits.idleTimeout = 500ms;
    start(limits);
    RawClient head(server->endpoint());
    RawClient body(server->endpoint());
    RawClient idle(server->endpoint());
    head.send("GET / HTTP/1.1\r\n");
    body.send(post(1000) + "x");
    EXPECT_TRUE(runUntilEnd(ConnectionEndReason::HeadTimeout));
    EXPECT_TRUE(runUntilEnd(ConnectionEndReason::BodyStalled));
    EXPECT_TRUE(runUntilEnd(ConnectionEndReason::IdleTimeout));
    EXPECT_TRUE(runUntil([&] { return server->openConnections() == 0; }));
}

// Guards against closing a connection between two requests of a caller by the time for a head.
TEST_F(BoundedServer, KeepsAConnectionThatIsIdleAfterAnAnswer)
{
    ServerLimits limits;
    limits.headTimeout = 100ms;
    limits.idleTimeout = 20s;
    start(limits);
    RawClient client(server->endpoint());
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_NE(client.readUntil(loop, "done").find("200"), std::string::npos);
    auto answered = loop.now();
    EXPECT_FALSE(runUntil([&] { return !ends.empty() || loop.now() > answered + 3s; }) && !ends.empty());
    EXPECT_EQ(server->openConnections(), 1u);
}

// Guards against a phase that has already ended: until the next sweep, connections that had become idle counted, and were
// logged, as unfinished heads.
TEST_F(BoundedServer, ClosesTheConnectionForRoomThatHasBeenIdleLongest)
{
    start({}, 3);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<RawClient>(server->endpoint()));
        runUntil([&] { return server->openConnections() == size_t(i) + 1; });
    }
    for (int i : { 2, 0, 1 }) {
        clients[i]->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_NE(clients[i]->readUntil(loop, "done").find("200"), std::string::npos);
        runUntil([until = loop.now() + 50ms, this] { return loop.now() > until; });
    }
    RawClient next(server->endpoint());
    ASSERT_TRUE(runUntilEnd(ConnectionEndReason::ConnectionShed));
    EXPECT_EQ(ends.front().phase, ConnectionPhase::Idle);
    clients[2]->readToEnd(loop, 1s);
    EXPECT_TRUE(clients[2]->isClosedByServer());
}

TEST_F(BoundedServer, ClosesAHeadThatIsTooLong)
{
    ServerLimits limits;
    limits.headBytes = 4096;
    start(limits);
    runUntil([&, until = loop.now() + 1100ms] { return loop.now() > until; });
    RawClient client(server->endpoint());
    client.sendAll(loop, "GET / HTTP/1.1\r\n" + std::string(5000, 'x'));
    EXPECT_NE(client.readToEnd(loop).find("HTTP/1.1 431"), std::string::npos);
    RawClient whole(server->endpoint());
    whole.sendAll(loop, "GET / HTTP/1.1\r\nHost: a\r\nx: " + std::string(5000, 'x') + "\r\n\r\n");
    EXPECT_NE(whole.readToEnd(loop).find("HTTP/1.1 431"), std::string::npos);
    EXPECT_TRUE(bodies.empty());
}

// Guards against a crowd of connections that locks out the next caller.
TEST_F(BoundedServer, MakesRoomForANewConnectionAtTheLimit)
{
    start({}, 4);
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 8; ++i) {
        crowd.push_back(std::make_unique<RawClient>(server->endpoint()));
        loop.runOnce(1ms);
    }
    RawClient client(server->endpoint());
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_NE(client.readUntil(loop, "done").find("200"), std::string::npos);
    EXPECT_LE(server->openConnections(), 4u);
    EXPECT_TRUE(runUntilEnd(ConnectionEndReason::ConnectionShed));
}

// Guards against the beginning of a body that escapes the account because it came together with an earlier request.
TEST_F(BoundedServer, CountsAPipelinedBody)
{
    start();
    RawClient client(server->endpoint());
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n" + post(3 * megabyte) + "x");
    EXPECT_TRUE(runUntil([&] { return memory->held() >= 3 * megabyte; }));
    client.sendAll(loop, std::string(3 * megabyte - 1, 'x'));
    EXPECT_TRUE(runUntil([&] { return bodies.size() == 2; }));
    EXPECT_EQ(bodies.back(), 3 * megabyte);
    EXPECT_TRUE(runUntil([&] { return memory->held() == 0; }));
}

// Guards against a body that is logged as refused and read on: the library has begun with it when it is first seen.
TEST_F(BoundedServer, ClosesAPipelinedBodyThatDoesNotFit)
{
    start();
    RawClient client(server->endpoint());
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n" + post(10 * megabyte) + "x");
    EXPECT_NE(client.readUntil(loop, "done").find("200"), std::string::npos);
    EXPECT_NE(client.readToEnd(loop, 2s).find("HTTP/1.1 503"), std::string::npos);
    EXPECT_TRUE(client.isClosedByServer());
    EXPECT_EQ(ends.size(), 1u);
}

// Guards against heads that escape the account once their requests wait: the library keeps them until the answer.
TEST_F(BoundedServer, CountsTheHeadsOfRequestsThatWait)
{
    HttpServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    options.memory = memory;
    ServerRequestId waiting = 0;
    HttpRequest request;
    options.onRequest = [&](ServerRequestId id, HttpRequest arrived) {
        waiting = id;
        request = std::move(arrived);
    };
    server = std::make_unique<HttpServer>(loop, std::move(options));
    RawClient client(server->endpoint());
    client.sendAll(loop, "GET / HTTP/1.1\r\nHost: a\r\nx: " + std::string(100'000, 'x') + "\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return waiting != 0; }));
    EXPECT_GE(memory->held(MemoryKind::Arriving), 100'000u);
    EXPECT_GE(memory->held(MemoryKind::Requests), 100'000u);
    request = {};
    server->respond(waiting, { 200, {}, "done" });
    EXPECT_NE(client.readUntil(loop, "done").find("200"), std::string::npos);
    EXPECT_TRUE(runUntil([&] { return memory->held() == 0; }));
}

// Guards against a crowd with unfinished bodies, too small for the memory budget to matter, that locks out the next caller.
TEST_F(BoundedServer, MakesRoomForANewConnectionAmongStalledBodies)
{
    start({}, 4);
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(std::make_unique<RawClient>(server->endpoint()));
        crowd.back()->send(post(10) + "x");
    }
    runUntil([&] { return server->openConnections() == 4; });
    RawClient client(server->endpoint());
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_NE(client.readUntil(loop, "done", 5s).find("200"), std::string::npos);
    ASSERT_FALSE(ends.empty());
    EXPECT_EQ(ends.front().reason, ConnectionEndReason::ConnectionShed);
    EXPECT_EQ(ends.front().phase, ConnectionPhase::Body);
}

// Guards against a crowd that takes two descriptors for each connection: one whose answer closes it has a second one.
TEST_F(BoundedServer, CountsTheSecondDescriptorsOfConnectionsThatWillLinger)
{
    HttpServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    options.maximumConnections = 4;
    options.onRequest = [this](ServerRequestId id, const HttpRequest&) { server->respond(id, { 200, {}, std::string(16 * megabyte, 'x') }); };
    server = std::make_unique<HttpServer>(loop, std::move(options));
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(std::make_unique<RawClient>(server->endpoint()));
        crowd.back()->send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        runUntil([until = loop.now() + 50ms, this] { return loop.now() > until; });
    }
    EXPECT_EQ(server->openConnections(), 2u);
}

// Guards against connections that are closed for room at the limit, though no other connection waits.
TEST_F(BoundedServer, KeepsAsManyConnectionsAsTheLimitAllows)
{
    start({}, 3);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 3; ++i)
        clients.push_back(std::make_unique<RawClient>(server->endpoint()));
    runUntil([until = loop.now() + 100ms, this] { return loop.now() > until; });
    EXPECT_EQ(server->openConnections(), 3u);
    EXPECT_TRUE(ends.empty());
}

// Guards against HTTP/2 bodies that escape the account because the connection began as HTTP/1.
TEST_F(BoundedServer, NeverSwitchesAnHttp1ConnectionToHttp2)
{
    start();
    for (const auto* fields : { "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n", "" }) {
        RawClient client(server->endpoint());
        std::string settingsFrame("\0\0\0\4\0\0\0\0\0", 9);
        client.sendAll(loop, "GET / HTTP/1.1\r\nHost: a\r\n" + std::string(fields) + "\r\nPRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settingsFrame);
        auto answers = client.readToEnd(loop, 2s);
        EXPECT_TRUE(answers.starts_with("HTTP/1.1 200")) << answers;
        EXPECT_TRUE(client.isClosedByServer());
    }
}

// Guards against a second request on a connection that escapes the account.
TEST_F(BoundedServer, CountsEachRequestOfAConnection)
{
    start();
    RawClient client(server->endpoint());
    for (int i = 0; i < 3; ++i) {
        client.sendAll(loop, post(3 * megabyte) + std::string(3 * megabyte, 'x'));
        EXPECT_TRUE(runUntil([&] { return bodies.size() == size_t(i) + 1; }));
    }
    runUntil([&] { return memory->held() == 0; });
    client.send(post(10 * megabyte));
    EXPECT_NE(client.readUntil(loop, "no memory").find("HTTP/1.1 503"), std::string::npos);
}

// Guards against answers that escape the account because they come whole at once.
TEST_F(BoundedServer, AnswersThatDoNotFitArentRead)
{
    HttpServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    options.onRequest = [this](ServerRequestId id, const HttpRequest& request) {
        server->respond(id, { 200, {}, std::string(request.target == "/long" ? megabyte : 1000, 'x') });
    };
    server = std::make_unique<HttpServer>(loop, std::move(options));
    auto account = std::make_shared<MemoryBudget>(megabyte / 2);
    HttpClient client(loop, { .memory = account });
    std::vector<ClientResult> results;
    for (const auto* target : { "/long", "/short" }) {
        ClientRequest request;
        request.to = server->endpoint();
        request.request.method = "GET";
        request.request.target = target;
        client.send(std::move(request), [&](ClientResult result) { results.push_back(std::move(result)); });
    }
    ASSERT_TRUE(runUntil([&] { return results.size() == 2; }));
    EXPECT_EQ(results[0].status, ClientStatus::Answered);
    EXPECT_EQ(results[1].status, ClientStatus::NoMemory);
    EXPECT_EQ(account->held(), 1000u);
    results.clear();
    EXPECT_EQ(account->held(), 0u);
}

// Guards against a connection that is closed for room while its own bytes are being reserved.
TEST_F(BoundedServer, RefusesASlowBodyForWhichNobodyElseIsClosed)
{
    memory = std::make_shared<MemoryBudget>(256u << 10);
    start();
    RawClient client(server->endpoint());
    client.sendAll(loop, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nC000\r\n" + std::string(0xC000, 'x') + "\r\n");
    auto slowFrom = loop.now() + 2s;
    runUntil([&] { return loop.now() > slowFrom; });
    // Too young to be closed for room.
    RawClient other(server->endpoint());
    other.send(post(100'000));
    EXPECT_TRUE(runUntil([&] { return memory->held() > 190'000; }));
    client.sendAll(loop, "6000\r\n" + std::string(0x6000, 'x') + "\r\n");
    EXPECT_NE(client.readUntil(loop, "no memory").find("There is no memory"), std::string::npos);
}
