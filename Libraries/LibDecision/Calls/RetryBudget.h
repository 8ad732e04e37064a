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
    // The last send is still under way and is given up for this one.
    Replacement,
};

// Bounds the retries of one service at one process. Reruns take from a budget that grows with first attempts by the
// profile's share; reroutes, which cost no backend server anything, take from a separate larger allowance, so that a
// drain or a full queue doesn't use up what real failures need.
//
// Where the profile bounds the retries of the whole fleet, reruns are counted by the sidecars instead; see
// FleetRetryShare. Only replacements take from a small allowance here, since they can't be refused once the send before
// is given up.
class RetryBudget {
public:
    // Reroutes per first attempt.
    static constexpr double rerouteShare = 0.5;
    // Reroutes per second that are allowed even with little traffic.
    static constexpr double reroutesPerSecond = 10;
    // Most retries of one kind that may be saved up.
    static constexpr double burst = 10;
    // Part of the fleet's share of first attempts that may be replacements, and how many of them may be saved up. The
    // sidecars count them against their parts, so that they leave less for other retries.
    static constexpr double replacementShare = 0.3;
    static constexpr double replacementBurst = 1;

    void countFirstAttempt(const RetryPolicy&, Instant now);
    // Takes one retry from the allowance; gives false, and takes nothing, if none is left.
    bool take(RetryKind, const RetryPolicy&, Instant now);

private:
    void refill(const RetryPolicy&, Instant now);

    TokenBucket m_reruns { burst };
    TokenBucket m_reroutes { burst };
    TokenBucket m_replacements { replacementBurst };
};

}
