#include <Services/fulmard/ClientOutcome.h>

#include <Services/fulmard/ProblemDetails.h>

#include <algorithm>
#include <array>
#include <charconv>

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
        // It was this process that gave up, so it is no evidence against the peer.
        StatusTranslation { ClientStatus::NoMemory, AttemptResult::Cancelled, Reason::Overloaded },
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

    // Gives nothing for whatever isn't a decimal number, or is too large for one.
    std::optional<double> readDecimal(std::string_view text)
    {
        double number = 0;
        bool startsWithDigit = !text.empty() && text.front() >= '0' && text.front() <= '9';
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        bool isWhole = error == std::errc() && end == text.data() + text.size();
        return startsWithDigit && isWhole ? std::optional(number) : std::nullopt;
    }

    // Of several limits the lowest counts, and those that can't be read don't.
    std::optional<double> lowestLimit(const Transport::HeaderList& headers, const std::string& name)
    {
        std::optional<double> lowest;
        for (const auto& header : headers) {
            auto limit = header.name == name ? readDecimal(header.value) : std::nullopt;
            if (limit && (!lowest || *limit < *lowest))
                lowest = limit;
        }
        return lowest;
    }

    // An answer without the request's id may be older than others, so that it doesn't show that a limit has ended.
    std::optional<Decision::BackendNotice> noticeIn(const Transport::HeaderList& headers, const EdgeSettings& edge)
    {
        constexpr std::string_view yes = "1";
        Decision::BackendNotice notice;
        notice.requestLimit = lowestLimit(headers, edge.requestLimit);
        notice.isLeaving = Transport::findHeader(headers, edge.leaving) == yes;
        bool namesUnreadableLimit = !notice.requestLimit && Transport::findHeader(headers, edge.requestLimit);
        bool isCurrent = !edge.hasRequestIdInAnswers || Transport::findHeader(headers, edge.requestId);
        bool saysNothing = !notice.requestLimit && !notice.isLeaving && (namesUnreadableLimit || !isCurrent);
        return saysNothing ? std::nullopt : std::optional(notice);
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
        return report;
    }
    report.notice = noticeIn(result.response.headers, edge);
    if (isRefusal) {
        report.result = AttemptResult::RefusedNotRun;
        report.reason = isMisdirected(result.response) ? Reason::BackendMisdirected : Reason::BackendShedding;
    } else if (wouldPromise(report.status, edge)) {
        report.result = AttemptResult::OutcomeUnknown;
        report.reason = Reason::AnswerMalformed;
    }
    return report;
}

}
