#include "MessageGenerators.h"

#include <LibControl/RunEnvelope.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Control;
using namespace Control::Testing;

namespace {

const std::string fleetKey = "0123456789abcdef0123456789abcdef";
const Endpoint receiverEndpoint { "127.0.0.1", 1002 };

RunOrder anyOrder()
{
    RunOrder order;
    order.to = receiverEndpoint;
    order.backend = *anyName<BackendId>();
    order.backendIncarnation = *anyNumber<Incarnation>();
    order.request.id = *anyName<RequestId>();
    order.request.method = anyEnumValue<Method>();
    order.request.path = (*anyName<RequestId>()).value();
    order.request.remaining = Duration(*rc::gen::inRange(0, 1'000'000));
    order.request.fingerprint = anyFingerprint();
    if (*rc::gen::arbitrary<bool>())
        order.request.key = *anyName<IdempotencyKey>();
    order.isIdempotent = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        order.attempt = *anyNumber<AttemptId>();
        order.firstSentAgo = Duration(*rc::gen::inRange(0, 1'000'000));
        order.receiverStart = *anyNumber<Incarnation>();
    }
    return order;
}

}

RC_GTEST_PROP(RunOrderChannel, OrdersRoundTripAndReplaysAreRefused, ())
{
    RunOrderChannel sender(fleetKey, InstanceId("sender"), Incarnation(4), { "127.0.0.1", 1001 });
    RunOrderChannel receiver(fleetKey, InstanceId("receiver"), Incarnation(4), receiverEndpoint);
    auto order = anyOrder();
    auto header = sender.seal(order);
    RC_ASSERT(header.find_first_of("\r\n") == std::string::npos);
    auto opened = receiver.open(header);
    order.from = InstanceId("sender");
    order.senderStart = Incarnation(4);
    order.sequence = 1;
    RC_ASSERT(opened == order);
    RC_ASSERT_THROWS_AS(receiver.open(header), ControlError);
}

RC_GTEST_PROP(RunOrderChannel, TamperedOrdersAreRefused, ())
{
    RunOrderChannel sender(fleetKey, InstanceId("sender"), Incarnation(4), { "127.0.0.1", 1001 });
    RunOrderChannel receiver(fleetKey, InstanceId("receiver"), Incarnation(4), receiverEndpoint);
    auto header = sender.seal(anyOrder());
    auto position = *rc::gen::inRange<size_t>(0, header.size());
    auto replacement = *rc::gen::suchThat(rc::gen::arbitrary<char>(), [&](char character) { return character != header[position]; });
    header[position] = replacement;
    RC_ASSERT_THROWS_AS(receiver.open(header), ControlError);
}

TEST(RunResult, RoundTripsAndMalformedTextsAreRefused)
{
    RunResult result;
    result.outcome = Outcome::NotRun;
    result.reason = Reason::QueueFull;
    result.step = "admit";
    result.load = { 3, 2, 1, Duration(900), 0.25 };
    EXPECT_EQ(decodeRunResult(encodeRunResult(result)), result);
    EXPECT_THROW(decodeRunResult("{}"), ControlError);
    EXPECT_THROW(decodeRunResult("not json"), ControlError);
}
