#include <Services/fulmard/ProblemDetails.h>

#include <LibControl/JsonText.h>
#include <LibModel/NumberText.h>

#include <algorithm>
#include <array>
#include <json/value.h>

namespace Fulmard {

namespace {

    struct ReasonStatus {
        Reason reason;
        uint16_t status;
    };

    constexpr uint16_t serviceUnavailable = 503;
    constexpr uint16_t badGateway = 502;
    constexpr uint16_t unauthorized = 401;
    constexpr uint16_t tooManyRequests = 429;

    // Reasons with a status of their own; the others follow the outcome.
    constexpr std::array reasonStatuses {
        ReasonStatus { Reason::NoSuchService, 404 },
        ReasonStatus { Reason::NoRoute, 404 },
        ReasonStatus { Reason::UnknownKey, unauthorized },
        ReasonStatus { Reason::BodyTooLarge, 413 },
        ReasonStatus { Reason::BadRequest, 400 },
        ReasonStatus { Reason::DeadlineExceeded, 504 },
        ReasonStatus { Reason::NoProgress, 504 },
        ReasonStatus { Reason::FairShareExceeded, tooManyRequests },
        ReasonStatus { Reason::QuotaExceeded, tooManyRequests },
        ReasonStatus { Reason::KeyInProgress, 409 },
        ReasonStatus { Reason::KeyAlreadyUsed, 422 },
        ReasonStatus { Reason::KeyOutcomeUnknown, 409 },
        ReasonStatus { Reason::CrashSuspected, 422 },
    };

    // What the caller itself did wrong has its own status whatever the scheme: the fleet isn't at fault.
    constexpr std::array callerFaults { Reason::NoRoute, Reason::UnknownKey, Reason::QuotaExceeded, Reason::BodyTooLarge, Reason::BadRequest };

    uint16_t promiseOf(Outcome outcome, Reason reason)
    {
        constexpr uint16_t gatewayTimeout = 504;
        if (outcome == Outcome::NotRun)
            return serviceUnavailable;
        bool isLate = reason == Reason::DeadlineExceeded || reason == Reason::NoProgress;
        return isLate ? gatewayTimeout : badGateway;
    }

    // Callers who go by promises read fractions of a second, which keeps short waits short.
    std::string retryAfterText(Duration delay, StatusScheme scheme)
    {
        if (scheme == StatusScheme::ByReason)
            return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
        return formatNumber(std::chrono::duration<double>(std::chrono::ceil<std::chrono::milliseconds>(delay)).count());
    }

    constexpr std::string_view titleOf(Outcome outcome)
    {
        switch (outcome) {
        case Outcome::NotRun:
            return "The request was not run";
        case Outcome::Unknown:
            return "The request may have run";
        case Outcome::Answered:
            return "The request was answered";
        }
        return "";
    }

}

uint16_t statusOf(Outcome outcome, Reason reason, StatusScheme scheme)
{
    if (scheme == StatusScheme::ByPromise && std::ranges::find(callerFaults, reason) == callerFaults.end())
        return promiseOf(outcome, reason);
    auto entry = std::ranges::find(reasonStatuses, reason, &ReasonStatus::reason);
    if (entry != reasonStatuses.end())
        return entry->status;
    return outcome == Outcome::NotRun ? serviceUnavailable : badGateway;
}

Transport::HttpResponse makePlainResponse(uint16_t status, const std::string& text)
{
    return { status, { { "content-type", "text/plain; charset=utf-8" } }, text + "\n" };
}

Transport::HttpResponse makeProblemResponse(const Problem& problem, StatusScheme scheme)
{
    auto status = statusOf(problem.outcome, problem.reason, scheme);
    Json::Value body;
    body["type"] = "urn:fulmarsail:problem:" + std::string(nameOf(problem.reason));
    body["title"] = std::string(titleOf(problem.outcome));
    body["status"] = status;
    body["outcome"] = std::string(nameOf(problem.outcome));
    body["reason"] = std::string(nameOf(problem.reason));
    body["step"] = problem.step;
    body["peer"] = problem.peer;
    if (!problem.requestId.empty())
        body["instance"] = "urn:fulmarsail:request:" + problem.requestId;

    Transport::HttpResponse response;
    response.status = status;
    response.body = Control::formatJson(body);
    response.headers = {
        { "content-type", "application/problem+json" },
        { HeaderName::outcome, std::string(nameOf(problem.outcome)) },
        { HeaderName::reason, std::string(nameOf(problem.reason)) },
        { HeaderName::step, problem.step },
        { HeaderName::peer, problem.peer },
    };
    // https://www.rfc-editor.org/rfc/rfc9110#section-11.6.1
    if (status == unauthorized)
        response.headers.push_back({ "www-authenticate", "Bearer" });
    if (!problem.requestId.empty())
        response.headers.push_back({ HeaderName::requestId, problem.requestId });
    if (problem.retryAfter > Duration::zero())
        response.headers.push_back({ "retry-after", retryAfterText(problem.retryAfter, scheme) });
    return response;
}

}
