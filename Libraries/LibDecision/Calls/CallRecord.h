#pragma once

#include <LibDecision/CallTerms.h>
#include <LibDecision/Calls/RequestState.h>
#include <LibDecision/Effect.h>
#include <LibDecision/Message.h>
#include <LibModel/Request.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

// A caller's request from arrival until its outcome is told.
struct CallRecord {
    RequestInfo request;
    RequestState state { RequestState::Routing };
    Instant arrivedAt;
    Instant deadline;
    CallTerms terms;
    // Sends so far.
    uint32_t attempts { 0 };
    // The send that is under way.
    AttemptId attempt;
    Instant attemptStartedAt;
    // What was sent.
    ForwardCall order;
    // Orders that were sent again because the connection was in doubt.
    uint32_t settlements { 0 };
    // Where it went; nothing if only a kept answer was asked for.
    std::optional<BackendRecord> backend;
    std::vector<BackendId> tried;
    // Backend servers whose sidecars refused it lately; they may be asked again after a wait.
    std::vector<BackendId> refusedBy;
    // Refusals by sidecars that used up neither sends nor budget.
    uint32_t reroutes { 0 };
    // True once any send may have run.
    bool mayHaveRun { false };
    // True once any send may have reached a backend server, be it one that rejected it.
    bool mayHaveArrived { false };
    // True if a send was given up for the next one, which must then not be refused for being a retry, until one arrives.
    bool isGivenUpForNext { false };
    // The last send that a backend server answered with an error of its own, and that answer's status. The shell keeps
    // the answer until the request's end.
    std::optional<AttemptId> failedAttempt;
    uint16_t failedStatus { 0 };
    // Sidecars that refused a retry because their part of the fleet's retries was used up.
    uint32_t budgetRefusals { 0 };
    // HTTP status of the last answer; 0 if the last send had none.
    uint16_t lastStatus { 0 };
    // How the last send failed, and where.
    Reason lastReason { Reason::None };
    std::string lastPeer { "local" };

    bool isReplay() const { return !backend; }
};

}
