#include <LibModel/Error.h>
#include <LibTransport/HttpServer.h>
#include <Tests/LibTransport/RawClient.h>

#include <algorithm>
#include <cctype>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

using namespace Transport;
using namespace TransportTests;
using namespace std::chrono_literals;

namespace {

class HttpServerConnections : public ::testing::Test {
protected:
    HttpServerConnections()
    {
        HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maximumBodyBytes = 1000;
        options.onRequest = [this](ServerRequestId id, HttpRequest request) {
            requests.push_back(request);
            if (holdsAnswers) {
                held.push_back(id);
                return;
            }
            server->respond(id, answer);
        };
        options.onRequestGone = [this](ServerRequestId id) { gone.push_back(id); };
        options.onBodyTooLarge = [] { return HttpResponse { 413, { { "x-outcome", "not-run" } }, "too large for us" }; };
        server = std::make_unique<HttpServer>(loop, std::move(options));
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        auto end = loop.now() + 10s;
        while (!condition() && loop.now() < end)
            loop.runOnce(1ms);
        return condition();
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    HttpResponse answer { 200, {}, "done" };
    bool holdsAnswers { false };
    std::vector<HttpRequest> requests;
    std::vector<ServerRequestId> held;
    std::vector<ServerRequestId> gone;
};

const std::string getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

size_t countOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

}

TEST_F(HttpServerConnections, TellsTheStepAndEndpointIfItCannotListen)
{
    HttpServerOptions options;
    options.listen = { "192.0.2.1", 1 };
    try {
        HttpServer second(loop, options);
        FAIL() << "listened on an address of another host";
    } catch (const Model::Error& error) {
        EXPECT_EQ(error.step(), "bind listener");
        EXPECT_EQ(error.peer(), "192.0.2.1:1");
    }
}

TEST_F(HttpServerConnections, WritesServerAndDateOnceAtMost)
{
    answer.headers = { { "server", "backend" }, { "date", "Thu, 01 Jan 1970 00:00:00 GMT" }, { "x-kept", "yes" }, { "content-length", "99" } };
    RawClient client(server->endpoint());
    client.send(getRequest);
    auto text = client.readUntil(loop, "done");
    std::string lower = text;
    std::ranges::transform(lower, lower.begin(), [](unsigned char character) { return std::tolower(character); });
    EXPECT_EQ(countOf(lower, "\r\nserver:"), 1u) << text;
    EXPECT_EQ(countOf(lower, "\r\ndate:"), 1u) << text;
    EXPECT_EQ(countOf(lower, "\r\ncontent-length: 4\r\n"), 1u) << text;
    EXPECT_EQ(countOf(lower, "\r\ncontent-length:"), 1u) << text;
    EXPECT_EQ(countOf(lower, "\r\nx-kept: yes"), 1u) << text;
}

TEST_F(HttpServerConnections, LowersHeaderNamesAndReadsChunkedBodies)
{
    RawClient client(server->endpoint());
    client.send("POST /a?b HTTP/1.1\r\nHost: A\r\nX-Mixed-Case: Value\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    client.readUntil(loop, "done");
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_EQ(requests[0].body, "abcdefg");
    EXPECT_EQ(requests[0].target, "/a?b");
    EXPECT_EQ(findHeader(requests[0].headers, "x-mixed-case"), "Value");
}

TEST_F(HttpServerConnections, AnswersPipelinedRequestsInOrder)
{
    RawClient client(server->endpoint());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return requests.size() == 3; }));
    EXPECT_EQ(requests[0].target, "/1");
    EXPECT_EQ(requests[2].target, "/3");
    client.readUntil(loop, "never", 20ms);
    EXPECT_EQ(countOf(client.readUntil(loop, "never", 1ms), "done"), 3u);
}

TEST_F(HttpServerConnections, RefusesABodyOverTheLimitWithTheGivenAnswer)
{
    std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (const auto& [head, part] : { std::pair { "Content-Length: 2000000", std::string(0x10000, 'x') }, std::pair { "Transfer-Encoding: chunked", chunk } }) {
        RawClient client(server->endpoint());
        client.send("POST / HTTP/1.1\r\nHost: a\r\n" + std::string(head) + "\r\n\r\n");
        for (int i = 0; i < 20; ++i)
            client.sendAll(loop, part);
        auto text = client.readUntil(loop, "too large for us");
        EXPECT_TRUE(text.starts_with("HTTP/1.1 413 Content Too Large")) << text;
        EXPECT_EQ(countOf(text, "x-outcome: not-run"), 1u) << text;
        EXPECT_TRUE(text.ends_with("\r\n\r\ntoo large for us")) << text;
        client.readToEnd(loop);
        EXPECT_TRUE(client.isClosedByServer());
    }
    EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServerConnections, KeepsTheConnectionOfABodyThatIsALittleTooLarge)
{
    RawClient client(server->endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'));
    auto text = client.readUntil(loop, "too large for us");
    EXPECT_TRUE(text.starts_with("HTTP/1.1 413 Content Too Large")) << text;
    client.send(getRequest);
    client.readUntil(loop, "done");
    EXPECT_EQ(requests.size(), 1u);
    EXPECT_FALSE(client.isClosedByServer());
}

TEST_F(HttpServerConnections, TakesABodyAtTheLimit)
{
    RawClient client(server->endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    client.readUntil(loop, "done");
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_EQ(requests[0].body.size(), 1000u);
}

TEST_F(HttpServerConnections, RefusesRequestsWhoseLengthIsAmbiguous)
{
    for (const auto* fields : { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n" }) {
        RawClient client(server->endpoint());
        client.send(std::string("POST / HTTP/1.1\r\nHost: a\r\n") + fields + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
        auto text = client.readToEnd(loop);
        EXPECT_TRUE(text.starts_with("HTTP/1.1 400")) << fields << text;
        EXPECT_TRUE(client.isClosedByServer());
    }
    EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServerConnections, NoticesThatACallerClosed)
{
    holdsAnswers = true;
    RawClient client(server->endpoint());
    client.send(getRequest);
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    client.close();
    EXPECT_TRUE(runUntil([&] { return gone.size() == 1; }));
    EXPECT_EQ(gone, held);
    EXPECT_EQ(server->openRequests(), 0u);
}

TEST_F(HttpServerConnections, NoticesThatACallerReset)
{
    holdsAnswers = true;
    RawClient client(server->endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    client.reset();
    EXPECT_TRUE(runUntil([&] { return gone.size() == 1; }));
}

TEST_F(HttpServerConnections, NoticesThatACallerClosedBehindItsNextRequest)
{
    holdsAnswers = true;
    RawClient client(server->endpoint());
    client.send(getRequest);
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    client.send(getRequest);
    loop.runOnce(20ms);
    client.close();
    EXPECT_TRUE(runUntil([&] { return gone.size() == 1; }));
    EXPECT_EQ(server->openRequests(), 0u);
    loop.runOnce(20ms);
    EXPECT_EQ(requests.size(), 1u);
}

TEST_F(HttpServerConnections, NoticesThatACallerResetBehindPartOfItsNextRequest)
{
    holdsAnswers = true;
    RawClient client(server->endpoint());
    client.send(getRequest);
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    client.send("GET / HT");
    loop.runOnce(20ms);
    client.reset();
    EXPECT_TRUE(runUntil([&] { return gone.size() == 1; }));
    EXPECT_EQ(server->openRequests(), 0u);
}

// The close comes while the first answer is being written, when no request waits.
TEST_F(HttpServerConnections, HandsOnNoRequestOfACallerThatClosedBeforeItWasRead)
{
    answer.body = std::string(32u << 20, 'x');
    RawClient client(server->endpoint());
    client.send(getRequest);
    ASSERT_TRUE(runUntil([&] { return requests.size() == 1; }));
    client.send(getRequest);
    client.shutdownSending();
    client.readToEnd(loop);
    EXPECT_TRUE(client.isClosedByServer());
    EXPECT_EQ(requests.size(), 1u);
}

// A close with unread bytes resets the connection, and what the caller hasn't read of the answer is lost.
TEST_F(HttpServerConnections, DeliversAnAnswerWholeBeforeItClosesBehindTheNextRequest)
{
    holdsAnswers = true;
    RawClient client(server->endpoint());
    client.send(getRequest);
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    client.send(getRequest);
    loop.runOnce(20ms);
    server->closeAfterAnswers();
    std::string body(8u << 20, 'x');
    server->respond(held[0], { 200, {}, body });
    loop.runOnce(20ms);
    EXPECT_TRUE(server->hasUnwrittenAnswers());

    auto text = client.readToEnd(loop);
    EXPECT_TRUE(text.starts_with("HTTP/1.1 200 OK"));
    EXPECT_TRUE(text.ends_with("\r\n\r\n" + body)) << text.size() << " bytes";
    EXPECT_FALSE(server->hasUnwrittenAnswers());
    EXPECT_EQ(server->lingeringConnections(), 1u);
    client.close();
    EXPECT_TRUE(runUntil([&] { return server->lingeringConnections() == 0; }));
    EXPECT_EQ(requests.size(), 1u);
}

TEST_F(HttpServerConnections, GivesNoAnswerToACallerThatClosedItsSide)
{
    holdsAnswers = true;
    RawClient client(server->endpoint());
    client.send(getRequest);
    ASSERT_TRUE(runUntil([&] { return held.size() == 1; }));
    client.shutdownSending();
    ASSERT_TRUE(runUntil([&] { return gone.size() == 1; }));
    EXPECT_EQ(client.readToEnd(loop), "");
    EXPECT_TRUE(client.isClosedByServer());
}

TEST_F(HttpServerConnections, RunsNothingOfARequestThatIsCut)
{
    std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789";
    for (size_t length = 0; length < request.size(); ++length) {
        RawClient client(server->endpoint());
        client.send(request.substr(0, length));
        client.shutdownSending();
        client.readToEnd(loop);
        ASSERT_TRUE(client.isClosedByServer()) << length;
    }
    EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServerConnections, KeepsTheConnectionAfterAnAnswer)
{
    RawClient client(server->endpoint());
    for (size_t i = 1; i <= 3; ++i) {
        client.send(getRequest);
        ASSERT_TRUE(runUntil([&] { return requests.size() == i; }));
    }
    client.readUntil(loop, "never", 10ms);
    EXPECT_FALSE(client.isClosedByServer());
}

TEST_F(HttpServerConnections, LetsAnExceptionOfItsOwnerLeaveTheLoop)
{
    HttpServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    options.onRequest = [](ServerRequestId, const HttpRequest&) { throw Model::Error("handle", "local", "broken"); };
    HttpServer throwing(loop, options);
    RawClient client(throwing.endpoint());
    client.send(getRequest);
    EXPECT_THROW(runUntil([] { return false; }), Model::Error);

    RawClient other(server->endpoint());
    other.send(getRequest);
    other.readUntil(loop, "done");
    EXPECT_EQ(requests.size(), 1u);
}

TEST_F(HttpServerConnections, AcceptsManyConnections)
{
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 300; ++i) {
        clients.push_back(std::make_unique<RawClient>(server->endpoint()));
        clients.back()->send(getRequest);
    }
    EXPECT_TRUE(runUntil([&] { return requests.size() == clients.size(); }));
}
