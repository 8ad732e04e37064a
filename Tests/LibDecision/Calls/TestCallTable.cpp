#include <Tests/LibDecision/Calls/CallRig.h>

#include <gtest/gtest.h>

using namespace Decision;

namespace {

AttemptReport answered(uint16_t status = 200)
{
    AttemptReport report;
    report.status = status;
    return report;
}

AttemptReport failed(AttemptResult result, Reason reason = Reason::None)
{
    AttemptReport report;
    report.result = result;
    report.reason = reason;
    return report;
}

size_t sendsIn(const EffectList& effects)
{
    return effectsOf<ForwardCall>(effects).size();
}

void expectRefusal(const EffectList& effects, Outcome outcome, Reason reason)
{
    auto refusals = effectsOf<RefuseCall>(effects);
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(nameOf(refusals.front().outcome), nameOf(outcome));
    EXPECT_EQ(nameOf(refusals.front().reason), nameOf(reason));
    EXPECT_EQ(sendsIn(effects), 0u);
}

class CallTableTest : public testing::Test {
protected:
    // Sends idempotent calls 10 ms apart and ends every attempt with the report; returns the number of attempts.
    uint64_t attemptsOf(uint64_t callCount, const AttemptReport& report)
    {
        uint64_t attempts = 0;
        for (uint64_t call = 1; call <= callCount; ++call) {
            auto sends = sendsIn(rig.arrive(CallRig::arrivalOf(call)));
            while (sends > 0) {
                attempts += sends;
                sends = sendsIn(rig.finish(call, attempts, report));
            }
            rig.now += 10ms;
        }
        return attempts;
    }

    CallRig rig;
};

}

TEST_F(CallTableTest, DeliversACompleteAnswer)
{
    auto sends = effectsOf<ForwardCall>(rig.arrive(CallRig::arrivalOf(1)));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_TRUE(sends.front().isIdempotent);
    EXPECT_LT(sends.front().remaining, 2s);
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(1, 1, answered())).size(), 1u);
    EXPECT_EQ(rig.calls.inFlight(), 0u);
    EXPECT_FALSE(rig.calls.nextTimer());
}

TEST_F(CallTableTest, LimitsTheCallersDeadlineToTheProfilesMaximum)
{
    auto arrival = CallRig::arrivalOf(1, Method::Post);
    arrival.request.remaining = 1h;
    EXPECT_LE(effectsOf<ForwardCall>(rig.arrive(arrival)).front().remaining, 30s);
    arrival = CallRig::arrivalOf(2, Method::Post);
    arrival.request.remaining = -1ms;
    expectRefusal(rig.arrive(arrival), Outcome::NotRun, Reason::DeadlineExceeded);
}

TEST_F(CallTableTest, RetriesANonIdempotentRequestOnlyIfItDefinitelyDidNotRun)
{
    rig.arrive(CallRig::arrivalOf(1, Method::Post));
    EXPECT_EQ(sendsIn(rig.finish(1, 1, failed(AttemptResult::RefusedNotRun, Reason::BackendDraining))), 1u);
    EXPECT_EQ(sendsIn(rig.finish(1, 2, failed(AttemptResult::NotSent))), 1u);
    expectRefusal(rig.finish(1, 3, failed(AttemptResult::ConnectionLost)), Outcome::Unknown, Reason::AnswerCut);
}

TEST_F(CallTableTest, DeliversA503ToANonIdempotentRequest)
{
    rig.arrive(CallRig::arrivalOf(1, Method::Post));
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(1, 1, answered(503))).size(), 1u);
}

TEST_F(CallTableTest, RetriesAnIdempotentRequestAfterA503AndDeliversTheSecondAnswer)
{
    rig.arrive(CallRig::arrivalOf(1));
    EXPECT_EQ(sendsIn(rig.finish(1, 1, answered(503))), 1u);
    // With little traffic the budget allows one rerun per second, so the second 503 is delivered.
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(1, 2, answered(503))).size(), 1u);
}

TEST_F(CallTableTest, DoesNotReportNotRunAfterAnAttemptThatRan)
{
    rig.arrive(CallRig::arrivalOf(1));
    EXPECT_EQ(sendsIn(rig.finish(1, 1, answered(503))), 1u);
    rig.router.backends.clear();
    // The 503 answer of the first attempt is delivered rather than an unknown outcome.
    auto effects = rig.finish(1, 2, failed(AttemptResult::RefusedNotRun, Reason::QueueFull));
    EXPECT_TRUE(effectsOf<RefuseCall>(effects).empty());
    auto answers = effectsOf<AnswerCall>(effects);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers.front().attempt, AttemptId(1));

    rig.router.backends = { BackendId("a"), BackendId("b") };
    rig.now += 10s;
    rig.arrive(CallRig::arrivalOf(2));
    EXPECT_EQ(sendsIn(rig.finish(2, 3, failed(AttemptResult::ConnectionLost))), 1u);
    rig.router.backends.clear();
    expectRefusal(rig.finish(2, 4, failed(AttemptResult::RefusedNotRun, Reason::QueueFull)), Outcome::Unknown, Reason::QueueFull);
}

TEST(FleetRetries, RetryTriesAnotherSidecarWhenOneHasNoRetriesLeft)
{
    Profile profile;
    profile.retries.fleetExtra = 60;
    profile.retries.reroutes = 30;
    CallRig rig(profile);
    auto first = effectsOf<ForwardCall>(rig.arrive(CallRig::arrivalOf(1)));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first.front().arrival, ArrivalKind::First);
    auto second = effectsOf<ForwardCall>(rig.finish(1, 1, answered(500)));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_EQ(second.front().arrival, ArrivalKind::Retry);
    auto third = effectsOf<ForwardCall>(rig.finish(1, 2, failed(AttemptResult::RefusedNotRun, Reason::RetryBudgetExhausted)));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_EQ(third.front().arrival, ArrivalKind::Retry);
    EXPECT_NE(third.front().backend, second.front().backend);
    auto delivered = effectsOf<AnswerCall>(rig.finish(1, 3, answered(200)));
    ASSERT_EQ(delivered.size(), 1u);
    EXPECT_EQ(delivered.front().attempt, AttemptId(3));
}

TEST(FleetRetries, DeliversTheServerErrorWhenNoSidecarHasRetriesLeft)
{
    Profile profile;
    profile.retries.fleetExtra = 60;
    profile.retries.reroutes = 30;
    CallRig rig(profile);
    for (char name = 'e'; name <= 'l'; ++name)
        rig.router.backends.emplace_back(std::string(1, name));
    rig.arrive(CallRig::arrivalOf(1));
    auto effects = rig.finish(1, 1, answered(500));
    uint64_t sends = 1;
    while (sendsIn(effects) == 1) {
        ++sends;
        effects = rig.finish(1, sends, failed(AttemptResult::RefusedNotRun, Reason::RetryBudgetExhausted));
    }
    auto delivered = effectsOf<AnswerCall>(effects);
    ASSERT_EQ(delivered.size(), 1u);
    EXPECT_EQ(delivered.front().attempt, AttemptId(1));
    EXPECT_EQ(rig.calls.inFlight(), 0u);
}

TEST(FleetRetries, ReplacementOfASlowAttemptMustNotBeRefused)
{
    Profile profile;
    profile.retries.fleetExtra = 60;
    profile.retries.reroutes = 30;
    CallRig rig(profile);
    uint64_t attempt = 0;
    std::vector<ForwardCall> replacements;
    // Repeats first attempts until their deposits allow a replacement.
    for (uint64_t call = 1; call <= 100 && replacements.empty(); ++call) {
        rig.arrive(CallRig::arrivalOf(call));
        ++attempt;
        replacements = effectsOf<ForwardCall>(rig.advance(1500ms));
        if (replacements.empty())
            rig.finish(call, attempt, answered());
    }
    ASSERT_EQ(replacements.size(), 1u);
    EXPECT_EQ(replacements.front().arrival, ArrivalKind::CountedAsRetry);
    // After a busy sidecar's refusal it still must not be refused as a retry, since the previous attempt is cancelled.
    auto call = replacements.front().call.value();
    auto next = effectsOf<ForwardCall>(rig.finish(call, replacements.front().attempt.value(), failed(AttemptResult::RefusedNotRun, Reason::BackendBusy)));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next.front().arrival, ArrivalKind::CountedAsRetry);
    next = effectsOf<ForwardCall>(rig.finish(call, next.front().attempt.value(), answered(500)));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next.front().arrival, ArrivalKind::Retry);
}

// Brings the budget for replacements to its limit, then leaves one slow attempt under way.
static void beginSlowAttempt(CallRig& rig)
{
    constexpr uint64_t quickCalls = 100;
    for (uint64_t call = 1; call <= quickCalls; ++call) {
        rig.arrive(CallRig::arrivalOf(call));
        rig.finish(call, call, answered());
    }
    rig.arrive(CallRig::arrivalOf(quickCalls + 1));
}

static Profile fleetBoundProfile()
{
    Profile profile;
    profile.retries.fleetExtra = 60;
    profile.retries.reroutes = 30;
    return profile;
}

TEST(SlowAttempts, AreReplacedOnceTheirTimeoutHasPassed)
{
    CallRig rig(fleetBoundProfile());
    beginSlowAttempt(rig);
    EXPECT_EQ(effectsOf<CancelAttempt>(rig.advance(1500ms)).size(), 1u);
}

TEST(SlowAttempts, AreKeptWhileTheProcessLeaves)
{
    CallRig rig(fleetBoundProfile());
    beginSlowAttempt(rig);
    rig.calls.endAt(rig.now + 5s);
    auto effects = rig.advance(1500ms);
    EXPECT_TRUE(effectsOf<CancelAttempt>(effects).empty());
    EXPECT_TRUE(effectsOf<ForwardCall>(effects).empty());
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(101, 101, answered())).size(), 1u);
}

TEST(FailedAttempts, AreNotRepeatedIfTheProcessEndsBeforeTheNextOne)
{
    for (auto timeLeft : { 2s, 4s }) {
        CallRig rig(fleetBoundProfile());
        auto slowCall = CallRig::arrivalOf(1);
        slowCall.request.remaining = 20s;
        rig.arrive(slowCall);
        rig.now += 3s;
        rig.finish(1, 1, answered());
        slowCall.call = CallId(2);
        rig.arrive(slowCall);
        rig.calls.endAt(rig.now + timeLeft);
        auto effects = rig.finish(2, 2, answered(500));
        bool isRepeated = !effectsOf<ForwardCall>(effects).empty();
        EXPECT_EQ(isRepeated, timeLeft == 4s);
        EXPECT_EQ(effectsOf<AnswerCall>(effects).empty(), isRepeated);
    }
}

// Taken late in the grace of a planned stop, a request would be passed on and then cut without an answer.
TEST(FirstAttempts, AreNotBegunIfThePlannedStopWouldCutThem)
{
    for (auto timeLeft : { 2s, 4s }) {
        for (auto isIdempotent : { false, true }) {
            CallRig rig(fleetBoundProfile());
            auto slowCall = CallRig::arrivalOf(1);
            slowCall.request.remaining = 20s;
            slowCall.request.method = isIdempotent ? Method::Get : Method::Post;
            rig.arrive(slowCall);
            rig.now += 3s;
            rig.finish(1, 1, answered());
            rig.calls.endAt(rig.now + timeLeft);
            slowCall.call = CallId(2);
            auto effects = rig.arrive(slowCall);
            bool isBegun = !effectsOf<ForwardCall>(effects).empty();
            EXPECT_EQ(isBegun, timeLeft == 4s);
            auto refusals = effectsOf<RefuseCall>(effects);
            ASSERT_EQ(refusals.empty(), isBegun);
            if (!isBegun) {
                EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
            }
        }
    }
}

TEST(SlowAttempts, AreKeptIfEveryOtherBackendServerIsFull)
{
    CallRig rig(fleetBoundProfile());
    beginSlowAttempt(rig);
    rig.router.isFull = true;
    EXPECT_TRUE(effectsOf<CancelAttempt>(rig.advance(1500ms)).empty());
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(101, 101, answered())).size(), 1u);
}

TEST(FleetRetries, AttemptAfterOneThatReachedNoBackendServerIsNoRetry)
{
    Profile profile;
    profile.retries.fleetExtra = 60;
    profile.retries.reroutes = 30;
    CallRig rig(profile);
    rig.arrive(CallRig::arrivalOf(1));
    auto again = effectsOf<ForwardCall>(rig.finish(1, 1, failed(AttemptResult::RefusedNotRun, Reason::BackendBusy)));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again.front().arrival, ArrivalKind::First);
    // A request that a backend server rejects has arrived there.
    auto rejected = effectsOf<ForwardCall>(rig.finish(1, 2, failed(AttemptResult::RefusedNotRun, Reason::BackendShedding)));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_EQ(rejected.front().arrival, ArrivalKind::Retry);
}

TEST_F(CallTableTest, DoesNotRetryAfterPermanentRefusals)
{
    for (auto reason : { Reason::CrashSuspected, Reason::KeyAlreadyUsed, Reason::BodyTooLarge }) {
        rig.arrive(CallRig::arrivalOf(1));
        auto attempt = rig.observer.started;
        expectRefusal(rig.finish(1, attempt, failed(AttemptResult::RefusedNotRun, reason)), Outcome::NotRun, reason);
    }
}

TEST_F(CallTableTest, ReportsNotRunIfThereIsNoBackendServer)
{
    rig.router.backends.clear();
    expectRefusal(rig.arrive(CallRig::arrivalOf(1)), Outcome::NotRun, Reason::NoBackend);
    EXPECT_EQ(rig.calls.inFlight(), 0u);
}

TEST_F(CallTableTest, OnlyTransientRefusalsCarryARetryAfterHint)
{
    rig.router.backends = { BackendId("a") };
    rig.arrive(CallRig::arrivalOf(1));
    auto full = effectsOf<RefuseCall>(rig.finish(1, 1, failed(AttemptResult::RefusedNotRun, Reason::QueueFull)));
    EXPECT_GT(full.front().retryAfter, 0s);
    rig.arrive(CallRig::arrivalOf(2));
    auto crash = effectsOf<RefuseCall>(rig.finish(2, 2, failed(AttemptResult::RefusedNotRun, Reason::CrashSuspected)));
    EXPECT_EQ(crash.front().retryAfter, 0s);
}

TEST_F(CallTableTest, IdempotentRequestLeavesAStuckBackendServerBeforeItsDeadline)
{
    for (uint64_t call = 1; call <= 20; ++call) {
        rig.arrive(CallRig::arrivalOf(call));
        rig.now += 25ms;
        rig.finish(call, call, answered());
    }
    rig.arrive(CallRig::arrivalOf(21));
    auto effects = rig.advance(100ms);
    EXPECT_EQ(effectsOf<CancelAttempt>(effects).size(), 1u);
    EXPECT_EQ(rig.observer.lastResult, AttemptResult::TimedOut);
    ASSERT_EQ(sendsIn(effects), 1u);
    auto retry = effectsOf<ForwardCall>(effects).front();
    EXPECT_EQ(retry.attemptNumber, 2u);
    EXPECT_EQ(retry.backend, BackendId("b"));

    // The late answer of the cancelled attempt must not be delivered.
    EXPECT_TRUE(rig.finish(21, 21, answered()).empty());
    EXPECT_EQ(rig.calls.lateReports(), 1u);
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(21, 22, answered())).size(), 1u);
}

TEST_F(CallTableTest, KeepsAnAttemptIfThereIsNoOtherBackendServer)
{
    rig.router.backends = { BackendId("a") };
    rig.arrive(CallRig::arrivalOf(1));
    EXPECT_TRUE(effectsOf<CancelAttempt>(rig.advance(1900ms)).empty());
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(1, 1, answered())).size(), 1u);
}

TEST_F(CallTableTest, NonIdempotentRequestWaitsForItsAttemptUntilTheDeadline)
{
    rig.arrive(CallRig::arrivalOf(1, Method::Post));
    EXPECT_TRUE(rig.advance(1999ms).empty());
    auto effects = rig.advance(1ms);
    EXPECT_EQ(effectsOf<CancelAttempt>(effects).size(), 1u);
    expectRefusal(effects, Outcome::Unknown, Reason::DeadlineExceeded);
}

TEST_F(CallTableTest, CancelsTheAttemptOfADisconnectedCallerWithoutAnAnswer)
{
    rig.arrive(CallRig::arrivalOf(1));
    auto effects = rig.callerGone(1);
    EXPECT_EQ(effectsOf<CancelAttempt>(effects).size(), 1u);
    EXPECT_EQ(rig.observer.lastResult, AttemptResult::Cancelled);
    EXPECT_EQ(rig.router.outstanding[BackendId("a")], 0);
    EXPECT_TRUE(rig.finish(1, 1, answered()).empty());
    EXPECT_EQ(rig.calls.lateReports(), 1u);
    EXPECT_EQ(rig.calls.inFlight(), 0u);
}

TEST_F(CallTableTest, RedirectedCallRequestsTheKeptAnswerOnceAndRunsNothing)
{
    auto arrival = CallRig::arrivalOf(1, Method::Post);
    arrival.request.key = IdempotencyKey("key");
    rig.arrive(arrival);
    auto redirected = failed(AttemptResult::Redirected);
    redirected.outcomeKeeper = InstanceId("instance-9");
    auto sends = effectsOf<ForwardCall>(rig.finish(1, 1, redirected));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_TRUE(sends.front().isReplayOnly);
    EXPECT_EQ(sends.front().sidecar, InstanceId("instance-9"));
    EXPECT_EQ(sends.front().sidecarControl, rig.router.keeperControl);
    // The first request with the key ran, so the outcome without the kept answer is unknown, never "not run".
    expectRefusal(rig.finish(1, 2, failed(AttemptResult::RefusedNotRun, Reason::ProcessLeaving)), Outcome::Unknown, Reason::KeyOutcomeUnknown);
}

TEST_F(CallTableTest, OutcomeIsUnknownAfterARedirectToAnUnknownKeeper)
{
    rig.router.keeperControl.reset();
    rig.arrive(CallRig::arrivalOf(1, Method::Post));
    expectRefusal(rig.finish(1, 1, failed(AttemptResult::Redirected)), Outcome::Unknown, Reason::KeyOutcomeUnknown);
}

TEST_F(CallTableTest, LeavingProcessRefusesNewCallsAndFinishesTheRest)
{
    rig.arrive(CallRig::arrivalOf(1));
    rig.turn([&](Turn& turn) { rig.calls.leave(turn); });
    expectRefusal(rig.arrive(CallRig::arrivalOf(2)), Outcome::NotRun, Reason::ProcessLeaving);
    EXPECT_EQ(effectsOf<AnswerCall>(rig.finish(1, 1, answered())).size(), 1u);
}

TEST_F(CallTableTest, RefusesBusyAccountsFirstAtTheConcurrencyLimit)
{
    CallRig small({}, { 8 });
    uint64_t call = 0;
    while (effectsOf<RefuseCall>(small.arrive(CallRig::arrivalOf(++call, Method::Get, "busy"))).empty()) { }
    EXPECT_EQ(small.calls.inFlight(), 4u);
    EXPECT_EQ(sendsIn(small.arrive(CallRig::arrivalOf(++call, Method::Get, "clerk"))), 1u);
}

TEST_F(CallTableTest, CutAttemptsOfOneRequestDoNotExceedMaximumVictims)
{
    Profile profile;
    profile.retries.maximumAttempts = 10;
    profile.retries.minimumPerSecond = 100;
    CallRig generous(profile);
    generous.arrive(CallRig::arrivalOf(1));
    EXPECT_EQ(sendsIn(generous.finish(1, 1, failed(AttemptResult::OutcomeUnknown, Reason::AnswerCut))), 1u);
    expectRefusal(generous.finish(1, 2, failed(AttemptResult::OutcomeUnknown, Reason::AnswerCut)), Outcome::Unknown, Reason::AnswerCut);

    // The caller resends it immediately. No crash is confirmed yet, but the request is refused until the confirmation
    // timeout.
    auto resend = CallRig::arrivalOf(2);
    resend.request.fingerprint = CallRig::arrivalOf(1).request.fingerprint;
    expectRefusal(generous.arrive(resend), Outcome::NotRun, Reason::CrashSuspected);
    generous.now += CrashGuard::confirmationTimeout;
    EXPECT_EQ(sendsIn(generous.arrive(resend)), 1u);
}

TEST_F(CallTableTest, RefusesACrashingRequestButNotOthersOfItsCaller)
{
    auto arrival = CallRig::arrivalOf(1);
    rig.turn([&](Turn& turn) {
        rig.crashGuard.apply(turn, { arrival.request.fingerprint, BackendId("a"), Incarnation(1) });
        rig.crashGuard.apply(turn, { arrival.request.fingerprint, BackendId("b"), Incarnation(1), true });
    });
    expectRefusal(rig.arrive(arrival), Outcome::NotRun, Reason::CrashSuspected);
    EXPECT_EQ(sendsIn(rig.arrive(CallRig::arrivalOf(2))), 1u);
}

TEST_F(CallTableTest, RetriesDoNotDoubleTheLoadWhenEveryAttemptFails)
{
    // The profile's budget of 10 %, and one retry per second for 20 s plus the initial second's token.
    EXPECT_LE(attemptsOf(2000, failed(AttemptResult::Malformed)), 2000 * 1.1 + 21);
    EXPECT_EQ(rig.calls.inFlight(), 0u);
}

TEST_F(CallTableTest, ReroutesStayWithinTheirBudgetWhenAllQueuesAreFull)
{
    auto attempts = attemptsOf(2000, failed(AttemptResult::RefusedNotRun, Reason::QueueFull));
    EXPECT_LE(attempts, 2000 * (1 + RetryBudget::rerouteShare) + 21 * RetryBudget::reroutesPerSecond);
}

TEST(CallTable, RejectsAtOnceAndTellsWhenThereIsRoomIfAllBackendServersAreLimited)
{
    Profile profile;
    profile.capacity.callerWait = 5s;
    CallRig rig(profile);
    rig.router.backends.clear();
    rig.router.allLimitedFor = 700ms;
    auto refusals = effectsOf<RefuseCall>(rig.arrive(CallRig::arrivalOf(1)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(nameOf(refusals.front().outcome), nameOf(Outcome::NotRun));
    EXPECT_EQ(nameOf(refusals.front().reason), nameOf(Reason::BackendLimited));
    EXPECT_EQ(refusals.front().retryAfter, 700ms);
}
