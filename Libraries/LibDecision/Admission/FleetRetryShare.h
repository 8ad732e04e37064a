#pragma once

#include <LibDecision/Calls/TokenBucket.h>
#include <LibModel/Profile.h>

#include <cstddef>

namespace Decision {

// One sidecar's share of the fleet-wide limit on retries that arrive at a service's backend servers. A retry is any
// arrival of a request beyond its first.
//
// Each sidecar of the service has an equal share. In any window, the bursts, reserves, refills and deposits of all
// shares together stay below the limit. Sidecars hold the shares rather than ingresses because a retry can try several
// sidecars until one has retries left, so that no share stays unused while an ingress runs out.
class FleetRetryShare {
public:
    // Fractions of RetryPolicy::fleetExtra that may accumulate, that are refilled per window, and that are reserved for
    // arrivals whose refusal would waste a run that is in progress. Their sum is below 1.
    static constexpr double burstFraction = 0.45;
    static constexpr double refillFraction = 0.35;
    static constexpr double reserveFraction = 0.15;
    // Fraction of RetryPolicy::budget that a first arrival deposits. The rest is for processes whose views of the fleet
    // differ.
    static constexpr double depositFraction = 0.85;

    // Time after the start of its process until the share fills. Before, the process may not know the other sidecars, and
    // only first arrivals add to the share.
    static constexpr Duration settlingTime = 3s;

    // The share of a process starts with its reserve used up, because its predecessor may have used it.
    explicit FleetRetryShare(Instant startedAt);

    // In all functions, sidecars is the number of the service's backend servers, which have one sidecar each. The largest
    // number of the last window counts, since those that left may have used their shares.
    void countFirstArrival(const RetryPolicy&, size_t sidecars, Instant now);
    bool hasRetryLeft(const RetryPolicy&, size_t sidecars, Instant now);
    // Returns true if the reserve allows one more arrival, although no retry may be left.
    bool hasReserveLeft(const RetryPolicy&, size_t sidecars, Instant now);
    // Deducts a retry, which a function above must have allowed.
    void spend(const RetryPolicy&, size_t sidecars, Instant now);
    // Returns a deducted retry that didn't reach the backend server.
    void refund() { m_tokens.deposit(1); }
    // Retries left as of the last call of another function; negative if more were deducted than there were.
    double left() const { return m_tokens.tokens(); }

private:
    // Refills the share and returns the sidecar's equal part of RetryPolicy::fleetExtra.
    double refill(const RetryPolicy&, size_t sidecars, Instant now);
    size_t largestInWindow(const RetryPolicy&, size_t sidecars, Instant now);

    TokenBucket m_tokens { 0 };
    Instant m_settlesAt;
    bool m_isSettled { false };
    // Largest numbers of sidecars since this instant, and in the window before it.
    Instant m_countedSince;
    size_t m_largest { 0 };
    size_t m_largestBefore { 0 };
};

}
