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
    Fleet,
    Crash,
    Leave,
};

using Step = ScheduleStep<StepKind>;

// What the backend servers know of one call.
struct Ledger {
    bool isIdempotent { false };
    Instant deadline;
    uint32_t sends { 0 };
    // Attempts that a backend server may have run.
    uint32_t mayHaveRun { 0 };
    bool hasEnded { false };
    bool isCallerGone { false };
    std::optional<AttemptId> attempt;
    bool isReplay { false };
    // Attempts whose answer arrived whole.
    std::set<AttemptId> wholeAnswers;
};

// Feeds steps to a call table and checks every effect against the ledger.
class CallChecker {
public:
    void take(const Step& step)
    {
        switch (step.kind) {
        case StepKind::Arrive:
            arrive(step);
            return;
        case StepKind::ArriveAgain:
            if (!m_ledgers.empty() && !m_ledgers.rbegin()->second.hasEnded)
                check(m_rig.arrive(CallRig::arrivalOf(m_ledgers.rbegin()->first.value())));
            return;
        case StepKind::Finish:
            if (auto call = pickOpen(step.choice))
                finish(*call, step.value);
            return;
        case StepKind::FinishLate:
            if (!m_given.empty()) {
                const auto& [call, attempt] = m_given[step.choice % m_given.size()];
                m_ledgers.at(call).wholeAnswers.insert(attempt);
                check(m_rig.finish(call.value(), attempt.value(), AttemptReport {}));
            }
            return;
        case StepKind::CallerGone:
            if (auto call = pickOpen(step.choice)) {
                m_ledgers[*call].isCallerGone = true;
                check(m_rig.callerGone(call->value()));
                m_ledgers[*call].hasEnded = true;
            }
            return;
        case StepKind::Advance:
            advance(Duration(1000 * (step.value % 500)));
            return;
        case StepKind::Pause:
            // The process is held up: its timers fire late, after what comes first when it wakes.
            m_rig.now += Duration(1000 * (step.value % 1500));
            m_wokeAt = m_rig.now;
            return;
        case StepKind::Fleet:
            m_rig.router.backends.clear();
            for (uint32_t number = 0; number < step.value % 5; ++number)
                m_rig.router.backends.emplace_back(std::string(1, static_cast<char>('a' + number)));
            return;
        case StepKind::Leave:
            // Seldom, so that most schedules go on.
            if (step.choice % 16 == 0)
                check(m_rig.turn([&](Turn& turn) { m_rig.calls.leave(turn); }));
            return;
        case StepKind::Crash:
            m_rig.turn([&](Turn& turn) { m_rig.crashGuard.apply(turn, { { 1, 1 + step.choice % 5 }, BackendId("x"), Incarnation(step.value) }); });
            return;
        }
    }

    // Once the deadlines have passed nobody waits any more.
    void settle()
    {
        advance(1min);
        RC_ASSERT(m_rig.calls.inFlight() == 0u);
        RC_ASSERT(m_rig.observer.started == m_rig.observer.finished);
        for (const auto& [call, ledger] : m_ledgers)
            RC_ASSERT(ledger.hasEnded);
        for (const auto& [backend, outstanding] : m_rig.router.outstanding)
            RC_ASSERT(outstanding == 0);
        RC_ASSERT(!m_rig.calls.nextTimer());
    }

private:
    // Stops at each timer, so that its effects are checked at their own instant.
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
        auto& ledger = m_ledgers[arrival.call];
        ledger.isIdempotent = arrival.request.method == Method::Get;
        ledger.deadline = m_rig.now + *arrival.request.remaining;
        check(m_rig.arrive(arrival));
    }

    std::optional<CallId> pickOpen(uint32_t choice) const
    {
        std::vector<CallId> open;
        for (const auto& [call, ledger] : m_ledgers) {
            if (!ledger.hasEnded)
                open.push_back(call);
        }
        if (open.empty())
            return std::nullopt;
        return open[choice % open.size()];
    }

    void finish(CallId call, uint32_t value)
    {
        auto& ledger = m_ledgers[call];
        const auto& results = EnumNames<AttemptResult>::entries;
        AttemptReport report;
        report.result = results[value % results.size()].value;
        report.status = value % 3 == 0 ? 503 : 200;
        report.outcomeKeeper = InstanceId("keeper");
        bool isNotRun = report.result == AttemptResult::RefusedNotRun || report.result == AttemptResult::NotSent;
        if (isNotRun && !ledger.isReplay)
            --ledger.mayHaveRun;
        auto attempt = *ledger.attempt;
        ledger.attempt.reset();
        if (report.result == AttemptResult::Answered)
            ledger.wholeAnswers.insert(attempt);
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
                // Only an answer that arrived whole, for this very request, is ever delivered.
                RC_ASSERT(m_ledgers.at(answer->call).wholeAnswers.contains(answer->attempt));
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
        auto& ledger = m_ledgers.at(send.call);
        RC_ASSERT(!ledger.hasEnded);
        RC_ASSERT(!ledger.attempt);
        RC_ASSERT(send.remaining > Duration::zero());
        RC_ASSERT(m_rig.now + send.remaining <= ledger.deadline);
        RC_ASSERT(send.isIdempotent == ledger.isIdempotent);
        ledger.attempt = send.attempt;
        ledger.isReplay = send.isReplayOnly;
        m_given.emplace_back(send.call, send.attempt);
        if (send.isReplayOnly)
            return;
        RC_ASSERT(++ledger.sends <= Profile {}.retries.maximumAttempts);
        ++ledger.mayHaveRun;
        RC_ASSERT(ledger.isIdempotent || ledger.mayHaveRun == 1u);
    }

    void checkRefusal(const RefuseCall& refusal)
    {
        if (refusal.outcome == Outcome::NotRun)
            RC_ASSERT(m_ledgers.at(refusal.call).mayHaveRun == 0u);
        RC_ASSERT(refusal.outcome != Outcome::Answered);
        RC_ASSERT(refusal.reason != Reason::None);
        checkEnd(refusal.call);
    }

    void checkCancellation(const CancelAttempt& cancellation)
    {
        auto& ledger = m_ledgers.at(cancellation.call);
        RC_ASSERT(ledger.attempt == cancellation.attempt);
        ledger.attempt.reset();
    }

    void checkEnd(CallId call)
    {
        auto& ledger = m_ledgers.at(call);
        RC_ASSERT(!ledger.hasEnded);
        RC_ASSERT(!ledger.isCallerGone);
        RC_ASSERT(m_rig.now <= std::max(ledger.deadline, m_wokeAt) || ledger.sends == 0);
        ledger.hasEnded = true;
    }

    CallRig m_rig;
    // The end of the last time that the process was held up.
    Instant m_wokeAt;
    uint64_t m_lastCall { 0 };
    std::map<CallId, Ledger> m_ledgers;
    std::vector<std::pair<CallId, AttemptId>> m_given;
};

}

template <>
struct rc::Arbitrary<Step> {
    static rc::Gen<Step> arbitrary()
    {
        auto kind = rc::gen::weightedElement<StepKind>({ { 8, StepKind::Arrive }, { 1, StepKind::ArriveAgain }, { 12, StepKind::Finish },
            { 2, StepKind::FinishLate }, { 2, StepKind::CallerGone }, { 3, StepKind::Advance }, { 1, StepKind::Pause }, { 2, StepKind::Fleet }, { 1, StepKind::Crash }, { 1, StepKind::Leave } });
        return scheduleStep(kind);
    }
};

RC_GTEST_PROP(CallTableProperties, EachCallerGetsOneTruthfulOutcomeUnderAnySchedule, (const std::vector<Step>& steps))
{
    CallChecker checker;
    std::ranges::for_each(steps, [&](const Step& step) { checker.take(step); });
    checker.settle();
}
