#pragma once

#include <LibModel/Outcome.h>
#include <LibModel/Settings.h>
#include <LibModel/Time.h>
#include <LibTransport/HttpMessage.h>

#include <string>

namespace Fulmard {

using namespace Model;

// What a caller is told when it doesn't get a backend server's answer.
struct Problem {
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::string step;
    std::string peer;
    // A hint when to try again; zero if there is none.
    Duration retryAfter { 0 };
    std::string requestId;
};

// Headers of every answer to a caller that tell its outcome.
namespace HeaderName {
    constexpr auto outcome = "fulmar-outcome";
    constexpr auto reason = "fulmar-reason";
    constexpr auto step = "fulmar-step";
    constexpr auto peer = "fulmar-peer";
    constexpr auto requestId = "fulmar-request-id";
}

// Gives the HTTP status that fits a refusal or failure.
uint16_t statusOf(Outcome, Reason, StatusScheme = StatusScheme::ByReason);

// Makes an answer of one line of text, for peers and operators.
Transport::HttpResponse makePlainResponse(uint16_t status, const std::string& text);

// Makes a problem-details answer. https://www.rfc-editor.org/rfc/rfc9457
Transport::HttpResponse makeProblemResponse(const Problem&, StatusScheme = StatusScheme::ByReason);

}
