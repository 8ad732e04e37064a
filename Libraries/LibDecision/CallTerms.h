#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>

namespace Decision {

using namespace Model;

// How one request is treated, as its route or its service's profile says.
struct CallTerms {
    // Name of the route; empty if the profile decides.
    std::string route;
    // Whether it may run more than once.
    bool isIdempotent { false };
    // Bound on its deadline.
    Duration timeout { 0 };
    // A later answer is worth less to the caller.
    Duration latencyObjective { 0 };
    // 0 goes first.
    uint32_t priority { 0 };
    // Backend servers that it may be sent to.
    uint32_t maximumAttempts { 1 };
    // True for a call that a retried run makes: its first arrival counts as a retry.
    bool isCountedAsRetry { false };

    bool operator==(const CallTerms&) const = default;
};

}
