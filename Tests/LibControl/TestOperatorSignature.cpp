#include <LibControl/ControlError.h>
#include <LibControl/OperatorSignature.h>

#include <gtest/gtest.h>

using namespace Control;

namespace {

const std::string operatorKey = "fedcba9876543210fedcba9876543210";
constexpr uint64_t now = 1'000'000;
const OperatorCall call { "GET", "/v1/status", "" };

std::string header(uint64_t seconds = now, uint64_t nonce = 1, const std::string& key = operatorKey)
{
    return signOperatorCall(Signer(key), call, seconds, nonce);
}

}

TEST(OperatorGate, AcceptsEachSignedCallOnce)
{
    OperatorGate gate(operatorKey);
    EXPECT_NO_THROW(gate.check(call, header(), now));
    EXPECT_THROW(gate.check(call, header(), now), ControlError);
    EXPECT_NO_THROW(gate.check(call, header(now, 2), now));
}

TEST(OperatorGate, RefusesWrongKeysClockSkewOtherTargetsAndMalformedHeaders)
{
    OperatorGate gate(operatorKey);
    EXPECT_THROW(gate.check(call, header(now, 1, "another key, another key, another"), now), ControlError);
    EXPECT_THROW(gate.check(call, header(now - 301), now), ControlError);
    EXPECT_THROW(gate.check(call, header(now + 301), now), ControlError);
    EXPECT_THROW(gate.check({ "POST", "/v1/drain/b1", "" }, header(), now), ControlError);
    EXPECT_THROW(gate.check(call, "", now), ControlError);
    EXPECT_THROW(gate.check(call, "1.2", now), ControlError);
}

TEST(OperatorGate, RefusesReplaysUntilTheSignatureExpires)
{
    OperatorGate gate(operatorKey);
    auto futureHeader = header(now + 300);
    gate.check(call, futureHeader, now);
    EXPECT_THROW(gate.check(call, futureHeader, now + 599), ControlError);
}
