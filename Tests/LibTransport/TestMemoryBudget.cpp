#include <LibTransport/Http2Frames.h>
#include <LibTransport/MemoryBudget.h>
#include <LibTransport/RequestHead.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Transport;

namespace {

std::string frame(uint32_t length, uint8_t type, uint8_t flags, uint32_t stream)
{
    std::string text { static_cast<char>(length >> 16), static_cast<char>(length >> 8), static_cast<char>(length), static_cast<char>(type), static_cast<char>(flags), 0, 0, 0, static_cast<char>(stream) };
    return text + std::string(length, 'x');
}

}

TEST(MemoryBudget, KeepsAPartForSmallReservations)
{
    auto budget = std::make_shared<MemoryBudget>(1u << 20);
    Reservation large(budget, MemoryKind::Arriving);
    EXPECT_FALSE(large.resize(1u << 20));
    EXPECT_TRUE(large.resize((1u << 20) / 8 * 7));
    Reservation small(budget, MemoryKind::Answers);
    EXPECT_TRUE(small.resize(smallReservation));
    EXPECT_FALSE(large.resize(large.bytes() + 1));
    EXPECT_EQ(budget->held(MemoryKind::Answers), smallReservation);
}

// Guards against a budget that loses or keeps bytes nobody holds.
RC_GTEST_PROP(MemoryBudgetProperties, HoldsTheSumOfItsReservations, ())
{
    auto budget = std::make_shared<MemoryBudget>(1u << 24);
    std::vector<std::unique_ptr<Reservation>> reservations;
    for (int i = 0; i < 8; ++i)
        reservations.push_back(std::make_unique<Reservation>(budget, static_cast<MemoryKind>(i % 5)));
    for (auto step : *rc::gen::container<std::vector<uint32_t>>(rc::gen::arbitrary<uint32_t>())) {
        reservations[step % 8]->resize(step >> 8);
        uint64_t sum = 0;
        for (const auto& reservation : reservations)
            sum += reservation->bytes();
        RC_ASSERT(budget->held() == sum);
        RC_ASSERT(sum <= budget->total());
    }
    reservations.clear();
    RC_ASSERT(budget->held() == 0u);
}

TEST(MemoryBudget, ShedsTheHighestScoreUntilThereIsRoom)
{
    auto budget = std::make_shared<MemoryBudget>(1u << 20);
    std::vector<std::unique_ptr<Reservation>> holders;
    holders.reserve(2);
    for (uint64_t bytes : { 300'000, 500'000 }) {
        auto& holder = holders.emplace_back(std::make_unique<Reservation>(budget, MemoryKind::Arriving));
        ASSERT_TRUE(holder->resize(bytes));
        budget->addShedder({ [&holder] { return static_cast<double>(holder->bytes()); }, [&holder] { holder->force(0); } });
    }
    Reservation requester(budget, MemoryKind::Arriving);
    EXPECT_TRUE(requester.resize(600'000));
    EXPECT_EQ(holders[0]->bytes(), 300'000u);
    EXPECT_EQ(holders[1]->bytes(), 0u);
    // What can't fit into an empty budget closes nobody.
    EXPECT_FALSE(requester.resize(2u << 20));
    EXPECT_EQ(holders[0]->bytes(), 300'000u);
}

TEST(MemoryBudget, LeavesHalfOfASmallMachineToTheProcess)
{
    EXPECT_EQ(budgetOfMachine(160u << 20), 80u << 20);
    EXPECT_EQ(budgetOfMachine(uint64_t(4) << 30), (uint64_t(4) << 30) - (192u << 20));
}

TEST(RequestHead, IsFoundInPieces)
{
    std::string text = "POST / HTTP/1.1\r\ncontent-LENGTH: 12\r\nTransfer-Encoding: x\r\n\r\nbody";
    EXPECT_FALSE(findRequestHead(std::string_view(text).substr(0, text.size() - 5), 0));
    auto head = findRequestHead(text, text.size() - 5);
    ASSERT_TRUE(head);
    EXPECT_EQ(head->bytes, text.size() - 4);
    EXPECT_EQ(head->contentLength, 12u);
    EXPECT_TRUE(head->isChunked);
    EXPECT_FALSE(findRequestHead("\r\n\r\nGET / HTTP/1.1\r\n", 0));
    EXPECT_TRUE(findRequestHead("GET / HTTP/1.1\n\n", 0));
}

TEST(Http2Frames, CountsRequestsThatArentHandedOver)
{
    Http2Frames frames;
    std::string input(http2Preface);
    input += frame(0, 4, 0, 0) + frame(10, 1, 4, 1) + frame(500, 0, 0, 1) + frame(10, 1, 4, 3) + frame(300, 0, 0, 3);
    frames.read(input, 1000);
    EXPECT_EQ(frames.heldBytes(), 820u);
    frames.consume(input.size());
    frames.read(frame(200, 0, 1, 1), 1000);
    EXPECT_EQ(frames.heldBytes(), 1020u);
    frames.consume(209);
    frames.requestHanded(700);
    EXPECT_EQ(frames.heldBytes(), 310u);
    // A stream beyond the limit is reset by the library.
    frames.read(frame(900, 0, 0, 3), 1000);
    EXPECT_EQ(frames.heldBytes(), 0u);
}

// Guards against bytes that stay counted for the life of a connection: those that a peer sends on a stream before it hears that
// the stream was refused, and those of a head that goes on in further frames.
TEST(Http2Frames, KeepsNothingOfRefusedStreamsAndWholeHeads)
{
    Http2Frames frames;
    auto take = [&](const std::string& input) {
        frames.read(input, 1000);
        frames.consume(input.size());
    };
    take(std::string(http2Preface) + frame(10, 1, 4, 1) + frame(500, 0, 0, 1));
    frames.refuseLast();
    take(frame(300, 0, 0, 1) + frame(200, 0, 0, 1));
    EXPECT_EQ(frames.heldBytes(), 0u);
    take(frame(100, 1, 1, 3) + frame(50, 9, 4, 3));
    frames.requestHanded(0);
    EXPECT_EQ(frames.heldBytes(), 0u);
    EXPECT_EQ(frames.tableBytes(), 0u);
}

// Guards against bytes that are released while the library holds them: it refuses a body only by a whole frame, and knows
// nothing of heads and padding in its limit on bodies.
TEST(Http2Frames, KeepsStreamsThatTheLibraryHasNotRefused)
{
    Http2Frames frames;
    std::string input = std::string(http2Preface) + frame(10, 1, 4, 1) + frame(900, 0, 0, 1);
    frames.read(input, 1000);
    frames.consume(input.size());
    auto last = frame(100, 0, 0, 1);
    frames.read(std::string_view(last).substr(0, 50), 1000);
    frames.refuseLast();
    EXPECT_EQ(frames.heldBytes(), 1010u);
    frames.read(last, 1000);
    EXPECT_EQ(frames.heldBytes(), 1010u);
    frames.refuseLast();
    EXPECT_EQ(frames.heldBytes(), 0u);
}

// Guards against counts that depend on how the bytes were cut on their way.
RC_GTEST_PROP(Http2FramesProperties, CountAlikeHoweverTheBytesAreCut, (uint8_t step))
{
    std::string input(http2Preface);
    for (uint32_t stream = 1; stream < 9; stream += 2)
        input += frame(20, 1, 4, stream) + frame(100, 0, stream == 5 ? 1 : 0, stream);
    Http2Frames whole;
    whole.read(input, 1000);
    Http2Frames cut;
    for (size_t size = 0; size < input.size(); size += step + 1u)
        cut.read(std::string_view(input).substr(0, size), 1000);
    cut.read(input, 1000);
    RC_ASSERT(cut.heldBytes() == whole.heldBytes());
    RC_ASSERT(whole.heldBytes() == 480u);
}
