#include <Services/fulmard/ClientOutcome.h>

#include <Services/fulmard/ProblemDetails.h>

#include <array>

namespace Fulmard {

using Decision::AttemptResult;
using Transport::ClientStatus;

namespace {

    struct StatusTranslation {
        ClientStatus status;
        AttemptResult result;
        Reason reason;
    };

    constexpr std::array translations {
        StatusTranslation { ClientStatus::Answered, AttemptResult::Answered, Reason::None },
        StatusTranslation { ClientStatus::NotSent, AttemptResult::NotSent, Reason::ConnectFailed },
        StatusTranslation { ClientStatus::Cut, AttemptResult::ConnectionLost, Reason::AnswerCut },
        StatusTranslation { ClientStatus::Malformed, AttemptResult::Malformed, Reason::AnswerMalformed },
        StatusTranslation { ClientStatus::TimedOut, AttemptResult::TimedOut, Reason::DeadlineExceeded },
        StatusTranslation { ClientStatus::Silent, AttemptResult::Stalled, Reason::NoProgress },
    };

    // https://www.rfc-editor.org/rfc/rfc9110#section-15
    constexpr uint16_t firstSuccess = 200;
    constexpr uint16_t firstRedirection = 300;
    constexpr uint16_t requestTimeout = 408;
    constexpr uint16_t misdirectedRequest = 421;
    constexpr uint16_t tooManyRequests = 429;
    constexpr uint16_t serviceUnavailable = 503;

    const StatusTranslation& translate(ClientStatus status)
    {
        return *std::ranges::find(translations, status, &StatusTranslation::status);
    }

    bool saysNotRun(const Transport::HttpResponse& response, const EdgeSettings& edge)
    {
        auto mark = Transport::findHeader(response.headers, edge.notRun);
        return mark && (edge.notRunValue.empty() || *mark == edge.notRunValue);
    }

    // Callers who go by promises take these statuses for "not run", so a backend server's own ones can't be passed on.
    bool wouldPromise(uint16_t status, const EdgeSettings& edge)
    {
        constexpr std::array promises { requestTimeout, tooManyRequests, serviceUnavailable };
        return edge.statuses == StatusScheme::ByPromise && std::ranges::find(promises, status) != promises.end();
    }

    bool lacksProof(const Transport::HttpResponse& response, const EdgeSettings& edge)
    {
        bool isGood = response.status >= firstSuccess && response.status < firstRedirection;
        return isGood && !edge.answerProof.empty() && !Transport::findHeader(response.headers, edge.answerProof);
    }

    bool isMisdirected(const Transport::HttpResponse& response) { return response.status == misdirectedRequest; }

    bool belongsToAnotherRequest(const Transport::ClientResult& result, const EdgeSettings& edge, const RequestId& request)
    {
        auto id = Transport::findHeader(result.response.headers, edge.requestId);
        if (id)
            return *id != request.value();
        bool isRefusal = isMisdirected(result.response) || saysNotRun(result.response, edge);
        return isRefusal && edge.hasRequestIdInAnswers && !result.wasFreshConnection;
    }

}

AttemptResult attemptResultOf(ClientStatus status)
{
    return translate(status).result;
}

Decision::RunReport runReportOf(const Transport::ClientResult& result, const EdgeSettings& edge, const RequestId& request)
{
    Decision::RunReport report;
    report.result = translate(result.status).result;
    report.reason = translate(result.status).reason;
    report.elapsed = result.elapsed;
    report.wasFreshConnection = result.wasFreshConnection;
    if (result.status != ClientStatus::Answered)
        return report;

    report.status = result.response.status;
    bool isRefusal = isMisdirected(result.response) || saysNotRun(result.response, edge);
    bool isMalformed = belongsToAnotherRequest(result, edge, request) || (!isRefusal && lacksProof(result.response, edge));
    if (isMalformed) {
        report.result = AttemptResult::Malformed;
        report.reason = Reason::AnswerMalformed;
    } else if (isRefusal) {
        report.result = AttemptResult::RefusedNotRun;
        report.reason = isMisdirected(result.response) ? Reason::BackendMisdirected : Reason::BackendShedding;
    } else if (wouldPromise(report.status, edge)) {
        report.result = AttemptResult::OutcomeUnknown;
        report.reason = Reason::AnswerMalformed;
    }
    return report;
}

}
