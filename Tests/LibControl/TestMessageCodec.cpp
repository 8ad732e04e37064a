#include "MessageGenerators.h"

#include <LibDecision/Membership/RecordSize.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Control;
using namespace Control::Testing;

namespace {

Refusal refusalOf(const std::string& text)
{
    MessageCodec codec;
    try {
        codec.decode(text);
    } catch (const ControlError& error) {
        return error.refusal();
    }
    throw std::logic_error("accepted: " + text);
}

std::string pingText()
{
    Envelope envelope;
    envelope.message.body = Ping { 7, {} };
    return MessageCodec().encode(envelope);
}

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

RC_GTEST_PROP(MessageCodec, EveryMessageRoundTrips, ())
{
    MessageCodec codec;
    auto envelope = anyEnvelope();
    RC_ASSERT(codec.decode(codec.encode(envelope)) == envelope);
}

RC_GTEST_PROP(MessageCodec, NoMessageIsLongerThanItsEstimatedSize, ())
{
    Envelope envelope;
    envelope.to = { "127.0.0.1", 2001 };
    envelope.senderStart = Incarnation(1'796'000'000'000'000);
    envelope.sequence = 123'456;
    envelope.message = { InstanceId("desk-agadir-0001"), Incarnation(1'796'000'000'000'000), { "127.0.0.1", 2002 }, anyBody() };
    RC_ASSERT(MessageCodec().encode(envelope).size() <= estimatedSize(envelope.message.body));
}

RC_GTEST_PROP(MessageCodec, CorruptedTextsAreRefusedOrRoundTrip, ())
{
    MessageCodec codec;
    auto text = codec.encode(anyEnvelope());
    auto position = *rc::gen::inRange<size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>())
        text.resize(position);
    try {
        auto envelope = codec.decode(text);
        RC_ASSERT(codec.decode(codec.encode(envelope)) == envelope);
    } catch (const ControlError&) {
        RC_TAG("refused");
    }
}

TEST(MessageCodec, RefusesUnknownVersionsUnknownKindsAndMalformedTexts)
{
    EXPECT_EQ(refusalOf(replaceFirst(pingText(), "\"version\":1", "\"version\":2")), Refusal::UnknownVersion);
    EXPECT_EQ(refusalOf(replaceFirst(pingText(), "\"ping\"", "\"pong\"")), Refusal::Malformed);
    EXPECT_EQ(refusalOf(replaceFirst(pingText(), "\"sequence\":7", "\"sequence\":-7")), Refusal::Malformed);
    EXPECT_EQ(refusalOf(replaceFirst(pingText(), "\"sequence\":7", "\"sequence\":\"7\"")), Refusal::Malformed);
    EXPECT_EQ(refusalOf(""), Refusal::Malformed);
    EXPECT_EQ(refusalOf("[]"), Refusal::Malformed);
    EXPECT_EQ(refusalOf(std::string(maximumMessageBytes + 1, ' ')), Refusal::Oversized);
    EXPECT_EQ(refusalOf(std::string(100'000, '[')), Refusal::Malformed);
}
