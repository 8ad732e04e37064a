#include <Tests/LibDecision/Admission/AdmissionRig.h>
#include <Tests/LibDecision/ScheduleStep.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

enum class StepKind {
    Arrive,
    ArriveKeyed,
    ArriveAgain,
    Cancel,
    Finish,
    FinishAgain,
    Decide,
    Announce,
    Restart,
    Drain,
    Advance,
    Pause,
    Leave,
};

using Step = ScheduleStep<StepKind>;

constexpr std::array backendNames { "a", "b" };
constexpr std::array runResults { AttemptResult::Answered, AttemptResult::Answered, AttemptResult::Answered, AttemptResult::NotSent,
    AttemptResult::RefusedNotRun, AttemptResult::ConnectionLost, AttemptResult::Malformed, AttemptResult::TimedOut, AttemptResult::Stalled };

// Performs steps on a sidecar and checks every effect against the recorded history.
class AdmissionChecker {
public:
    AdmissionChecker()
        : m_rig(testProfile())
    {
        for (const auto* name : backendNames)
            announce(name, 1, 3);
    }

    void perform(const Step& step)
    {
        switch (step.kind) {
        case StepKind::Arrive:
            arrive(AdmissionRig::arrivalOf(m_lastCall + 1, nameAt(step.choice), accountAt(step.value)), step);
            return;
        case StepKind::ArriveKeyed:
            arrive(AdmissionRig::keyedArrivalOf(m_lastCall + 1, nameAt(step.choice)), step);
            return;
        case StepKind::ArriveAgain:
            if (auto call = pick(m_open, step.choice))
                check(m_rig.arrive(AdmissionRig::arrivalOf(call->value(), nameAt(step.choice))));
            return;
        case StepKind::Cancel:
            if (auto call = pick(m_open, step.choice)) {
                m_open.erase(*call);
                m_cancelled.insert(*call);
                check(m_rig.cancel(call->value()));
            }
            return;
        case StepKind::Finish:
            if (auto call = pick(m_running, step.choice))
                finish(*call, runResults[step.value % runResults.size()]);
            return;
        case StepKind::FinishAgain:
            if (auto call = pick(step.value % 2 == 0 ? m_finished : notRunning(), step.choice))
                check(m_rig.finish(call->value(), RunReport {}));
            return;
        case StepKind::Decide:
            if (auto call = pick(m_rig.gate.pending, step.choice))
                decide(*call, step.value);
            return;
        case StepKind::Announce:
            announce(nameAt(step.choice), incarnationOf(nameAt(step.choice)), 1 + step.value % 4);
            return;
        case StepKind::Restart:
            announce(nameAt(step.choice), incarnationOf(nameAt(step.choice)) + 1, 1 + step.value % 4);
            return;
        case StepKind::Drain:
            check(m_rig.drain(nameAt(step.choice)));
            return;
        case StepKind::Advance:
            advance(Duration(1000 * (step.value % 300)));
            return;
        case StepKind::Pause:
            // Simulates a paused process: its timers fire late, after the next input.
            m_rig.now += Duration(1000 * (step.value % 700));
            return;
        case StepKind::Leave:
            // Rare, so that most schedules contain requests after it.
            if (step.choice % 16 == 0)
                check(m_rig.turn([&](Turn& turn) { m_rig.admission.leave(turn); }));
            return;
        }
    }

    // Grants every claim and answers every run; afterwards no request may be left.
    void finishAll()
    {
        while (!m_running.empty() || !m_rig.gate.pending.empty()) {
            while (auto call = pick(m_rig.gate.pending, 0))
                decide(*call, 0);
            while (auto call = pick(m_running, 0))
                finish(*call, AttemptResult::Answered);
        }
        advance(10s);
        while (auto call = pick(m_running, 0))
            finish(*call, AttemptResult::Answered);
        RC_ASSERT(m_open.empty());
        RC_ASSERT(m_rig.admission.inFlight() == 0u);
        RC_ASSERT(m_rig.observer.started == m_rig.observer.finished);
        for (const auto& call : m_granted)
            RC_ASSERT(m_rig.gate.outcomes[call].size() == 1u);
    }

private:
    static Profile testProfile()
    {
        Profile profile;
        profile.lifecycle.coldStart = 100ms;
        profile.capacity.queueLength = 4;
        return profile;
    }

    static std::string nameAt(uint32_t choice) { return backendNames[choice % backendNames.size()]; }
    static std::string accountAt(uint32_t value) { return "account-" + std::to_string(value % 3); }

    template <typename Set>
    static std::optional<SidecarCallId> pick(const Set& set, uint32_t choice)
    {
        if (set.empty())
            return std::nullopt;
        auto entry = set.begin();
        std::advance(entry, choice % set.size());
        return *entry;
    }

    std::set<SidecarCallId> notRunning() const
    {
        std::set<SidecarCallId> calls;
        std::ranges::set_difference(m_open, m_running, std::inserter(calls, calls.end()));
        return calls;
    }

    // Stops at each timer, so that its effects are checked at the time when it fires.
    void advance(Duration duration)
    {
        auto end = m_rig.now + duration;
        while (m_rig.nextTimer() && *m_rig.nextTimer() <= end)
            check(m_rig.advance(std::max<Duration>(0s, *m_rig.nextTimer() - m_rig.now)));
        check(m_rig.advance(end - m_rig.now));
    }

    uint64_t incarnationOf(const std::string& name) const
    {
        const auto* backend = m_rig.backends.find(BackendId(name));
        return backend ? backend->announcement.incarnation.value() : 1;
    }

    void arrive(SidecarCallArrived arrival, const Step& step)
    {
        auto incarnation = incarnationOf(arrival.backend.value());
        bool isStale = step.value % 8 == 7;
        arrival.incarnation = Incarnation(isStale ? incarnation + 1 : incarnation);
        arrival.request.remaining = Duration(1000 * (step.value % 1500));
        arrival.request.fingerprint = { 1, 1 + step.value % 5 };
        ++m_lastCall;
        m_open.insert(arrival.call);
        m_arrivals[arrival.call] = arrival;
        m_deadlines[arrival.call] = m_rig.now + *arrival.request.remaining;
        check(m_rig.arrive(arrival));
    }

    void finish(SidecarCallId call, AttemptResult result)
    {
        m_running.erase(call);
        m_finished.insert(call);
        RunReport report;
        report.result = result;
        report.elapsed = 25ms;
        report.reason = result == AttemptResult::NotSent ? Reason::ConnectFailed : Reason::None;
        if (result == AttemptResult::NotSent || result == AttemptResult::RefusedNotRun)
            m_mayHaveRun.erase(call);
        bool isAwaited = m_open.contains(call);
        auto effects = m_rig.finish(call.value(), report);
        bool isDelivered = std::ranges::any_of(effectsOf<AnswerSidecarCall>(effects), [&](const AnswerSidecarCall& answer) { return answer.call == call; });
        RC_ASSERT(isDelivered == (isAwaited && result == AttemptResult::Answered));
        check(effects);
    }

    void decide(SidecarCallId call, uint32_t value)
    {
        ClaimDecision decision;
        decision.call = call;
        const auto& verdicts = EnumNames<ClaimVerdict>::entries;
        decision.verdict = value % 2 == 0 ? ClaimVerdict::Granted : verdicts[value / 2 % verdicts.size()].value;
        decision.validUntil = m_rig.now + Duration(value % 3);
        if (decision.verdict == ClaimVerdict::Granted)
            m_granted.insert(call);
        if (decision.verdict == ClaimVerdict::Granted && decision.validUntil > m_rig.now)
            m_validGrants.insert(call);
        check(m_rig.decide(decision));
    }

    void announce(const std::string& name, uint64_t incarnation, uint32_t slots)
    {
        // Runs that the announcement starts must already respect the new number of slots.
        m_slots[BackendId(name)] = slots;
        check(m_rig.announce(name, incarnation, slots));
    }

    void check(const EffectList& effects)
    {
        for (const auto& effect : effects) {
            if (const auto* run = std::get_if<RunCall>(&effect))
                checkRun(*run);
            // The end of a cancelled run may be reported late or not at all.
            if (const auto* cancellation = std::get_if<CancelRun>(&effect)) {
                RC_ASSERT(m_running.erase(cancellation->call) == 1u);
                m_finished.insert(cancellation->call);
            }
            if (const auto* refusal = std::get_if<RefuseSidecarCall>(&effect))
                checkRefusal(*refusal);
            if (const auto* answer = std::get_if<AnswerSidecarCall>(&effect))
                checkEnd(answer->call);
            if (const auto* replay = std::get_if<ReplaySidecarCall>(&effect))
                checkEnd(replay->call);
            if (const auto* redirect = std::get_if<RedirectSidecarCall>(&effect))
                checkEnd(redirect->call);
        }
        for (const auto* name : backendNames)
            RC_ASSERT(m_rig.admission.load(BackendId(name), m_rig.now).queued <= 4u);
    }

    void checkRun(const RunCall& run)
    {
        const auto& arrival = m_arrivals.at(run.call);
        RC_ASSERT(m_open.contains(run.call));
        RC_ASSERT(m_mayHaveRun.insert(run.call).second);
        auto isSameBackend = [&](SidecarCallId call) { return m_arrivals.at(call).backend == run.backend; };
        auto running = std::ranges::count_if(m_running, isSameBackend);
        RC_ASSERT(static_cast<uint32_t>(running) < m_slots.at(run.backend));
        m_running.insert(run.call);

        const auto* backend = m_rig.backends.find(run.backend);
        RC_ASSERT(backend->phase == BackendPhase::Serving);
        RC_ASSERT(backend->announcement.incarnation == arrival.incarnation);
        RC_ASSERT(run.remaining > Duration::zero());
        RC_ASSERT(m_rig.now + run.remaining == m_deadlines.at(run.call));
        RC_ASSERT(!arrival.request.key || m_validGrants.contains(run.call));
    }

    void checkRefusal(const RefuseSidecarCall& refusal)
    {
        if (refusal.outcome == Outcome::NotRun)
            RC_ASSERT(!m_mayHaveRun.contains(refusal.call));
        RC_ASSERT(refusal.outcome != Outcome::Answered);
        checkEnd(refusal.call);
    }

    // Checks that the request wasn't cancelled and ends for the first time.
    void checkEnd(SidecarCallId call)
    {
        RC_ASSERT(!m_cancelled.contains(call));
        RC_ASSERT(m_open.erase(call) == 1u);
    }

    AdmissionRig m_rig;
    uint64_t m_lastCall { 0 };
    std::set<SidecarCallId> m_open;
    std::set<SidecarCallId> m_cancelled;
    std::set<SidecarCallId> m_running;
    std::set<SidecarCallId> m_finished;
    // Requests that a backend server may have run.
    std::set<SidecarCallId> m_mayHaveRun;
    std::set<SidecarCallId> m_granted;
    std::set<SidecarCallId> m_validGrants;
    std::map<SidecarCallId, SidecarCallArrived> m_arrivals;
    std::map<SidecarCallId, Instant> m_deadlines;
    std::map<BackendId, uint32_t> m_slots;
};

}

template <>
struct rc::Arbitrary<Step> {
    static rc::Gen<Step> arbitrary()
    {
        auto kind = rc::gen::weightedElement<StepKind>({ { 10, StepKind::Arrive }, { 5, StepKind::ArriveKeyed }, { 1, StepKind::ArriveAgain },
            { 2, StepKind::Cancel }, { 8, StepKind::Finish }, { 1, StepKind::FinishAgain }, { 5, StepKind::Decide }, { 2, StepKind::Announce },
            { 1, StepKind::Restart }, { 1, StepKind::Drain }, { 3, StepKind::Advance }, { 2, StepKind::Pause }, { 1, StepKind::Leave } });
        return scheduleStep(kind);
    }
};

RC_GTEST_PROP(SidecarAdmissionProperties, InvariantsOfSlotsOutcomesClaimsAndDeadlinesHoldForAnySchedule, (const std::vector<Step>& steps))
{
    AdmissionChecker checker;
    std::ranges::for_each(steps, [&](const Step& step) { checker.perform(step); });
    checker.finishAll();
}
