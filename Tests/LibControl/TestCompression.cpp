#include <LibControl/Compression.h>
#include <LibControl/ControlError.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Control;

RC_GTEST_PROP(Compression, TextsRoundTrip, (const std::string& part))
{
    auto text = "{" + part;
    for (int doublings = *rc::gen::inRange(0, 12); doublings > 0 && text.size() < 100'000; --doublings)
        text += text;
    auto bytes = compress(text);
    RC_ASSERT(bytes.size() <= text.size() + 100);
    RC_ASSERT(decompress(bytes, text.size()) == text);
}

RC_GTEST_PROP(Compression, CorruptedStreamsAreRefusedOrKeepTheTextLength, ())
{
    auto bytes = compress("{" + std::string(5000, 'a') + "middle" + std::string(5000, 'b'));
    auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    auto replacement = *rc::gen::suchThat(rc::gen::arbitrary<char>(), [&](char character) { return character != bytes[position] && character != '{'; });
    bytes[position] = replacement;
    try {
        // zlib ignores some bits of the header, so corruption there may go undetected, but must not change the text.
        RC_ASSERT(decompress(bytes, 100'000).size() == 10'007u);
    } catch (const ControlError&) {
        RC_SUCCEED("refused");
    }
}

TEST(Compression, TextsBeyondTheLimitAreRefused)
{
    auto bytes = compress("{" + std::string(1'000'000, 'a'));
    EXPECT_LT(bytes.size(), 10'000u);
    EXPECT_THROW(decompress(bytes, 256 * 1024), ControlError);
}

TEST(Compression, ShortTextsAreNotCompressed)
{
    EXPECT_EQ(compress("{}"), "{}");
    EXPECT_FALSE(isCompressed("{}"));
    EXPECT_TRUE(isCompressed(compress("{" + std::string(1000, 'a'))));
}
