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

// State of a caller's request from its arrival until its outcome is sent to the caller.
struct CallRecord {
    RequestInfo request;
    RequestState state { RequestState::Routing };
    Instant arrivedAt;
    Instant deadline;
    CallTerms terms;
    // When the caller may try again, if it is refused for a reason that gives a time; otherwise zero.
    Duration retryAfter { 0 };
    // Number of attempts so far, without those that were rerouted.
    uint32_t attempts { 0 };
    // The current attempt.
    AttemptId attempt;
    Instant attemptStartedAt;
    // True if the request was suspected of crashing backend servers when the attempt began.
    bool isAttemptSuspected { false };
    // The effect that sent the current attempt.
    ForwardCall forwarded;
    // How often the current attempt was sent again because its connection failed or went silent.
    uint32_t resends { 0 };
    // Backend server of the current attempt; nullopt if the attempt only requests a kept answer.
    std::optional<BackendRecord> backend;
    std::vector<BackendId> tried;
    // Backend servers whose sidecars refused the request since it last waited; excluded until it waits again.
    std::vector<BackendId> refusedBy;
    // Attempts refused by sidecars that count neither as attempts nor against the retry budget.
    uint32_t reroutes { 0 };
    // True once any attempt may have run.
    bool mayHaveRun { false };
    // True once any attempt may have reached a backend server, even if it was rejected there.
    bool mayHaveArrived { false };
    // True while the next attempt replaces a cancelled one, until an attempt may have reached a backend server. It
    // may use the sidecars' reserve of retries, since the previous one is gone.
    bool replacesCancelledAttempt { false };
    // The last attempt that a backend server answered with a server error, and the status of that answer. The code that
    // executes effects keeps the answer until the request ends.
    std::optional<AttemptId> failedAttempt;
    uint16_t failedStatus { 0 };
    // Number of sidecars that refused a retry because their share of the fleet's retries was used up.
    uint32_t budgetRefusals { 0 };
    // HTTP status of the last answer; 0 if the last attempt had none.
    uint16_t lastStatus { 0 };
    // Why the last attempt failed, and at which peer.
    Reason lastReason { Reason::None };
    std::string lastPeer { "local" };

    bool isReplay() const { return !backend; }
};

}
