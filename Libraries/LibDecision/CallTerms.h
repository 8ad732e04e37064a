#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>

namespace Decision {

using namespace Model;

// How one request is handled, as configured by its route or by its service's profile.
struct CallTerms {
    // Name of the route; empty if the terms come from the profile.
    std::string route;
    // Whether the request may run more than once.
    bool isIdempotent { false };
    // Upper bound on the request's deadline.
    Duration timeout { 0 };
    // Target for the answer time; a later answer is worth less to the caller.
    Duration latencyObjective { 0 };
    // 0 is the highest priority.
    uint32_t priority { 0 };
    // Number of backend servers that the request may be sent to.
    uint32_t maximumAttempts { 1 };
    // True for a call made by a run that isn't known to be a request's first: its own first arrival counts as a retry.
    bool isCountedAsRetry { false };
    // The tenant whose API key the request carries; empty if it needs none.
    AccountId tenant;

    bool operator==(const CallTerms&) const = default;
};

}
