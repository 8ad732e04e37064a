#include <Tests/LibTransport/ClientFixture.h>
#include <Tests/LibTransport/RawServer.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

using namespace Transport;
using namespace TransportTests;

namespace {

class HttpClientFaults : public ::testing::Test, public ClientFixture { };

// Answers each request on a connection with the same bytes, then closes.
RawServer::Script answerAndClose(std::string answer)
{
    return [answer = std::move(answer)](RawConnection& connection) {
        connection.readHead();
        connection.write(answer);
    };
}

const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nthree\r\n9\r\n pick-ups\r\n0\r\n\r\n";
// Ends with its connection.
const std::string unframedAnswer = "HTTP/1.1 200 OK\r\nserver: b\r\n\r\nthree pick-ups";
const std::string sizedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nthree pick-ups";

ClientResult resultFor(const std::string& answer, std::string method = "GET")
{
    ClientFixture fixture;
    RawServer server(answerAndClose(answer));
    auto request = ClientFixture::get(server.endpoint());
    request.request.method = std::move(method);
    return fixture.send(request);
}

}

TEST_F(HttpClientFaults, ReadsBothFramings)
{
    for (const auto& answer : { chunkedAnswer, sizedAnswer }) {
        auto result = resultFor(answer);
        EXPECT_EQ(result.status, ClientStatus::Answered) << result.error;
        EXPECT_EQ(result.response.body, "three pick-ups");
    }
}

TEST_F(HttpClientFaults, NeverTakesACutAnswerForAWholeOne)
{
    for (const auto& answer : { chunkedAnswer, sizedAnswer }) {
        for (size_t length = 0; length < answer.size(); ++length)
            ASSERT_EQ(resultFor(answer.substr(0, length)).status, ClientStatus::Cut) << "cut after " << length << " bytes of " << answer;
    }
}

// A backend server stopped in the middle of its answer's head and closed; no length was known.
TEST_F(HttpClientFaults, AnAnswerThatEndsInItsHeadIsNeverWhole)
{
    for (size_t length = 0; length <= unframedAnswer.size(); ++length)
        ASSERT_NE(resultFor(unframedAnswer.substr(0, length)).status, ClientStatus::Answered) << "cut after " << length << " bytes";
}

RC_GTEST_PROP(HttpClientProperties, NeverTakesACutAnswerForAWholeOne, ())
{
    auto chunks = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))));
    std::string body;
    std::string answer = "HTTP/1.1 200 OK\r\nx-filler: y\r\n";
    if (*rc::gen::arbitrary<bool>()) {
        answer += "Transfer-Encoding: chunked\r\n\r\n";
        for (const auto& chunk : chunks) {
            char size[16];
            snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
            answer += size + chunk + "\r\n";
            body += chunk;
        }
        answer += "0\r\n\r\n";
    } else {
        for (const auto& chunk : chunks)
            body += chunk;
        answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    auto cut = *rc::gen::inRange<size_t>(0, answer.size() + 1);
    auto pause = *rc::gen::inRange<size_t>(0, cut + 1);

    ClientFixture fixture;
    RawServer server([&](RawConnection& connection) {
        connection.readHead();
        connection.write(answer.substr(0, pause));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        connection.write(answer.substr(pause, cut - pause));
    });
    auto result = fixture.send(ClientFixture::get(server.endpoint()));
    RC_ASSERT(result.status == (cut == answer.size() ? ClientStatus::Answered : ClientStatus::Cut));
    RC_ASSERT(result.response.body == (cut == answer.size() ? body : ""));
}

TEST_F(HttpClientFaults, RefusesAnswersThatBreakTheProtocol)
{
    static const std::vector<std::string> answers {
        "garbage\r\n\r\n",
        "HTTP/1.1 abc OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nuntil the close",
        "HTTP/1.0 200 OK\r\nconnection: close\r\n\r\nuntil the close",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        "HTTP/1.1 200 OK\r\nbad header line\r\ncontent-length: 0\r\n\r\n",
    };
    for (const auto& answer : answers)
        EXPECT_EQ(resultFor(answer).status, ClientStatus::Malformed) << answer;
}

TEST_F(HttpClientFaults, RefusesAnswersOverTheLimit)
{
    for (const auto& head : { "HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n" }) {
        RawServer server(answerAndClose(head + std::string(2000, 'x') + "\r\n0\r\n\r\n"));
        auto request = get(server.endpoint());
        request.maximumAnswerBytes = 1000;
        EXPECT_EQ(send(request).status, ClientStatus::Malformed) << head;
    }
}

TEST_F(HttpClientFaults, RefusesAnEndlessHead)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        connection.write("HTTP/1.1 200 OK\r\nx-long: " + std::string(100'000, 'x'));
        connection.waitForClose();
    });
    auto request = get(server.endpoint());
    request.maximumAnswerBytes = 10'000;
    EXPECT_EQ(send(request).status, ClientStatus::Malformed);
}

TEST_F(HttpClientFaults, TakesAnswersWithoutABody)
{
    EXPECT_EQ(resultFor("HTTP/1.1 204 No Content\r\n\r\n").status, ClientStatus::Answered);
    EXPECT_EQ(resultFor("HTTP/1.1 304 Not Modified\r\n\r\n").status, ClientStatus::Answered);
    EXPECT_EQ(resultFor("HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n", "HEAD").status, ClientStatus::Answered);
    EXPECT_EQ(resultFor("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").status, ClientStatus::Answered);
}

TEST_F(HttpClientFaults, SkipsInterimAnswers)
{
    auto result = resultFor("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + sizedAnswer);
    EXPECT_EQ(result.status, ClientStatus::Answered) << result.error;
    EXPECT_EQ(result.response.status, 200);
}

TEST_F(HttpClientFaults, TellsThatNothingWasSentIfTheConnectionIsRefused)
{
    auto result = send(get(unusedEndpoint()));
    EXPECT_EQ(result.status, ClientStatus::NotSent);
    EXPECT_FALSE(result.error.empty());
    EXPECT_EQ(client.counters().connectionsOpen, 0u);
}

TEST_F(HttpClientFaults, ChecksWhetherAPeerTakesConnections)
{
    size_t refusals = 0;
    Model::Endpoint endpoint;
    {
        RawServer server([](RawConnection& connection) { connection.waitForClose(); });
        endpoint = server.endpoint();
        client.checkConnection(endpoint, [&] { ++refusals; });
        runUntil([] { return false; }, 50ms);
        EXPECT_EQ(refusals, 0u);
    }
    client.checkConnection(endpoint, [&] { ++refusals; });
    EXPECT_TRUE(runUntil([&] { return refusals == 1; }));
}

TEST_F(HttpClientFaults, TellsThatNothingWasSentIfTheRequestCannotBeWritten)
{
    RawServer server(answerAndClose(sizedAnswer));
    auto request = get(server.endpoint());
    request.request.headers = { { "x-note", "a\r\nx-smuggled: b" } };
    EXPECT_EQ(send(request).status, ClientStatus::NotSent);
    request = get(server.endpoint(), "/a b");
    EXPECT_EQ(send(request).status, ClientStatus::NotSent);
}

TEST_F(HttpClientFaults, TellsAResetConnectionAsCut)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        connection.resetOnClose();
    });
    EXPECT_EQ(send(get(server.endpoint())).status, ClientStatus::Cut);
}

TEST_F(HttpClientFaults, TellsASilentConnection)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab");
        connection.waitForClose();
    });
    auto request = get(server.endpoint());
    request.progressTimeout = 50ms;
    EXPECT_EQ(send(request).status, ClientStatus::Silent);
    EXPECT_EQ(client.counters().connectionsOpen, 0u);
}

// A watch waits for half a minute on a connection that may be forgotten on the way.
TEST_F(HttpClientFaults, EndsALongWaitOnAConnectionThatWentSilent)
{
    std::atomic<bool> isOver { false };
    RawServer server([&](RawConnection& connection) {
        connection.readHead();
        connection.fallSilent();
        while (!isOver)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    });
    HttpClient probingClient(loop, { .probesConnections = true });
    auto request = get(server.endpoint());
    request.deadline = 31s;
    std::optional<ClientResult> result;
    probingClient.send(std::move(request), [&](ClientResult ended) { result = std::move(ended); });
    EXPECT_TRUE(runUntil([&] { return result.has_value(); }, silenceTimeout + 1s));
    EXPECT_EQ(result.value_or(ClientResult {}).status, ClientStatus::Cut);
    isOver = true;
}

TEST_F(HttpClientFaults, KeepsALongWaitOnAConnectionThatIsMerelyQuiet)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        std::this_thread::sleep_for(std::chrono::seconds(4));
        connection.write(sizedAnswer);
    });
    HttpClient probingClient(loop, { .probesConnections = true });
    auto request = get(server.endpoint());
    request.deadline = 31s;
    std::optional<ClientResult> result;
    probingClient.send(std::move(request), [&](ClientResult ended) { result = std::move(ended); });
    EXPECT_TRUE(runUntil([&] { return result.has_value(); }, 10s));
    EXPECT_EQ(result.value_or(ClientResult {}).status, ClientStatus::Answered);
}

TEST_F(HttpClientFaults, DoesNotTakeASlowAnswerForSilence)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        for (char character : sizedAnswer) {
            connection.write(std::string(1, character));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    });
    auto request = get(server.endpoint());
    request.progressTimeout = 400ms;
    auto result = send(request);
    EXPECT_EQ(result.status, ClientStatus::Answered) << result.error;
    EXPECT_GT(result.elapsed, 400ms);
}

TEST_F(HttpClientFaults, DoesNotTakeASlowUploadForSilence)
{
    static constexpr size_t bodyBytes = 16u << 20;
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        size_t received = 0;
        while (received < bodyBytes) {
            auto count = connection.readSome(1u << 18);
            if (count == 0)
                return;
            received += count;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        connection.write(sizedAnswer);
    });
    auto request = post(server.endpoint(), std::string(bodyBytes, 'x'));
    request.progressTimeout = 400ms;
    request.deadline = 60s;
    auto result = send(request);
    EXPECT_EQ(result.status, ClientStatus::Answered) << result.error;
    EXPECT_GT(result.elapsed, 400ms);
}

TEST_F(HttpClientFaults, TellsAnUploadThatNobodyTakesAsSilent)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    });
    auto request = post(server.endpoint(), std::string(32u << 20, 'x'));
    request.progressTimeout = 100ms;
    EXPECT_EQ(send(request).status, ClientStatus::Silent);
}

TEST_F(HttpClientFaults, TakesAnAnswerThatComesBeforeTheRequestWasSentWhole)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        connection.write("HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        connection.waitForClose();
    });
    auto result = send(post(server.endpoint(), std::string(32u << 20, 'x')));
    EXPECT_EQ(result.status, ClientStatus::Answered) << result.error;
    EXPECT_EQ(result.response.status, 413);
    EXPECT_EQ(client.counters().connectionsOpen, 0u);
}

TEST_F(HttpClientFaults, EndsASlowAnswerAtTheDeadline)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        for (char character : sizedAnswer) {
            connection.write(std::string(1, character));
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    auto request = get(server.endpoint());
    request.deadline = 200ms;
    EXPECT_EQ(send(request).status, ClientStatus::TimedOut);
}

TEST_F(HttpClientFaults, DoesNotReuseAConnectionAfterBytesThatNobodyAskedFor)
{
    RawServer server(answerAndClose(sizedAnswer + sizedAnswer));
    EXPECT_EQ(send(get(server.endpoint())).status, ClientStatus::Answered);
    EXPECT_EQ(client.counters().connectionsOpen, 0u);
}

TEST_F(HttpClientFaults, OpensANewConnectionIfTheIdleOneWasClosed)
{
    RawServer server(answerAndClose(sizedAnswer));
    EXPECT_EQ(send(get(server.endpoint())).status, ClientStatus::Answered);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    auto second = send(get(server.endpoint()));
    EXPECT_EQ(second.status, ClientStatus::Answered) << second.error;
    EXPECT_TRUE(second.wasFreshConnection);
    EXPECT_EQ(server.acceptedConnections(), 2);
}

TEST_F(HttpClientFaults, TellsAReusedConnectionThatYieldsNothing)
{
    RawServer server([](RawConnection& connection) {
        connection.readHead();
        connection.write(sizedAnswer);
        connection.readHead();
    });
    EXPECT_EQ(send(get(server.endpoint())).status, ClientStatus::Answered);
    auto second = send(get(server.endpoint()));
    EXPECT_EQ(second.status, ClientStatus::Cut);
    EXPECT_FALSE(second.wasFreshConnection);
    EXPECT_EQ(server.acceptedConnections(), 1);
}

TEST_F(HttpClientFaults, CountsBytes)
{
    RawServer server(answerAndClose(sizedAnswer));
    send(get(server.endpoint()));
    EXPECT_EQ(client.counters().bytesReceived, sizedAnswer.size());
    EXPECT_GT(client.counters().bytesSent, 20u);
}
