#pragma once

#include <LibDecision/Calls/TokenBucket.h>
#include <LibModel/Profile.h>

namespace Decision {

// What a further send of a request costs the service's backend servers.
enum class RetryKind {
    // A backend server may have spent work on the last send.
    Rerun,
    // The last send was refused before any backend server saw it.
    Reroute,
};

// Bounds the retries of one service at one process. Reruns take from a budget that grows with first attempts by the
// profile's share; reroutes, which cost no backend server anything, take from a separate larger allowance, so that a
// drain or a full queue doesn't use up what real failures need.
//
// Where the profile bounds the retries of the whole fleet, each process takes its part: what all may save up, what
// fills up with time and what first attempts bring stay below the bound together, in any span of the window.
class RetryBudget {
public:
    // Reroutes per first attempt.
    static constexpr double rerouteShare = 0.5;
    // Reroutes per second that are allowed even with little traffic.
    static constexpr double reroutesPerSecond = 10;
    // Most retries of one kind that may be saved up.
    static constexpr double burst = 10;

    // Parts of the fleet's extra retries that may be saved up, and that come with time. The rest is left for retries
    // that a repeated run causes by calls of its own.
    static constexpr double savedShare = 0.6;
    static constexpr double flowingShare = 0.3;
    // Part of the share of first attempts that is used, for the same reason.
    static constexpr double usedShare = 0.7;

    // The fleet size counts processes.
    void countFirstAttempt(const RetryPolicy&, size_t fleetSize, Instant now);
    // Takes one retry from the allowance; gives false, and takes nothing, if none is left.
    bool take(RetryKind, const RetryPolicy&, size_t fleetSize, Instant now);

private:
    void fill(const RetryPolicy&, size_t fleetSize, Instant now);

    TokenBucket m_reruns { burst };
    TokenBucket m_reroutes { burst };
};

}
