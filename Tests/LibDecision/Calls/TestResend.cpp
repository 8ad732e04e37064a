#include <Tests/LibDecision/Calls/CallRig.h>

#include <gtest/gtest.h>

using namespace Decision;

namespace {

Profile resendingProfile()
{
    Profile profile;
    profile.retries.settles = true;
    profile.retries.reroutes = 10;
    profile.capacity.callerWait = 1min;
    return profile;
}

CallArrived nonIdempotentArrival(uint64_t call)
{
    auto arrival = CallRig::arrivalOf(call, Method::Post);
    arrival.request.remaining = 2s;
    arrival.terms = CallTerms { "book", false, 5s, 600ms, 1, 2 };
    return arrival;
}

AttemptReport ended(AttemptResult result, Reason reason, bool hasLoad)
{
    AttemptReport report;
    report.result = result;
    report.reason = reason;
    report.hasLoad = hasLoad;
    return report;
}

}

TEST(Resend, SendsTheSameAttemptAgainAfterABrokenConnection)
{
    CallRig rig(resendingProfile());
    auto first = effectsOf<ForwardCall>(rig.arrive(nonIdempotentArrival(1)));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_TRUE(first.front().requiresDeduplication);
    EXPECT_EQ(first.front().firstSentAgo, Duration::zero());

    rig.now += 100ms;
    EXPECT_TRUE(rig.finish(1, 1, ended(AttemptResult::ConnectionLost, Reason::AnswerCut, false)).empty());
    auto again = effectsOf<ForwardCall>(rig.advance(100ms));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again.front().attempt, first.front().attempt);
    EXPECT_EQ(again.front().backend, first.front().backend);
    EXPECT_EQ(again.front().firstSentAgo, 150ms);
    // Both name the process that the attempt was first addressed to.
    EXPECT_EQ(first.front().receiverStart, CallRig::sidecarStart);
    EXPECT_EQ(again.front().receiverStart, CallRig::sidecarStart);

    AttemptReport answer;
    answer.hasLoad = true;
    answer.status = 200;
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(1, 1, answer)).size(), 1u);
}

TEST(Resend, SendsTheAttemptAgainAtTheLatencyObjectiveIfTheConnectionIsSilent)
{
    CallRig rig(resendingProfile());
    rig.arrive(nonIdempotentArrival(1));
    EXPECT_TRUE(effectsOf<ForwardCall>(rig.advance(599ms)).empty());
    EXPECT_EQ(effectsOf<ForwardCall>(rig.advance(1ms)).size(), 1u);
}

// The path to the sidecar may have failed alone, and its kept answer would be lost to the caller.
TEST(Resend, AsksThroughAnotherProcessAndDirectlyByTurns)
{
    auto profile = resendingProfile();
    profile.retries.settlesThroughPeers = true;
    CallRig rig(profile);
    auto first = effectsOf<ForwardCall>(rig.arrive(nonIdempotentArrival(1)));
    EXPECT_TRUE(first.front().forwarder.isEmpty());
    auto second = effectsOf<ForwardCall>(rig.advance(600ms));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_EQ(second.front().forwarder, InstanceId("other"));
    EXPECT_EQ(second.front().sidecar, first.front().sidecar);
    EXPECT_EQ(second.front().attempt, first.front().attempt);
    EXPECT_GT(second.front().firstSentAgo, Duration::zero());
    auto third = effectsOf<ForwardCall>(rig.advance(600ms));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_TRUE(third.front().forwarder.isEmpty());
}

// Without another process, and without the setting, the order goes to the sidecar as before.
TEST(Resend, AsksDirectlyIfNoOtherProcessIsKnownOrAllowed)
{
    for (bool isAllowed : { false, true }) {
        auto profile = resendingProfile();
        profile.retries.settlesThroughPeers = isAllowed;
        CallRig rig(profile);
        if (isAllowed)
            rig.router.forwarder.reset();
        rig.arrive(nonIdempotentArrival(1));
        auto again = effectsOf<ForwardCall>(rig.advance(600ms));
        ASSERT_EQ(again.size(), 1u);
        EXPECT_TRUE(again.front().forwarder.isEmpty());
    }
}

// An answer that is asked for at the objective is late in any case.
TEST(Resend, AsksEarlierForARequestThatUsuallyTakesAFractionOfItsObjective)
{
    auto profile = resendingProfile();
    profile.retries.settlesThroughPeers = true;
    CallRig rig(profile);
    AttemptReport answer;
    answer.hasLoad = true;
    answer.status = 200;
    for (uint64_t call = 1; call <= 20; ++call) {
        rig.arrive(nonIdempotentArrival(call));
        rig.now += 100ms;
        rig.finish(call, call, answer);
    }
    rig.arrive(nonIdempotentArrival(21));
    EXPECT_TRUE(effectsOf<ForwardCall>(rig.advance(299ms)).empty());
    EXPECT_EQ(effectsOf<ForwardCall>(rig.advance(101ms)).size(), 1u);
}

TEST(Resend, DoesNotResendAfterTheSidecarReportedAnUnknownOutcome)
{
    CallRig rig(resendingProfile());
    rig.arrive(nonIdempotentArrival(1));
    auto effects = rig.finish(1, 1, ended(AttemptResult::OutcomeUnknown, Reason::AnswerCut, true));
    auto refusals = effectsOf<RefuseCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
}

TEST(Resend, OutcomeIsUnknownAtTheDeadlineWithoutAnAnswer)
{
    CallRig rig(resendingProfile());
    rig.arrive(nonIdempotentArrival(1));
    rig.finish(1, 1, ended(AttemptResult::ConnectionLost, Reason::AnswerCut, false));
    for (int attempt = 0; attempt < 30; ++attempt) {
        rig.advance(50ms);
        rig.finish(1, 1, ended(AttemptResult::NotSent, Reason::ConnectFailed, false));
    }
    auto refusals = effectsOf<RefuseCall>(rig.advance(2s));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
}

// Guards against "not run" or a run elsewhere after an earlier send of the attempt may have run: the last send's connection
// failed in the instant of the deadline, before the deadline's timer.
TEST(Resend, OutcomeIsUnknownIfTheLastSendFailsAtTheDeadline)
{
    CallRig rig(resendingProfile());
    rig.arrive(nonIdempotentArrival(1));
    rig.finish(1, 1, ended(AttemptResult::ConnectionLost, Reason::AnswerCut, false));
    ASSERT_EQ(effectsOf<ForwardCall>(rig.advance(100ms)).size(), 1u);
    rig.now += 2s;
    auto effects = rig.finish(1, 1, ended(AttemptResult::NotSent, Reason::ConnectFailed, false));
    EXPECT_TRUE(effectsOf<ForwardCall>(effects).empty());
    auto refusals = effectsOf<RefuseCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
}

// Guards against "not run" after the sidecar didn't accept a resent order itself, for example because it came too late for
// the window of the replay protection. That says nothing of the earlier sends.
TEST(Resend, OutcomeIsUnknownIfAResentOrderIsNotAccepted)
{
    CallRig rig(resendingProfile());
    rig.arrive(nonIdempotentArrival(1));
    rig.finish(1, 1, ended(AttemptResult::ConnectionLost, Reason::AnswerCut, false));
    ASSERT_EQ(effectsOf<ForwardCall>(rig.advance(100ms)).size(), 1u);
    auto refusals = effectsOf<RefuseCall>(rig.finish(1, 1, ended(AttemptResult::RefusedNotRun, Reason::BadRequest, true)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::Unknown);
}

TEST(Resend, SendsElsewhereIfTheFirstSendFailedBeforeAnyByte)
{
    CallRig rig(resendingProfile());
    auto first = effectsOf<ForwardCall>(rig.arrive(nonIdempotentArrival(1)));
    auto second = effectsOf<ForwardCall>(rig.finish(1, 1, ended(AttemptResult::NotSent, Reason::ConnectFailed, false)));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(second.front().backend, first.front().backend);
    EXPECT_EQ(second.front().attemptNumber, 1u);
}

TEST(Rerouting, RefusalsBySidecarsCountNeitherAsAttemptsNorAgainstTheBudget)
{
    CallRig rig(resendingProfile());
    auto sends = effectsOf<ForwardCall>(rig.arrive(nonIdempotentArrival(1)));
    for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends.front().attemptNumber, 1u);
        EXPECT_TRUE(sends.front().isOnlyForFreeSlot);
        sends = effectsOf<ForwardCall>(rig.finish(1, attempt, ended(AttemptResult::RefusedNotRun, Reason::BackendBusy, true)));
    }
    // After three sidecars without a free slot the request may queue at the next one.
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_FALSE(sends.front().isOnlyForFreeSlot);
}

TEST(Rerouting, RequestWaitsForABackendServerAndIsSent)
{
    CallRig rig(resendingProfile());
    auto backends = std::exchange(rig.router.backends, {});
    EXPECT_TRUE(rig.arrive(nonIdempotentArrival(1)).empty());
    EXPECT_TRUE(effectsOf<RefuseCall>(rig.advance(500ms)).empty());
    rig.router.backends = backends;
    EXPECT_EQ(effectsOf<ForwardCall>(rig.advance(50ms)).size(), 1u);
}

TEST(Rerouting, WaitingRequestIsRefusedAsNotRunAtTheDeadline)
{
    CallRig rig(resendingProfile());
    rig.router.backends.clear();
    rig.arrive(nonIdempotentArrival(1));
    auto refusals = effectsOf<RefuseCall>(rig.advance(2s));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
    EXPECT_EQ(rig.calls.inFlight(), 0u);
}

TEST(Rerouting, CallerDisconnectDuringTheWaitLeavesNoCallAndNoTimer)
{
    CallRig rig(resendingProfile());
    rig.router.backends.clear();
    rig.arrive(nonIdempotentArrival(1));
    EXPECT_TRUE(effectsOf<CancelAttempt>(rig.callerGone(1)).empty());
    EXPECT_EQ(rig.calls.inFlight(), 0u);
    EXPECT_FALSE(rig.calls.nextTimer().has_value());
}
