#include <Services/fulmard/BearerKey.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

using namespace Fulmard;

static std::optional<std::string> keyOf(const std::vector<std::string>& values)
{
    Transport::HeaderList headers { { "accept", "text/plain" } };
    for (const auto& value : values)
        headers.push_back({ authorizationHeader, value });
    auto key = findBearerKey(headers);
    return key ? std::optional(std::string(*key)) : std::nullopt;
}

TEST(BearerKey, ReadsTheSchemeInAnyCase)
{
    for (const auto* value : { "Bearer k-1", "bearer k-1", "BEARER   k-1", " Bearer k-1\t" })
        EXPECT_EQ(keyOf({ value }), "k-1") << value;
}

// Two readers that choose different ones of two keys see different tenants.
TEST(BearerKey, WhatIsNoSingleKeyIsNone)
{
    EXPECT_EQ(keyOf({}), std::nullopt);
    EXPECT_EQ(keyOf({ "Bearer k-1", "Bearer k-1" }), std::nullopt);
    for (const auto* value : { "", "Bearer", "Bearer ", "Bearerk-1", "Basic k-1", "Bearer k-1 k-2", "Bearer k-1, Bearer k-2", "Bearer k\x01", "Bearer k\xc3\xa9", "k-1" })
        EXPECT_EQ(keyOf({ value }), std::nullopt) << value;
}

RC_GTEST_PROP(BearerKey, AnyBytesGiveAPrintableKeyOfTheFieldOrNone, (const std::string& bytes))
{
    for (const auto& value : { bytes, "Bearer " + bytes }) {
        auto key = keyOf({ value });
        if (!key)
            continue;
        RC_ASSERT(!key->empty() && value.find(*key) != std::string::npos);
        for (char character : *key)
            RC_ASSERT(character > ' ' && character <= '~');
    }
}

RC_GTEST_PROP(BearerKey, EveryPrintableKeyIsReadAsItIs, ())
{
    auto key = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~' + 1)));
    RC_ASSERT(keyOf({ "Bearer " + key }) == key);
}
