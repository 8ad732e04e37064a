#include <Tests/System/Crowd/EndlessServer.h>
#include <Tests/System/Crowd/SmallFleet.h>

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <iostream>

using namespace CrowdTests;

namespace {

constexpr int crowdSize = 150;
constexpr int slowReaders = 40;
// Allocator, log queue, and a buffer that is copied while it grows.
constexpr uint64_t processSlack = 16u << 20;
// Structures and first buffers of one connection, with 16 KB of head.
constexpr uint64_t bytesPerConnection = 64u << 10;
// A client that was closed connects once more, while its first connection may still be closing.
constexpr size_t descriptorsPerConnection = 2;
// Connections to the backend server, to the platform, and of the ordinary request.
constexpr size_t descriptorSlack = 64;
// Time for answers to arrive at clients that have sent all they have.
constexpr CrowdBounds untilAnswered { .roundsAfter = 400 };

const std::string filler(1u << 16, 'x');
const std::string chunk = "10000\r\n" + filler + "\r\n";

std::string postHead(const std::string& framing) { return "POST /upload HTTP/1.1\r\nhost: commission-desk\r\n" + framing + "\r\n\r\n"; }

std::string announcedHead(uint64_t bytes) { return postHead("content-length: " + std::to_string(bytes)); }

std::string chunkedHead() { return postHead("transfer-encoding: chunked"); }

std::string answerHead(const std::string& service, uint64_t bytes)
{
    return "GET /answer HTTP/1.1\r\nhost: " + service + "\r\nstandin-answer-bytes: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string frame(uint8_t type, uint8_t flags, uint32_t stream, const std::string& payload)
{
    std::string text;
    for (int shift : { 16, 8, 0 })
        text += static_cast<char>(payload.size() >> shift);
    text += static_cast<char>(type);
    text += static_cast<char>(flags);
    for (int shift : { 24, 16, 8, 0 })
        text += static_cast<char>(stream >> shift);
    return text + payload;
}

// The head of a request in HPACK's static table, with the authority as a literal.
std::string http2Head(uint32_t stream)
{
    std::string authority = "commission-desk";
    return frame(1, 4, stream, std::string("\x83\x86\x84\x01", 4) + static_cast<char>(authority.size()) + authority);
}

// Opens all streams, whose bodies then grow in turn.
ClientPlan http2Client(const Endpoint& to, int streams, uint64_t bytesPerStream)
{
    ClientPlan plan { .to = to };
    plan.head = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "");
    for (int i = 0; i < streams; ++i) {
        plan.head += http2Head(2 * i + 1);
        plan.block += frame(0, 0, 2 * i + 1, std::string(16384, 'x'));
    }
    plan.bodyBytes = bytesPerStream * streams / 16384 * (16384 + 9);
    return plan;
}

class Crowd : public testing::Test {
protected:
    void start(const FleetOptions& options = {})
    {
        m_fleet = std::make_unique<SmallFleet>(options);
        m_residentAtStart = fleet().fulmard().residentBytes();
        m_descriptorsAtStart = fleet().fulmard().openDescriptors();
    }
    SmallFleet& fleet() { return *m_fleet; }
    uint64_t residentAtStart() const { return m_residentAtStart; }

    void look()
    {
        m_mostResident = std::max(m_mostResident, fleet().fulmard().residentBytes());
        m_mostDescriptors = std::max(m_mostDescriptors, fleet().fulmard().openDescriptors());
    }

    void play(
        const std::vector<ClientPlan>& plans, const CrowdBounds& bounds = {}, const std::function<void()>& onRound = [] {})
    {
        auto round = [&] {
            onRound();
            look();
        };
        playCrowd(plans, bounds, round, [this] { m_answersOrdinary = fleet().answersOrdinaryRequest(); });
        check(plans.size());
    }

    // Each server holds its answers open at the given length.
    void playAgainstEndlessServers(uint64_t bytesPerAnswer)
    {
        constexpr int roundsPerAnnouncement = 100;
        std::array<EndlessServer, 4> servers { EndlessServer(bytesPerAnswer), EndlessServer(bytesPerAnswer), EndlessServer(bytesPerAnswer), EndlessServer(bytesPerAnswer) };
        auto announce = [&] { std::ranges::for_each(servers, [this](const auto& server) { fleet().announceBackend("endless", server.port()); }); };
        int round = 0;
        auto serve = [&] {
            if (++round % roundsPerAnnouncement == 0)
                announce();
            std::ranges::for_each(servers, [](auto& server) { server.serve(); });
        };
        announce();
        play(repeat({ .to = fleet().callers(), .head = answerHead("endless", 0) }, slowReaders), untilAnswered, serve);
    }

    void check(size_t connections)
    {
        look();
        auto residentBound = m_residentAtStart + Limit::memoryBytes + processSlack + connections * bytesPerConnection;
        auto descriptorBound = m_descriptorsAtStart + connections * descriptorsPerConnection + descriptorSlack;
        std::cout << "resident " << m_mostResident / 1000 << " kB of " << residentBound / 1000 << ", descriptors "
                  << m_mostDescriptors << " of " << descriptorBound << "\n";
        ASSERT_TRUE(fleet().fulmard().lives());
        EXPECT_LE(m_mostResident, residentBound);
        EXPECT_LE(m_mostDescriptors, descriptorBound);
        EXPECT_TRUE(m_answersOrdinary);
    }

    static std::vector<ClientPlan> repeat(const ClientPlan& plan, int count) { return std::vector<ClientPlan>(count, plan); }

    static std::vector<ClientPlan> fromManyAddresses(std::vector<ClientPlan> plans)
    {
        for (size_t i = 0; i < plans.size(); ++i)
            plans[i].from = "127.0.0." + std::to_string(2 + i);
        return plans;
    }

    // Bodies of legal size that stop one byte before their end.
    std::vector<ClientPlan> almostWholeBodies(const Endpoint& to)
    {
        return repeat({ .to = to, .head = announcedHead(Limit::requestBodyBytes), .block = filler, .bodyBytes = Limit::requestBodyBytes - 1 }, crowdSize);
    }

    // Chunks of 15 times 64 KiB, without the last one.
    std::vector<ClientPlan> almostWholeChunks(const Endpoint& to)
    {
        return repeat({ .to = to, .head = chunkedHead(), .block = chunk, .bodyBytes = 15 * chunk.size() }, crowdSize);
    }

private:
    std::unique_ptr<SmallFleet> m_fleet;
    uint64_t m_residentAtStart { 0 };
    size_t m_descriptorsAtStart { 0 };
    uint64_t m_mostResident { 0 };
    size_t m_mostDescriptors { 0 };
    bool m_answersOrdinary { false };
};

}

// Each test guards against a process that outgrows its memory or descriptors, ends, or serves nobody else under the load
// that its name says.

TEST_F(Crowd, NoneAndALegalBodyIsServed)
{
    start();
    auto head = postHead("connection: close\r\ncontent-length: " + std::to_string(Limit::requestBodyBytes));
    EXPECT_EQ(requestStatus(fleet().callers(), head + std::string(Limit::requestBodyBytes, 'x'), std::chrono::seconds(10)), 200);
}

// A machine of 160 MB has an account of 80 MiB.
TEST_F(Crowd, NoneAndTheLargestBodyIsServedOnASmallMachine)
{
    constexpr uint64_t largestBody = 64u << 20;
    constexpr uint64_t memory = 80u << 20;
    start({ .requestBodyBytes = largestBody, .memoryBytes = memory });
    auto head = postHead("connection: close\r\ncontent-length: " + std::to_string(largestBody));
    EXPECT_EQ(requestStatus(fleet().callers(), head + std::string(largestBody, 'x'), std::chrono::seconds(30)), 200);
    EXPECT_LE(fleet().fulmard().peakResidentBytes(), residentAtStart() + memory + processSlack);
}

TEST_F(Crowd, NoneAndABodyThatTheMachineCannotHoldIsRefused)
{
    constexpr uint64_t largestBody = 64u << 20;
    start({ .requestBodyBytes = largestBody });
    auto head = postHead("connection: close\r\ncontent-length: " + std::to_string(largestBody));
    EXPECT_EQ(requestStatus(fleet().callers(), head, std::chrono::seconds(10)), 503);
    EXPECT_TRUE(fleet().answersOrdinaryRequest());
}

TEST_F(Crowd, BodiesAnnouncedFarOverTheLimit)
{
    start();
    play(repeat({ .to = fleet().callers(), .head = announcedHead(100'000'000), .block = filler, .bodyBytes = 3'000'000 }, crowdSize));
}

TEST_F(Crowd, BodiesSentFarOverTheLimit)
{
    start();
    play(repeat({ .to = fleet().callers(), .head = chunkedHead(), .block = chunk, .bodyBytes = 2 * Limit::requestBodyBytes }, crowdSize));
}

TEST_F(Crowd, LegalBodiesThatStopBeforeTheirEnd)
{
    start();
    play(almostWholeBodies(fleet().callers()));
}

TEST_F(Crowd, LegalBodiesThatStopBeforeTheirEndFromManyAddresses)
{
    start();
    play(fromManyAddresses(almostWholeBodies(fleet().callers())));
}

TEST_F(Crowd, LegalChunkedBodiesThatStopBeforeTheirEnd)
{
    start();
    play(almostWholeChunks(fleet().callers()));
}

TEST_F(Crowd, LegalChunkedBodiesThatStopBeforeTheirEndFromManyAddresses)
{
    start();
    play(fromManyAddresses(almostWholeChunks(fleet().callers())));
}

TEST_F(Crowd, WholeLegalBodiesInGreatNumber)
{
    start();
    play(repeat({ .to = fleet().callers(), .head = announcedHead(Limit::requestBodyBytes), .block = filler, .bodyBytes = Limit::requestBodyBytes }, crowdSize), untilAnswered);
}

TEST_F(Crowd, LongAnswersReadSlowly)
{
    start();
    ClientPlan plan { .to = fleet().callers(), .head = answerHead("commission-desk", 11'900'000), .readBytes = 512, .receiveBuffer = 4096 };
    play(repeat(plan, slowReaders), untilAnswered);
}

TEST_F(Crowd, LongAnswersReadNotAtAll)
{
    start();
    ClientPlan plan { .to = fleet().callers(), .head = answerHead("commission-desk", 11'900'000), .readBytes = 0, .receiveBuffer = 4096 };
    play(fromManyAddresses(repeat(plan, slowReaders)), untilAnswered);
}

TEST_F(Crowd, HeadsThatNeverEnd)
{
    start();
    play(repeat({ .to = fleet().callers(), .head = "GET / HTTP/1.1\r\n", .block = "x-more: " + std::string(100, 'x') + "\r\n", .bodyBytes = 10'000'000 }, crowdSize));
}

TEST_F(Crowd, HeadsThatStop)
{
    start();
    play(repeat({ .to = fleet().callers(), .head = "GET / HTTP/1.1\r\n", .block = "x-more: " + std::string(100, 'x') + "\r\n", .bodyBytes = 6'000 }, crowdSize));
}

TEST_F(Crowd, ConnectionsThatSendNothing)
{
    start();
    play(repeat({ .to = fleet().callers() }, crowdSize));
}

// The ordinary request, the backend server and the store need descriptors too.
TEST_F(Crowd, MoreConnectionsThanDescriptors)
{
    start({ .maximumDescriptors = 100 });
    play(repeat({ .to = fleet().callers() }, crowdSize));
}

TEST_F(Crowd, BodiesInHttp2Streams)
{
    start();
    play(repeat(http2Client(fleet().callers(), 20, 900'000), 10));
}

TEST_F(Crowd, BodiesOverTheLimitInHttp2Streams)
{
    start();
    play(repeat(http2Client(fleet().callers(), 20, 3'000'000), 10));
}

TEST_F(Crowd, ManyHttp2ConnectionsWithOneBody)
{
    start();
    play(fromManyAddresses(repeat(http2Client(fleet().callers(), 1, 900'000), crowdSize)));
}

TEST_F(Crowd, AnswersOfBackendServersWithoutEnd)
{
    start();
    playAgainstEndlessServers(30'000'000);
}

TEST_F(Crowd, AnswersOfBackendServersThatStopBeforeTheLimit)
{
    start();
    playAgainstEndlessServers(Limit::answerBodyBytes - 100'000);
}

TEST_F(Crowd, AnswersOfABackendServerFarOverTheLimit)
{
    start();
    play(repeat({ .to = fleet().callers(), .head = answerHead("commission-desk", 30'000'000) }, slowReaders), untilAnswered);
}

TEST_F(Crowd, RunOrdersThatStopBeforeTheirEnd)
{
    start();
    play(almostWholeBodies(fleet().control()));
}

TEST_F(Crowd, ChunkedRunOrdersThatStopBeforeTheirEnd)
{
    start();
    auto plans = almostWholeChunks(fleet().control());
    for (auto& plan : plans)
        plan.head = "POST /upload HTTP/1.1\r\nhost: commission-desk\r\nfulmar-run: x\r\ntransfer-encoding: chunked\r\n\r\n";
    play(plans);
}
