#include <LibDecision/Calls/AttemptVerdict.h>

namespace Decision {

namespace {

    bool isPermanent(Reason reason)
    {
        switch (reason) {
        case Reason::BodyTooLarge:
        case Reason::BadRequest:
        case Reason::DeadlineExceeded:
        case Reason::KeyAlreadyUsed:
        case Reason::CrashSuspected:
            return true;
        default:
            return false;
        }
    }

}

bool isServerError(uint16_t status)
{
    // https://www.rfc-editor.org/rfc/rfc9110#section-15.6
    constexpr uint16_t firstServerError = 500;
    constexpr uint16_t notImplemented = 501;
    return status >= firstServerError && status != notImplemented;
}

AttemptVerdict verdictOf(const AttemptReport& report)
{
    switch (report.result) {
    case AttemptResult::Answered:
        return isServerError(report.status) ? AttemptVerdict::ServerFailed : AttemptVerdict::Deliver;
    case AttemptResult::RefusedNotRun:
    case AttemptResult::NotSent:
        return isPermanent(report.reason) ? AttemptVerdict::NotRunPermanent : AttemptVerdict::NotRun;
    case AttemptResult::Redirected:
        return AttemptVerdict::Redirect;
    case AttemptResult::ConnectionLost:
    case AttemptResult::Malformed:
    case AttemptResult::TimedOut:
    case AttemptResult::Stalled:
    case AttemptResult::OutcomeUnknown:
    case AttemptResult::Cancelled:
        return AttemptVerdict::MayHaveRun;
    }
    return AttemptVerdict::MayHaveRun;
}

Reason reasonOf(const AttemptReport& report)
{
    if (report.reason != Reason::None)
        return report.reason;
    switch (report.result) {
    case AttemptResult::Answered:
    case AttemptResult::Redirected:
        return Reason::None;
    case AttemptResult::RefusedNotRun:
        return Reason::Overloaded;
    case AttemptResult::NotSent:
    case AttemptResult::OutcomeUnknown:
        return Reason::PeerUnreachable;
    case AttemptResult::ConnectionLost:
        return Reason::AnswerCut;
    case AttemptResult::Malformed:
        return Reason::AnswerMalformed;
    case AttemptResult::TimedOut:
        return Reason::DeadlineExceeded;
    case AttemptResult::Stalled:
        return Reason::NoProgress;
    case AttemptResult::Cancelled:
        return Reason::CallerGone;
    }
    return Reason::None;
}

bool isRefusalByBackend(Reason reason) { return reason == Reason::BackendShedding || reason == Reason::BackendMisdirected; }

bool isTransient(Reason reason)
{
    switch (reason) {
    case Reason::NoBackend:
    case Reason::NotConfigured:
    case Reason::RouteUnusable:
    case Reason::ParentUnknown:
    case Reason::TenantUnusable:
    case Reason::ConfigurationUnproven:
    case Reason::QuotaUnavailable:
    case Reason::QueueFull:
    case Reason::FairShareExceeded:
    case Reason::BackendDraining:
    case Reason::BackendShedding:
    case Reason::BackendMisdirected:
    case Reason::BackendSuspected:
    case Reason::BackendBusy:
    case Reason::BackendCold:
    case Reason::BackendLimited:
    case Reason::ClaimUnavailable:
    case Reason::ProcessLeaving:
    case Reason::Overloaded:
        return true;
    default:
        return false;
    }
}

}
