#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <gtest/gtest.h>

using namespace Decision;

namespace {

RunReport answered(Duration elapsed = 25ms)
{
    RunReport report;
    report.status = 200;
    report.elapsed = elapsed;
    return report;
}

RunReport failed(AttemptResult result, Reason reason = Reason::None)
{
    RunReport report;
    report.result = result;
    report.reason = reason;
    return report;
}

class SidecarAdmissionTest : public testing::Test {
protected:
    SidecarAdmissionTest() { rig.announce("a", 1, 2); }

    // Returns the only refusal among the effects.
    static RefuseSidecarCall refusalIn(const EffectList& effects)
    {
        auto refusals = effectsOf<RefuseSidecarCall>(effects);
        EXPECT_EQ(refusals.size(), 1u);
        return refusals.empty() ? RefuseSidecarCall {} : refusals.front();
    }
    static size_t runsIn(const EffectList& effects) { return effectsOf<RunCall>(effects).size(); }

    void expectRefusal(const EffectList& effects, Outcome outcome, Reason reason)
    {
        auto refusal = refusalIn(effects);
        EXPECT_EQ(nameOf(refusal.outcome), nameOf(outcome));
        EXPECT_EQ(nameOf(refusal.reason), nameOf(reason));
        EXPECT_EQ(runsIn(effects), 0u);
    }

    ClaimDecision decisionOf(uint64_t call, ClaimVerdict verdict)
    {
        ClaimDecision decision;
        decision.call = SidecarCallId(call);
        decision.verdict = verdict;
        decision.validUntil = rig.now + 1s;
        return decision;
    }

    AdmissionRig rig { warmProfile() };
};

}

TEST_F(SidecarAdmissionTest, RunsThenQueuesThenRefuses)
{
    EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::arrivalOf(1, "a"))), 1u);
    EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::arrivalOf(2, "a"))), 1u);
    for (uint64_t call = 3; call <= 8; ++call)
        EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::arrivalOf(call, "a"))), 0u);
    EXPECT_EQ(rig.admission.load(BackendId("a"), rig.now).queued, 6u);
    expectRefusal(rig.arrive(AdmissionRig::arrivalOf(9, "a")), Outcome::NotRun, Reason::QueueFull);

    auto effects = rig.finish(1, answered());
    EXPECT_EQ(effectsOf<AnswerSidecarCall>(effects).size(), 1u);
    ASSERT_EQ(runsIn(effects), 1u);
    EXPECT_EQ(effectsOf<RunCall>(effects).front().call, SidecarCallId(3));
}

TEST_F(SidecarAdmissionTest, RefusesRequestsAfterTheQueueTimeout)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    EXPECT_TRUE(rig.advance(199ms).empty());
    expectRefusal(rig.advance(1ms), Outcome::NotRun, Reason::Overloaded);
}

TEST_F(SidecarAdmissionTest, ChecksTheDeadlineBeforeDispatch)
{
    auto arrival = AdmissionRig::arrivalOf(1, "a");
    arrival.request.remaining = 0s;
    expectRefusal(rig.arrive(arrival), Outcome::NotRun, Reason::DeadlineExceeded);

    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    arrival = AdmissionRig::arrivalOf(4, "a");
    arrival.request.remaining = 50ms;
    rig.arrive(arrival);
    rig.now += 30ms;
    auto runs = effectsOf<RunCall>(rig.finish(2, answered()));
    ASSERT_EQ(runs.size(), 1u);
    EXPECT_EQ(runs.front().remaining, 20ms);
}

TEST_F(SidecarAdmissionTest, FewerSlotsTakeEffectAsRunsFinish)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    rig.announce("a", 1, 1);
    EXPECT_EQ(runsIn(rig.finish(1, answered())), 0u);
    EXPECT_EQ(runsIn(rig.finish(2, answered())), 1u);
}

TEST_F(SidecarAdmissionTest, DoesNotRunAGrantedRequestAfterTheSlotsShrank)
{
    rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.announce("a", 1, 1);
    expectRefusal(rig.decide(decisionOf(1, ClaimVerdict::Granted)), Outcome::NotRun, Reason::Overloaded);
    EXPECT_EQ(rig.gate.outcomes[SidecarCallId(1)], std::vector { Outcome::NotRun });
}

TEST_F(SidecarAdmissionTest, UsesAdditionalSlotsImmediately)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    EXPECT_EQ(runsIn(rig.announce("a", 1, 3)), 1u);
}

TEST_F(SidecarAdmissionTest, DrainRefusesNewAndQueuedRequestsAndFinishesRunningOnes)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    expectRefusal(rig.drain("a"), Outcome::NotRun, Reason::BackendDraining);
    expectRefusal(rig.arrive(AdmissionRig::arrivalOf(4, "a")), Outcome::NotRun, Reason::BackendDraining);

    EXPECT_EQ(effectsOf<AnswerSidecarCall>(rig.finish(1, answered())).size(), 1u);
    EXPECT_EQ(rig.backends.find(BackendId("a"))->phase, BackendPhase::Draining);
    EXPECT_EQ(effectsOf<AnswerSidecarCall>(rig.finish(2, answered())).size(), 1u);
    EXPECT_EQ(rig.backends.find(BackendId("a"))->phase, BackendPhase::Gone);
}

TEST_F(SidecarAdmissionTest, IdleBackendServerIsGoneAsSoonAsItDrains)
{
    rig.drain("a");
    EXPECT_EQ(rig.backends.find(BackendId("a"))->phase, BackendPhase::Gone);
    EXPECT_EQ(rig.rumors.back().urgency, Urgency::Immediate);
}

TEST_F(SidecarAdmissionTest, LeavingProcessRefusesNewRequestsAndFinishesTheRest)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.turn([&](Turn& turn) { rig.admission.leave(turn); });
    expectRefusal(rig.arrive(AdmissionRig::arrivalOf(2, "a")), Outcome::NotRun, Reason::ProcessLeaving);
    EXPECT_EQ(effectsOf<AnswerSidecarCall>(rig.finish(1, answered())).size(), 1u);
    EXPECT_EQ(rig.admission.inFlight(), 0u);
}

TEST_F(SidecarAdmissionTest, RefusesStaleIncarnationsAndUnknownBackendServers)
{
    auto arrival = AdmissionRig::arrivalOf(1, "a");
    arrival.incarnation = Incarnation(2);
    expectRefusal(rig.arrive(arrival), Outcome::NotRun, Reason::StaleIncarnation);
    expectRefusal(rig.arrive(AdmissionRig::arrivalOf(2, "b")), Outcome::NotRun, Reason::BackendUnknown);
}

TEST_F(SidecarAdmissionTest, ColdBackendServerUsesFewerSlotsAtFirst)
{
    AdmissionRig cold;
    cold.announce("a", 1, 2);
    EXPECT_EQ(runsIn(cold.arrive(AdmissionRig::arrivalOf(1, "a"))), 1u);
    EXPECT_EQ(runsIn(cold.arrive(AdmissionRig::arrivalOf(2, "a"))), 0u);
    cold.cancel(2);
    cold.advance(9900ms);
    cold.announce("a", 1, 2);
    EXPECT_EQ(runsIn(cold.arrive(AdmissionRig::arrivalOf(3, "a"))), 0u);
    EXPECT_EQ(runsIn(cold.advance(100ms)), 1u);
}

TEST_F(SidecarAdmissionTest, WarmingBackendServerGetsNoRequests)
{
    rig.announce("b", 1, 2, BackendPhase::Warming);
    expectRefusal(rig.arrive(AdmissionRig::arrivalOf(1, "b")), Outcome::NotRun, Reason::BackendCold);
    rig.announce("b", 1, 2, BackendPhase::Serving);
    EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::arrivalOf(2, "b"))), 1u);
}

TEST_F(SidecarAdmissionTest, ReportsOutcomesOfFailedRuns)
{
    const std::vector<std::pair<RunReport, Verdict>> cases {
        { failed(AttemptResult::NotSent, Reason::ConnectFailed), { Outcome::NotRun, Reason::ConnectFailed } },
        { failed(AttemptResult::RefusedNotRun, Reason::BackendShedding), { Outcome::NotRun, Reason::BackendShedding } },
        { failed(AttemptResult::Answered, Reason::BackendShedding), { Outcome::NotRun, Reason::BackendShedding } },
        { failed(AttemptResult::ConnectionLost), { Outcome::Unknown, Reason::AnswerCut } },
        { failed(AttemptResult::Malformed, Reason::AnswerTooLarge), { Outcome::Unknown, Reason::AnswerTooLarge } },
        { failed(AttemptResult::TimedOut), { Outcome::Unknown, Reason::DeadlineExceeded } },
        { failed(AttemptResult::Stalled), { Outcome::Unknown, Reason::NoProgress } },
    };
    uint64_t call = 0;
    for (const auto& [report, verdict] : cases) {
        ++call;
        rig.arrive(AdmissionRig::arrivalOf(call, "a"));
        expectRefusal(rig.finish(call, report), verdict.outcome, verdict.reason);
    }
}

TEST_F(SidecarAdmissionTest, SilentConnectionDropsAllConnectionsButNotTheBackendServer)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    EXPECT_EQ(effectsOf<DropConnections>(rig.finish(1, failed(AttemptResult::Stalled))).size(), 1u);
    EXPECT_EQ(rig.backends.find(BackendId("a"))->phase, BackendPhase::Serving);
    EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::arrivalOf(2, "a"))), 1u);
}

TEST_F(SidecarAdmissionTest, OnlyNonIdempotentRequestsNeedAProvenConnection)
{
    auto arrival = AdmissionRig::arrivalOf(1, "a");
    EXPECT_FALSE(effectsOf<RunCall>(rig.arrive(arrival)).front().needsProvenConnection);
    arrival = AdmissionRig::arrivalOf(2, "a");
    arrival.isIdempotent = false;
    EXPECT_TRUE(effectsOf<RunCall>(rig.arrive(arrival)).front().needsProvenConnection);
}

TEST_F(SidecarAdmissionTest, CancelledRunKeepsItsSlotUntilItsEndIsReported)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    EXPECT_EQ(effectsOf<CancelRun>(rig.cancel(1)).size(), 1u);
    auto effects = rig.finish(1, failed(AttemptResult::Cancelled));
    EXPECT_TRUE(effectsOf<RefuseSidecarCall>(effects).empty());
    EXPECT_EQ(runsIn(effects), 1u);
}

TEST_F(SidecarAdmissionTest, CancelledRunWithoutReportFreesItsSlotAfterTheGracePeriod)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.cancel(1);
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    EXPECT_EQ(runsIn(rig.advance(99ms)), 0u);
    EXPECT_EQ(runsIn(rig.advance(1ms)), 1u);
    EXPECT_EQ(rig.observer.finished, 1);
    EXPECT_TRUE(rig.finish(1, answered()).empty());
}

TEST_F(SidecarAdmissionTest, KeyedRequestRunsOnlyUnderAValidGrant)
{
    EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"))), 0u);
    EXPECT_EQ(rig.admission.load(BackendId("a"), rig.now).running, 1u);
    EXPECT_EQ(runsIn(rig.decide(decisionOf(1, ClaimVerdict::Granted))), 1u);
    auto effects = rig.finish(1, answered());
    EXPECT_EQ(effectsOf<KeepAnswer>(effects).size(), 1u);
    EXPECT_EQ(rig.gate.outcomes[SidecarCallId(1)], std::vector { Outcome::Answered });
}

TEST_F(SidecarAdmissionTest, DoesNotRunUnderAnExpiredGrant)
{
    rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"));
    auto decision = decisionOf(1, ClaimVerdict::Granted);
    rig.now = decision.validUntil;
    expectRefusal(rig.decide(decision), Outcome::NotRun, Reason::ClaimUnavailable);
    EXPECT_EQ(rig.gate.outcomes[SidecarCallId(1)], std::vector { Outcome::NotRun });
}

TEST_F(SidecarAdmissionTest, RefusesClaimsThatAreNotGrantedWithTheMatchingOutcome)
{
    const std::vector<std::pair<ClaimVerdict, Verdict>> cases {
        { ClaimVerdict::Unknown, { Outcome::Unknown, Reason::KeyOutcomeUnknown } },
        { ClaimVerdict::InProgress, { Outcome::Unknown, Reason::KeyInProgress } },
        { ClaimVerdict::Finished, { Outcome::Unknown, Reason::KeyOutcomeUnknown } },
        { ClaimVerdict::NotHolder, { Outcome::NotRun, Reason::ClaimUnavailable } },
        { ClaimVerdict::Settling, { Outcome::NotRun, Reason::ClaimUnavailable } },
        { ClaimVerdict::Mismatch, { Outcome::NotRun, Reason::KeyAlreadyUsed } },
    };
    uint64_t call = 0;
    for (const auto& [claim, verdict] : cases) {
        ++call;
        rig.arrive(AdmissionRig::keyedArrivalOf(call, "a"));
        expectRefusal(rig.decide(decisionOf(call, claim)), verdict.outcome, verdict.reason);
        EXPECT_EQ(rig.admission.load(BackendId("a"), rig.now).running, 0u);
        EXPECT_TRUE(rig.gate.outcomes[SidecarCallId(call)].empty()) << "no claim was granted";
    }
}

TEST_F(SidecarAdmissionTest, FinishedKeyIsReplayedLocallyOrRedirected)
{
    rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"));
    auto decision = decisionOf(1, ClaimVerdict::Finished);
    decision.keptAnswer = SidecarCallId(77);
    auto replays = effectsOf<ReplaySidecarCall>(rig.decide(decision));
    ASSERT_EQ(replays.size(), 1u);
    EXPECT_EQ(replays.front().keptAnswer, SidecarCallId(77));

    rig.arrive(AdmissionRig::keyedArrivalOf(2, "a"));
    decision = decisionOf(2, ClaimVerdict::Finished);
    decision.outcomeKeeper = InstanceId("instance-2");
    auto redirects = effectsOf<RedirectSidecarCall>(rig.decide(decision));
    ASSERT_EQ(redirects.size(), 1u);
    EXPECT_EQ(redirects.front().outcomeKeeper, InstanceId("instance-2"));
}

TEST_F(SidecarAdmissionTest, ReplayOnlyRequestNeverRuns)
{
    auto arrival = AdmissionRig::keyedArrivalOf(1, "a");
    arrival.isReplayOnly = true;
    expectRefusal(rig.arrive(arrival), Outcome::Unknown, Reason::KeyOutcomeUnknown);
    rig.gate.kept[*arrival.request.key] = SidecarCallId(50);
    arrival.call = SidecarCallId(2);
    auto effects = rig.arrive(arrival);
    EXPECT_EQ(effectsOf<ReplaySidecarCall>(effects).size(), 1u);
    EXPECT_EQ(runsIn(effects), 0u);
}

TEST_F(SidecarAdmissionTest, KeyedRunContinuesWithoutItsIngressAndItsAnswerIsKept)
{
    rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"));
    rig.decide(decisionOf(1, ClaimVerdict::Granted));
    EXPECT_TRUE(effectsOf<CancelRun>(rig.cancel(1)).empty());
    auto effects = rig.finish(1, answered());
    EXPECT_EQ(effectsOf<KeepAnswer>(effects).size(), 1u);
    EXPECT_TRUE(effectsOf<AnswerSidecarCall>(effects).empty());
    EXPECT_EQ(rig.gate.outcomes[SidecarCallId(1)], std::vector { Outcome::Answered });
}

TEST_F(SidecarAdmissionTest, CancellationWithdrawsTheClaimAndIgnoresALateGrant)
{
    rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"));
    rig.cancel(1);
    EXPECT_EQ(rig.gate.outcomes[SidecarCallId(1)], std::vector { Outcome::NotRun });
    EXPECT_TRUE(rig.decide(decisionOf(1, ClaimVerdict::Granted)).empty());
    EXPECT_EQ(rig.admission.inFlight(), 0u);
}

TEST_F(SidecarAdmissionTest, DoesNotRunAGrantedRequestAfterADrain)
{
    rig.arrive(AdmissionRig::keyedArrivalOf(1, "a"));
    rig.drain("a");
    expectRefusal(rig.decide(decisionOf(1, ClaimVerdict::Granted)), Outcome::NotRun, Reason::BackendDraining);
    EXPECT_EQ(rig.backends.find(BackendId("a"))->phase, BackendPhase::Gone);
}

TEST_F(SidecarAdmissionTest, RefusesACrashingRequestAfterMaximumVictimsAndNoOthers)
{
    rig.announce("b", 1, 2);
    const Fingerprint crasher { 9, 9 };
    auto arrivalOfCrasher = [&](uint64_t call, const std::string& backend, uint64_t incarnation) {
        auto arrival = AdmissionRig::arrivalOf(call, backend);
        arrival.request.fingerprint = crasher;
        arrival.incarnation = Incarnation(incarnation);
        return arrival;
    };
    rig.arrive(arrivalOfCrasher(1, "a", 1));
    rig.finish(1, failed(AttemptResult::ConnectionLost));
    rig.announce("a", 2, 2);
    rig.arrive(arrivalOfCrasher(2, "b", 1));
    rig.finish(2, failed(AttemptResult::ConnectionLost));
    rig.arrive(AdmissionRig::arrivalOf(3, "b"));
    rig.finish(3, failed(AttemptResult::NotSent, Reason::ConnectFailed));

    expectRefusal(rig.arrive(arrivalOfCrasher(4, "a", 2)), Outcome::NotRun, Reason::CrashSuspected);
    auto innocent = AdmissionRig::arrivalOf(5, "a");
    innocent.incarnation = Incarnation(2);
    EXPECT_EQ(runsIn(rig.arrive(innocent)), 1u);
}

TEST_F(SidecarAdmissionTest, RefusedProbeConfirmsACrash)
{
    auto probe = [&](const RunReport& report) {
        rig.turn([&](Turn& turn) { rig.admission.probeFinished(turn, BackendId("a"), report); });
    };
    auto arrival = AdmissionRig::arrivalOf(1, "a");
    rig.arrive(arrival);
    rig.now += 1ms;
    rig.finish(1, failed(AttemptResult::ConnectionLost));
    probe(failed(AttemptResult::NotSent, Reason::ConnectFailed));
    EXPECT_TRUE(rig.crashGuard.isSuspected(arrival.request.fingerprint, {}, rig.now));

    arrival = AdmissionRig::arrivalOf(2, "a");
    rig.arrive(arrival);
    rig.finish(2, failed(AttemptResult::ConnectionLost));
    rig.now += 1s;
    probe(answered());
    probe(failed(AttemptResult::NotSent, Reason::ConnectFailed));
    EXPECT_FALSE(rig.crashGuard.isSuspected(arrival.request.fingerprint, {}, rig.now));
}

// Backend servers mostly come back under another id, and no other request may meet the refused connection.
TEST_F(SidecarAdmissionTest, AnUnannouncedReplacementAtTheSameEndpointConfirmsACrash)
{
    for (bool saysThatItLeaves : { false, true }) {
        AdmissionRig replaced;
        replaced.announce("a", 1, 2);
        auto arrival = AdmissionRig::arrivalOf(1, "a");
        replaced.arrive(arrival);
        replaced.finish(1, failed(AttemptResult::ConnectionLost));
        auto successor = replaced.backends.find(BackendId("a"))->announcement;
        if (saysThatItLeaves)
            replaced.drain("a");
        successor.id = BackendId("a-2");
        successor.incarnation = Incarnation(2);
        replaced.turn([&](Turn& turn) { replaced.backends.announce(turn, successor); });
        EXPECT_EQ(replaced.crashGuard.isSuspected(arrival.request.fingerprint, {}, replaced.now), !saysThatItLeaves);
    }
}

TEST_F(SidecarAdmissionTest, ARefusedConnectionAfterACutConfirmsACrashWithoutOtherRequests)
{
    auto arrival = AdmissionRig::arrivalOf(1, "a");
    rig.arrive(arrival);
    rig.finish(1, failed(AttemptResult::ConnectionLost));
    auto checks = effectsOf<CheckConnection>(rig.advance(1s));
    ASSERT_EQ(checks.size(), 1u);
    rig.turn([&](Turn& turn) { rig.admission.connectionRefused(turn, checks[0].backend, checks[0].incarnation); });
    EXPECT_TRUE(rig.crashGuard.isSuspected(arrival.request.fingerprint, {}, rig.now));
}

TEST_F(SidecarAdmissionTest, ABackendServerThatCutsManyAnswersIsCheckedOnceASecond)
{
    size_t checks = 0;
    for (uint64_t call = 1; call <= 500; ++call) {
        rig.arrive(AdmissionRig::arrivalOf(call, "a"));
        rig.finish(call, failed(AttemptResult::ConnectionLost));
        checks += effectsOf<CheckConnection>(rig.advance(10ms)).size();
    }
    EXPECT_GE(checks, 4u);
    EXPECT_LE(checks, 6u);
}

TEST_F(SidecarAdmissionTest, SuspectedRequestRunsAlone)
{
    auto suspect = AdmissionRig::arrivalOf(1, "a");
    rig.turn([&](Turn& turn) { rig.crashGuard.apply(turn, { suspect.request.fingerprint, BackendId("z"), Incarnation(1) }); });
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    EXPECT_EQ(runsIn(rig.arrive(suspect)), 0u);
    EXPECT_EQ(runsIn(rig.finish(2, answered())), 1u);
    EXPECT_EQ(runsIn(rig.arrive(AdmissionRig::arrivalOf(3, "a"))), 0u);
    EXPECT_EQ(runsIn(rig.finish(1, answered())), 1u);
    EXPECT_FALSE(rig.crashGuard.isSuspected(suspect.request.fingerprint, {}, rig.now));
}

TEST_F(SidecarAdmissionTest, CutAnswersOfALiveBackendServerAreNotCrashes)
{
    for (uint64_t call = 1; call <= 10; ++call) {
        auto arrival = AdmissionRig::arrivalOf(call, "a");
        arrival.request.fingerprint = { 9, 9 };
        EXPECT_EQ(runsIn(rig.arrive(arrival)), 1u);
        rig.now += 1ms;
        rig.finish(call, failed(AttemptResult::ConnectionLost));
    }
    EXPECT_EQ(rig.crashGuard.size(), 0u);
}

TEST_F(SidecarAdmissionTest, ABackendServerThatSaysInAnAnswerThatItLeavesGetsNoFurtherRequest)
{
    rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    rig.arrive(AdmissionRig::arrivalOf(2, "a"));
    rig.arrive(AdmissionRig::arrivalOf(3, "a"));
    auto report = answered();
    report.notice = BackendNotice { std::nullopt, true };
    auto effects = rig.finish(1, report);
    ASSERT_EQ(effectsOf<AnswerSidecarCall>(effects).size(), 1u);
    EXPECT_TRUE(effectsOf<AnswerSidecarCall>(effects).front().load.condition->isLeaving);
    expectRefusal(effects, Outcome::NotRun, Reason::BackendDraining);
    expectRefusal(rig.arrive(AdmissionRig::arrivalOf(4, "a")), Outcome::NotRun, Reason::BackendDraining);
    EXPECT_EQ(effectsOf<AnswerSidecarCall>(rig.finish(2, answered())).size(), 1u);
}
