#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <gtest/gtest.h>
#include <optional>

using namespace Decision;

namespace {

SidecarCallArrived resendableArrivalOf(uint64_t call, uint64_t attempt, Duration firstSentAgo = 0ms)
{
    auto arrival = AdmissionRig::arrivalOf(call, "b");
    arrival.isIdempotent = false;
    arrival.key = RunKey { InstanceId("ingress"), Incarnation(7), AttemptId(attempt) };
    arrival.firstSentAgo = firstSentAgo;
    // The start of the rig's process.
    arrival.receiverStart = Incarnation(1);
    return arrival;
}

SidecarCallArrived resentToPredecessor(uint64_t call, uint64_t attempt, Duration firstSentAgo, std::optional<Incarnation> receiverStart)
{
    auto arrival = resendableArrivalOf(call, attempt, firstSentAgo);
    arrival.receiverStart = receiverStart;
    return arrival;
}

RunReport goodRun()
{
    RunReport report;
    report.status = 200;
    report.elapsed = 100ms;
    return report;
}

class RunLedgerTest : public testing::Test {
protected:
    RunLedgerTest()
    {
        rig.turn([&](Turn& step) { rig.admission.start(step.now() - 1h); });
        rig.announce("b", 1, 1);
    }

    AdmissionRig rig { warmProfile() };
};

}

TEST_F(RunLedgerTest, ResendDuringTheRunDoesNotRunAgain)
{
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(resendableArrivalOf(1, 5))).size(), 1u);
    rig.now += 50ms;
    auto effects = rig.arrive(resendableArrivalOf(2, 5, 50ms));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto adopted = effectsOf<RebindSidecarCall>(effects);
    ASSERT_EQ(adopted.size(), 1u);
    EXPECT_EQ(adopted.front().runningCall, SidecarCallId(1));
    EXPECT_EQ(effectsOf<AnswerSidecarCall>(rig.finish(1, goodRun())).size(), 1u);
}

TEST_F(RunLedgerTest, RunContinuesWithoutItsIngressAndItsAnswerIsKept)
{
    rig.arrive(resendableArrivalOf(1, 5));
    EXPECT_TRUE(effectsOf<CancelRun>(rig.cancel(1)).empty());
    auto effects = rig.finish(1, goodRun());
    EXPECT_EQ(effectsOf<KeepAnswer>(effects).size(), 1u);
    EXPECT_TRUE(effectsOf<AnswerSidecarCall>(effects).empty());
    auto replays = effectsOf<ReplaySidecarCall>(rig.arrive(resendableArrivalOf(2, 5, 200ms)));
    ASSERT_EQ(replays.size(), 1u);
    EXPECT_EQ(replays.front().keptAnswer, SidecarCallId(1));
    // The answer is removed after the retention time.
    EXPECT_EQ(effectsOf<ForgetAnswer>(rig.advance(RunLedger::retention)).size(), 1u);
}

TEST_F(RunLedgerTest, QueuedAttemptWhoseIngressIsGoneNeverRuns)
{
    rig.arrive(resendableArrivalOf(1, 5));
    rig.arrive(resendableArrivalOf(2, 6));
    rig.cancel(2);
    EXPECT_TRUE(effectsOf<RunCall>(rig.finish(1, goodRun())).empty());
    auto effects = rig.arrive(resendableArrivalOf(3, 6, 100ms));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto refusals = effectsOf<RefuseSidecarCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
}

TEST_F(RunLedgerTest, RefusedAttemptDoesNotRunWhenDeliveredLate)
{
    auto again = resendableArrivalOf(1, 5, 100ms);
    again.incarnation = Incarnation(9);
    ASSERT_EQ(effectsOf<RefuseSidecarCall>(rig.arrive(again)).size(), 1u);
    // The first send was delayed in the network and arrives when it would otherwise be admitted.
    auto effects = rig.arrive(resendableArrivalOf(2, 5));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto refusals = effectsOf<RefuseSidecarCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
}

TEST_F(RunLedgerTest, ResendOfAnAttemptThatNeverArrivedRuns)
{
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(resendableArrivalOf(1, 5, 100ms))).size(), 1u);
}

// Guards against docs/incidents/2026-12-06-resent-order.md: the order was made 569 ms after the first one, its connection took a
// second more, and it reached a process that had started in between. The predecessor's start is higher if the time of day was
// set back, and ingresses of earlier versions don't name it.
TEST_F(RunLedgerTest, ResendThatWasDelayedUntilAfterARestartDoesNotRun)
{
    uint64_t call = 0;
    for (auto age : { Duration(0), Duration(900ms), Duration(1h) }) {
        rig.turn([&](Turn& step) { rig.admission.start(step.now() - age); });
        for (auto predecessor : { std::optional(Incarnation(0)), std::optional(Incarnation(2)), std::optional<Incarnation>() }) {
            ++call;
            auto effects = rig.arrive(resentToPredecessor(call, call, 569ms, predecessor));
            EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
            auto refusals = effectsOf<RefuseSidecarCall>(effects);
            ASSERT_EQ(refusals.size(), 1u);
            EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
            EXPECT_EQ(refusals.front().reason, Reason::PeerRestarted);
        }
    }
}

// Guards against refusing every request to a process whose new record hasn't reached the ingress.
TEST_F(RunLedgerTest, FirstSendToAPredecessorRuns)
{
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(resentToPredecessor(1, 5, 0ms, Incarnation(9)))).size(), 1u);
    // It is in the ledger then, whichever start a later send names.
    EXPECT_EQ(effectsOf<RebindSidecarCall>(rig.arrive(resentToPredecessor(2, 5, 50ms, Incarnation(9)))).size(), 1u);
}

// Guards against a second run of an attempt that ended, was forgotten, and is sent again within its deadline of 40 s.
TEST_F(RunLedgerTest, AttemptThatWasForgottenDoesNotRunAgain)
{
    rig.arrive(resendableArrivalOf(1, 5));
    rig.finish(1, goodRun());
    rig.advance(RunLedger::retention + 1s);
    rig.announce("b", 1, 1);
    for (auto firstSentAgo : { Duration(0), Duration(17s) }) {
        auto effects = rig.arrive(resendableArrivalOf(2, 5, firstSentAgo));
        EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
        auto refusals = effectsOf<RefuseSidecarCall>(effects);
        ASSERT_EQ(refusals.size(), 1u);
        EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
    }
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(resendableArrivalOf(3, 6))).size(), 1u);
}

TEST_F(RunLedgerTest, ResendOfACutRunIsUnknown)
{
    rig.arrive(resendableArrivalOf(1, 5));
    RunReport cut;
    cut.result = AttemptResult::ConnectionLost;
    rig.finish(1, cut);
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(resendableArrivalOf(2, 5, 100ms)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
}

TEST_F(RunLedgerTest, SameAttemptNumberOfANewIngressIncarnationIsANewAttempt)
{
    rig.arrive(resendableArrivalOf(1, 5));
    rig.finish(1, goodRun());
    auto other = resendableArrivalOf(2, 5);
    other.key->ingressIncarnation = Incarnation(8);
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(other)).size(), 1u);
}

TEST(FaultBound, RefusesNonIdempotentRequestsAfterTwoFailuresUntilTheProbabilityDecays)
{
    auto profile = warmProfile();
    profile.health.faultBound = 0.25;
    AdmissionRig rig(profile);
    rig.announce("b", 1, 3);
    RunReport failed;
    failed.status = 500;
    for (uint64_t call = 1; call <= 2; ++call) {
        rig.arrive(resendableArrivalOf(call, call));
        rig.finish(call, failed);
    }
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(resendableArrivalOf(3, 3)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().reason, Reason::BackendSuspected);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);

    auto lastResort = resendableArrivalOf(4, 4);
    lastResort.isLastResort = true;
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(lastResort)).size(), 1u);
    rig.finish(4, goodRun());
    rig.now += 20s;
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(resendableArrivalOf(5, 5))).size(), 1u);
}

TEST(FaultBound, OpenRunBeyondItsLatencyObjectiveRaisesTheFaultProbability)
{
    auto profile = warmProfile();
    profile.health.faultBound = 0.25;
    AdmissionRig rig(profile);
    rig.announce("b", 1, 3);
    for (uint64_t call = 1; call <= 2; ++call) {
        auto resendable = resendableArrivalOf(call, call);
        resendable.latencyObjective = 300ms;
        rig.arrive(resendable);
    }
    rig.advance(299ms);
    EXPECT_LT(rig.admission.load(BackendId("b"), rig.now).faultProbability, 0.25);
    rig.advance(1ms);
    EXPECT_GT(rig.admission.load(BackendId("b"), rig.now).faultProbability, 0.25);
}

TEST(FreeSlots, RequestForAFreeSlotOnlyDoesNotQueue)
{
    AdmissionRig rig(warmProfile());
    rig.announce("b", 1, 1);
    rig.arrive(resendableArrivalOf(1, 1));
    auto second = resendableArrivalOf(2, 2);
    second.isOnlyForFreeSlot = true;
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(second));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().reason, Reason::BackendBusy);
    EXPECT_EQ(rig.admission.inFlight(), 1u);
}
