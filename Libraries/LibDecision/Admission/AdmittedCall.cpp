#include <LibDecision/Admission/AdmittedCall.h>

namespace Decision {

namespace {

    Reason reasonOr(const RunReport& report, Reason fallback)
    {
        return report.reason == Reason::None ? fallback : report.reason;
    }

}

Verdict verdictOf(const RunReport& report)
{
    switch (report.result) {
    case AttemptResult::Answered:
        if (report.reason == Reason::BackendShedding)
            return { Outcome::NotRun, Reason::BackendShedding };
        return { Outcome::Answered, Reason::None };
    case AttemptResult::RefusedNotRun:
        return { Outcome::NotRun, reasonOr(report, Reason::BackendShedding) };
    case AttemptResult::NotSent:
        return { Outcome::NotRun, reasonOr(report, Reason::ConnectFailed) };
    case AttemptResult::ConnectionLost:
        return { Outcome::Unknown, reasonOr(report, Reason::AnswerCut) };
    case AttemptResult::Malformed:
        return { Outcome::Unknown, reasonOr(report, Reason::AnswerMalformed) };
    case AttemptResult::TimedOut:
        return { Outcome::Unknown, reasonOr(report, Reason::DeadlineExceeded) };
    case AttemptResult::Stalled:
        return { Outcome::Unknown, reasonOr(report, Reason::NoProgress) };
    case AttemptResult::Cancelled:
        return { Outcome::Unknown, reasonOr(report, Reason::CallerGone) };
    case AttemptResult::OutcomeUnknown:
    case AttemptResult::Redirected:
        return { Outcome::Unknown, reasonOr(report, Reason::PeerUnreachable) };
    }
    return { Outcome::Unknown, Reason::None };
}

}
