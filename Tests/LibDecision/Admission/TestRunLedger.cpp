#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <gtest/gtest.h>

using namespace Decision;

namespace {

SidecarCallArrived orderOf(uint64_t call, uint64_t attempt, Duration firstSentAgo = 0ms)
{
    auto arrival = AdmissionRig::arrivalOf(call, "b");
    arrival.isIdempotent = false;
    arrival.key = RunKey { InstanceId("ingress"), Incarnation(7), AttemptId(attempt) };
    arrival.firstSentAgo = firstSentAgo;
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

TEST_F(RunLedgerTest, AnOrderThatComesAgainWhileItRunsRunsOnce)
{
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(orderOf(1, 5))).size(), 1u);
    rig.now += 50ms;
    auto effects = rig.arrive(orderOf(2, 5, 50ms));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto adopted = effectsOf<AdoptSidecarCall>(effects);
    ASSERT_EQ(adopted.size(), 1u);
    EXPECT_EQ(adopted.front().underway, SidecarCallId(1));
    EXPECT_EQ(effectsOf<AnswerSidecarCall>(rig.finish(1, goodRun())).size(), 1u);
}

TEST_F(RunLedgerTest, ARunGoesOnWhenItsIngressIsGoneAndItsAnswerIsKept)
{
    rig.arrive(orderOf(1, 5));
    EXPECT_TRUE(effectsOf<CancelRun>(rig.cancel(1)).empty());
    auto effects = rig.finish(1, goodRun());
    EXPECT_EQ(effectsOf<KeepAnswer>(effects).size(), 1u);
    EXPECT_TRUE(effectsOf<AnswerSidecarCall>(effects).empty());
    auto replays = effectsOf<ReplaySidecarCall>(rig.arrive(orderOf(2, 5, 200ms)));
    ASSERT_EQ(replays.size(), 1u);
    EXPECT_EQ(replays.front().keptAnswer, SidecarCallId(1));
    // The answer is forgotten once nobody asks any more.
    EXPECT_EQ(effectsOf<ForgetAnswer>(rig.advance(RunLedger::memory)).size(), 1u);
}

TEST_F(RunLedgerTest, AWaitingOrderWhoseIngressIsGoneNeverRuns)
{
    rig.arrive(orderOf(1, 5));
    rig.arrive(orderOf(2, 6));
    rig.cancel(2);
    EXPECT_TRUE(effectsOf<RunCall>(rig.finish(1, goodRun())).empty());
    auto effects = rig.arrive(orderOf(3, 6, 100ms));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto refusals = effectsOf<RefuseSidecarCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
}

TEST_F(RunLedgerTest, AnOrderThatWasRefusedNeverRunsWhenItComesLate)
{
    auto again = orderOf(1, 5, 100ms);
    again.incarnation = Incarnation(9);
    ASSERT_EQ(effectsOf<RefuseSidecarCall>(rig.arrive(again)).size(), 1u);
    // The first send was held up on the way and arrives now, in a state in which it would be admitted.
    auto effects = rig.arrive(orderOf(2, 5));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto refusals = effectsOf<RefuseSidecarCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
}

TEST_F(RunLedgerTest, AnOrderThatWasNeverSeenRuns)
{
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(orderOf(1, 5, 100ms))).size(), 1u);
}

TEST_F(RunLedgerTest, AProcessYoungerThanTheOrderCannotTell)
{
    rig.turn([&](Turn& step) { rig.admission.start(step.now()); });
    rig.now += 50ms;
    auto effects = rig.arrive(orderOf(1, 5, 100ms));
    EXPECT_TRUE(effectsOf<RunCall>(effects).empty());
    auto refusals = effectsOf<RefuseSidecarCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
    EXPECT_EQ(refusals.front().reason, Reason::PeerRestarted);
}

TEST_F(RunLedgerTest, ALostRunIsUnknownForEver)
{
    rig.arrive(orderOf(1, 5));
    RunReport cut;
    cut.result = AttemptResult::Cut;
    rig.finish(1, cut);
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(orderOf(2, 5, 100ms)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
}

TEST_F(RunLedgerTest, ANewStartOfTheIngressNumbersAnew)
{
    rig.arrive(orderOf(1, 5));
    rig.finish(1, goodRun());
    auto other = orderOf(2, 5);
    other.key->ingressStart = Incarnation(8);
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(other)).size(), 1u);
}

TEST(FaultBound, TwoFailuresKeepBookingsAwayAndSecondsBringThemBack)
{
    auto profile = warmProfile();
    profile.health.faultBound = 0.25;
    AdmissionRig rig(profile);
    rig.announce("b", 1, 3);
    RunReport failed;
    failed.status = 500;
    for (uint64_t call = 1; call <= 2; ++call) {
        rig.arrive(orderOf(call, call));
        rig.finish(call, failed);
    }
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(orderOf(3, 3)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().reason, Reason::BackendSuspected);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);

    auto lastResort = orderOf(4, 4);
    lastResort.isLastResort = true;
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(lastResort)).size(), 1u);
    rig.finish(4, goodRun());
    rig.now += 20s;
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(orderOf(5, 5))).size(), 1u);
}

TEST(FaultBound, ARunBeyondItsObjectiveSpeaksAgainstTheBackendServerWhileItIsOpen)
{
    auto profile = warmProfile();
    profile.health.faultBound = 0.25;
    AdmissionRig rig(profile);
    rig.announce("b", 1, 3);
    for (uint64_t call = 1; call <= 2; ++call) {
        auto order = orderOf(call, call);
        order.latencyObjective = 300ms;
        rig.arrive(order);
    }
    rig.advance(299ms);
    EXPECT_LT(rig.admission.load(BackendId("b"), rig.now).faultProbability, 0.25);
    rig.advance(1ms);
    EXPECT_GT(rig.admission.load(BackendId("b"), rig.now).faultProbability, 0.25);
}

TEST(FreeSlots, ARequestForAFreeSlotDoesNotQueue)
{
    AdmissionRig rig(warmProfile());
    rig.announce("b", 1, 1);
    rig.arrive(orderOf(1, 1));
    auto second = orderOf(2, 2);
    second.isOnlyForFreeSlot = true;
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(second));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().reason, Reason::BackendBusy);
    EXPECT_EQ(rig.admission.inFlight(), 1u);
}
