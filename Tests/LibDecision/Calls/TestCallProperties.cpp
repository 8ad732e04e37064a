#include <Tests/LibDecision/Calls/CallRig.h>
#include <Tests/LibDecision/ScheduleStep.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Decision;

namespace {

enum class StepKind {
    Arrive,
    ArriveAgain,
    Finish,
    FinishLate,
    CallerGone,
    Advance,
    Pause,
    ChangeBackends,
    Crash,
    Leave,
};

using Step = ScheduleStep<StepKind>;

// What the test knows about one call.
struct CallHistory {
    bool isIdempotent { false };
    Instant deadline;
    uint32_t sends { 0 };
    // Number of attempts that a backend server may have run.
    uint32_t mayHaveRun { 0 };
    bool hasEnded { false };
    bool isCallerGone { false };
    std::optional<AttemptId> attempt;
    bool isReplay { false };
    // Attempts whose answer arrived completely.
    std::set<AttemptId> wholeAnswers;
};

// Performs steps on a call table and checks every effect against the history of its call.
class CallChecker {
public:
    void perform(const Step& step)
    {
        switch (step.kind) {
        case StepKind::Arrive:
            arrive(step);
            return;
        case StepKind::ArriveAgain:
            if (!m_histories.empty() && !m_histories.rbegin()->second.hasEnded)
                check(m_rig.arrive(CallRig::arrivalOf(m_histories.rbegin()->first.value())));
            return;
        case StepKind::Finish:
            if (auto call = pickOpen(step.choice))
                finish(*call, step.value);
            return;
        case StepKind::FinishLate:
            if (!m_sentAttempts.empty()) {
                const auto& [call, attempt] = m_sentAttempts[step.choice % m_sentAttempts.size()];
                m_histories.at(call).wholeAnswers.insert(attempt);
                check(m_rig.finish(call.value(), attempt.value(), AttemptReport {}));
            }
            return;
        case StepKind::CallerGone:
            if (auto call = pickOpen(step.choice)) {
                m_histories[*call].isCallerGone = true;
                check(m_rig.callerGone(call->value()));
                m_histories[*call].hasEnded = true;
            }
            return;
        case StepKind::Advance:
            advance(Duration(1000 * (step.value % 500)));
            return;
        case StepKind::Pause:
            // Simulates a paused process: its timers fire late, after the next input.
            m_rig.now += Duration(1000 * (step.value % 1500));
            m_resumedAt = m_rig.now;
            return;
        case StepKind::ChangeBackends:
            m_rig.router.backends.clear();
            for (uint32_t number = 0; number < step.value % 5; ++number)
                m_rig.router.backends.emplace_back(std::string(1, static_cast<char>('a' + number)));
            return;
        case StepKind::Leave:
            // Rare, so that most schedules contain calls after it.
            if (step.choice % 16 == 0)
                check(m_rig.turn([&](Turn& turn) { m_rig.calls.leave(turn); }));
            return;
        case StepKind::Crash:
            m_rig.turn([&](Turn& turn) { m_rig.crashGuard.apply(turn, { { 1, 1 + step.choice % 5 }, BackendId("x"), Incarnation(step.value) }); });
            return;
        }
    }

    // Advances the clock beyond every deadline; afterwards every call must have ended.
    void finishAll()
    {
        advance(1min);
        RC_ASSERT(m_rig.calls.inFlight() == 0u);
        RC_ASSERT(m_rig.observer.started == m_rig.observer.finished);
        for (const auto& [call, history] : m_histories)
            RC_ASSERT(history.hasEnded);
        for (const auto& [backend, outstanding] : m_rig.router.outstanding)
            RC_ASSERT(outstanding == 0);
        RC_ASSERT(!m_rig.calls.nextTimer());
    }

private:
    // Stops at each timer, so that its effects are checked at the time when it fires.
    void advance(Duration duration)
    {
        auto end = m_rig.now + duration;
        while (m_rig.calls.nextTimer() && *m_rig.calls.nextTimer() <= end)
            check(m_rig.advance(std::max<Duration>(0s, *m_rig.calls.nextTimer() - m_rig.now)));
        check(m_rig.advance(end - m_rig.now));
    }

    void arrive(const Step& step)
    {
        constexpr std::array methods { Method::Get, Method::Post };
        auto arrival = CallRig::arrivalOf(++m_lastCall, methods[step.choice % methods.size()]);
        arrival.request.remaining = Duration(1000 * (step.value % 3000));
        arrival.request.fingerprint = { 1, 1 + step.value % 5 };
        auto& history = m_histories[arrival.call];
        history.isIdempotent = arrival.request.method == Method::Get;
        history.deadline = m_rig.now + *arrival.request.remaining;
        check(m_rig.arrive(arrival));
    }

    std::optional<CallId> pickOpen(uint32_t choice) const
    {
        std::vector<CallId> open;
        for (const auto& [call, history] : m_histories) {
            if (!history.hasEnded)
                open.push_back(call);
        }
        if (open.empty())
            return std::nullopt;
        return open[choice % open.size()];
    }

    void finish(CallId call, uint32_t value)
    {
        auto& history = m_histories[call];
        const auto& results = EnumNames<AttemptResult>::entries;
        AttemptReport report;
        report.result = results[value % results.size()].value;
        report.status = value % 3 == 0 ? 503 : 200;
        report.outcomeKeeper = InstanceId("keeper");
        bool isNotRun = report.result == AttemptResult::RefusedNotRun || report.result == AttemptResult::NotSent;
        if (isNotRun && !history.isReplay)
            --history.mayHaveRun;
        auto attempt = *history.attempt;
        history.attempt.reset();
        if (report.result == AttemptResult::Answered)
            history.wholeAnswers.insert(attempt);
        auto effects = m_rig.finish(call.value(), attempt.value(), report);
        bool isDelivered = !effectsOf<AnswerCall>(effects).empty();
        RC_ASSERT(report.result != AttemptResult::Answered || report.status != 200 || isDelivered);
        check(effects);
    }

    void check(const EffectList& effects)
    {
        for (const auto& effect : effects) {
            if (const auto* send = std::get_if<ForwardCall>(&effect))
                checkSend(*send);
            if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
                // A delivered answer must have arrived completely and belong to an attempt of this call.
                RC_ASSERT(m_histories.at(answer->call).wholeAnswers.contains(answer->attempt));
                checkEnd(answer->call);
            }
            if (const auto* refusal = std::get_if<RefuseCall>(&effect))
                checkRefusal(*refusal);
            if (const auto* cancellation = std::get_if<CancelAttempt>(&effect))
                checkCancellation(*cancellation);
        }
    }

    void checkSend(const ForwardCall& send)
    {
        auto& history = m_histories.at(send.call);
        RC_ASSERT(!history.hasEnded);
        RC_ASSERT(!history.attempt);
        RC_ASSERT(send.remaining > Duration::zero());
        RC_ASSERT(m_rig.now + send.remaining <= history.deadline);
        RC_ASSERT(send.isIdempotent == history.isIdempotent);
        history.attempt = send.attempt;
        history.isReplay = send.isReplayOnly;
        m_sentAttempts.emplace_back(send.call, send.attempt);
        if (send.isReplayOnly)
            return;
        RC_ASSERT(++history.sends <= Profile {}.retries.maximumAttempts);
        ++history.mayHaveRun;
        RC_ASSERT(history.isIdempotent || history.mayHaveRun == 1u);
    }

    void checkRefusal(const RefuseCall& refusal)
    {
        if (refusal.outcome == Outcome::NotRun)
            RC_ASSERT(m_histories.at(refusal.call).mayHaveRun == 0u);
        RC_ASSERT(refusal.outcome != Outcome::Answered);
        RC_ASSERT(refusal.reason != Reason::None);
        checkEnd(refusal.call);
    }

    void checkCancellation(const CancelAttempt& cancellation)
    {
        auto& history = m_histories.at(cancellation.call);
        RC_ASSERT(history.attempt == cancellation.attempt);
        history.attempt.reset();
    }

    void checkEnd(CallId call)
    {
        auto& history = m_histories.at(call);
        RC_ASSERT(!history.hasEnded);
        RC_ASSERT(!history.isCallerGone);
        RC_ASSERT(m_rig.now <= std::max(history.deadline, m_resumedAt) || history.sends == 0);
        history.hasEnded = true;
    }

    CallRig m_rig;
    // End of the last simulated pause of the process.
    Instant m_resumedAt;
    uint64_t m_lastCall { 0 };
    std::map<CallId, CallHistory> m_histories;
    std::vector<std::pair<CallId, AttemptId>> m_sentAttempts;
};

}

template <>
struct rc::Arbitrary<Step> {
    static rc::Gen<Step> arbitrary()
    {
        auto kind = rc::gen::weightedElement<StepKind>({ { 8, StepKind::Arrive }, { 1, StepKind::ArriveAgain }, { 12, StepKind::Finish },
            { 2, StepKind::FinishLate }, { 2, StepKind::CallerGone }, { 3, StepKind::Advance }, { 1, StepKind::Pause }, { 2, StepKind::ChangeBackends }, { 1, StepKind::Crash }, { 1, StepKind::Leave } });
        return scheduleStep(kind);
    }
};

RC_GTEST_PROP(CallTableProperties, EachCallerGetsOneCorrectOutcomeForAnySchedule, (const std::vector<Step>& steps))
{
    CallChecker checker;
    std::ranges::for_each(steps, [&](const Step& step) { checker.perform(step); });
    checker.finishAll();
}
