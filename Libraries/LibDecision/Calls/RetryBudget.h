#pragma once

#include <LibDecision/Calls/TokenBucket.h>
#include <LibModel/Profile.h>

namespace Decision {

// Kind of a further attempt, by what it costs the service's backend servers.
enum class RetryKind {
    // A backend server may have worked on the last attempt.
    Rerun,
    // The last attempt was refused before it reached a backend server.
    Reroute,
    // The last attempt is still in progress and is cancelled in favour of this one.
    Replacement,
};

// Limits the retries of one service at one process with token buckets. Each first attempt adds RetryPolicy::budget
// tokens for reruns. Reroutes, which cost no backend server anything, use a separate bucket that fills faster, so that
// a drain or a full queue doesn't use up the tokens that are needed after failures.
//
// If the profile limits the retries of the whole fleet, the sidecars count reruns instead; see FleetRetryShare. Only
// replacements are then limited here as well, by a small bucket, because the work of the previous attempt is lost if
// sidecars refuse them once it is cancelled.
class RetryBudget {
public:
    // Reroute tokens per first attempt.
    static constexpr double rerouteShare = 0.5;
    // Reroute tokens per second, which allow reroutes with little traffic.
    static constexpr double reroutesPerSecond = 10;
    // Capacity of the buckets for reruns and reroutes.
    static constexpr double burst = 10;
    // Fraction of RetryPolicy::budget that each first attempt adds for replacements, and the capacity of their bucket.
    // Sidecars count replacements against their FleetRetryShare, which leaves fewer retries of other kinds.
    static constexpr double replacementShare = 0.3;
    static constexpr double replacementBurst = 1;

    void countFirstAttempt(const RetryPolicy&, Instant now);
    // Takes one token for the retry. Returns false, and takes nothing, if none is left.
    bool take(RetryKind, const RetryPolicy&, Instant now);

private:
    void refill(const RetryPolicy&, Instant now);

    TokenBucket m_reruns { burst };
    TokenBucket m_reroutes { burst };
    TokenBucket m_replacements { replacementBurst };
};

}
