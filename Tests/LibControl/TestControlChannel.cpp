#include <LibControl/ControlChannel.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Control;
using namespace Decision;

namespace {

const std::string fleetKey = "0123456789abcdef0123456789abcdef";
const Endpoint senderEndpoint { "127.0.0.1", 1001 };
const Endpoint receiverEndpoint { "127.0.0.1", 1002 };

ControlChannel makeSender(const std::string& key = fleetKey, uint64_t startIncarnation = 5)
{
    return { key, InstanceId("sender"), Incarnation(startIncarnation), senderEndpoint };
}

ControlChannel makeReceiver()
{
    return { fleetKey, InstanceId("receiver"), Incarnation(9), receiverEndpoint };
}

Refusal refusalOf(ControlChannel& receiver, const SignedMessage& message)
{
    try {
        receiver.open(message);
    } catch (const ControlError& error) {
        return error.refusal();
    }
    throw std::logic_error("accepted");
}

}

TEST(ControlChannel, AcceptsMessagesFromMembers)
{
    auto sender = makeSender();
    auto receiver = makeReceiver();
    auto message = receiver.open(sender.seal(receiverEndpoint, Incarnation(6), Ping { 3, {} }));
    EXPECT_EQ(message.from, InstanceId("sender"));
    EXPECT_EQ(message.fromIncarnation, Incarnation(6));
    EXPECT_EQ(message.body, MessageBody(Ping { 3, {} }));
}

TEST(ControlChannel, RefusesWrongKeysWrongReceiversReplaysAndTampering)
{
    auto sender = makeSender();
    auto senderWithOtherKey = makeSender("another key, another key, another");
    auto receiver = makeReceiver();
    auto first = sender.seal(receiverEndpoint, Incarnation(5), Ping { 1, {} });
    EXPECT_EQ(refusalOf(receiver, senderWithOtherKey.seal(receiverEndpoint, Incarnation(5), Ping { 1, {} })), Refusal::BadSignature);
    EXPECT_EQ(refusalOf(receiver, sender.seal(senderEndpoint, Incarnation(5), Ping { 1, {} })), Refusal::WrongReceiver);
    receiver.open(first);
    EXPECT_EQ(refusalOf(receiver, first), Refusal::Replayed);
    auto tampered = sender.seal(receiverEndpoint, Incarnation(5), Ping { 2, {} });
    tampered.text.back() = ' ';
    EXPECT_EQ(refusalOf(receiver, tampered), Refusal::BadSignature);
    EXPECT_EQ(receiver.counters().refused[static_cast<size_t>(Refusal::BadSignature)], 2u);
    EXPECT_EQ(receiver.counters().refused[static_cast<size_t>(Refusal::Replayed)], 1u);
}

TEST(ControlChannel, RefusesMessagesFromBeforeTheSenderRestarted)
{
    auto senderBeforeRestart = makeSender(fleetKey, 5);
    auto senderAfterRestart = makeSender(fleetKey, 6);
    auto receiver = makeReceiver();
    auto staleMessage = senderBeforeRestart.seal(receiverEndpoint, Incarnation(5), Ping { 1, {} });
    receiver.open(senderAfterRestart.seal(receiverEndpoint, Incarnation(6), Ping { 1, {} }));
    EXPECT_EQ(refusalOf(receiver, staleMessage), Refusal::Replayed);
}

RC_GTEST_PROP(ReplayGuard, AcceptsEachSequenceNumberAtMostOnceInAnyOrder, ())
{
    ReplayGuard guard;
    std::multiset<uint64_t> accepted;
    auto sequences = *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, 3000));
    for (auto sequence : sequences) {
        if (guard.accept(InstanceId("a"), Incarnation(1), sequence))
            accepted.insert(sequence);
    }
    RC_ASSERT(std::ranges::all_of(accepted, [&](uint64_t sequence) { return accepted.count(sequence) == 1; }));
    RC_ASSERT(!accepted.contains(0));
}

RC_GTEST_PROP(ReplayGuard, AcceptsReorderingWithinTheWindow, ())
{
    ReplayGuard guard;
    auto base = *rc::gen::inRange<uint64_t>(1, 100'000);
    auto offsets = *rc::gen::unique<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, ReplayGuard::windowLength));
    RC_ASSERT(std::ranges::all_of(offsets, [&](uint64_t offset) { return guard.accept(InstanceId("a"), Incarnation(1), base + offset); }));
}
