#pragma once

#include <LibDecision/Attempt.h>

namespace Decision {

// Consequence of an attempt's result for the caller's request.
enum class AttemptVerdict {
    // A complete answer that can be delivered.
    Deliver,
    // A complete answer with a server error status; another backend server may succeed.
    ServerFailed,
    // Definitely not run; may be sent to another backend server.
    NotRun,
    // Definitely not run, and every other backend server would refuse it as well.
    NotRunPermanent,
    // May have run.
    MayHaveRun,
    // Another process keeps the answer of the first request with the same idempotency key.
    Redirect,
};

// Returns true for a 5xx status with which another backend server may succeed, which excludes 501 (Not Implemented).
bool isServerError(uint16_t status);

AttemptVerdict verdictOf(const AttemptReport&);

// Returns why the attempt failed: the report's reason, or else the one implied by its result.
Reason reasonOf(const AttemptReport&);

// Returns true if a refusal for this reason comes from the backend server itself, so that the request has reached it.
bool isRefusalByBackend(Reason);

// Returns true if the reason is a temporary lack of capacity or configuration, so that a later retry may succeed.
bool isTransient(Reason);

}
