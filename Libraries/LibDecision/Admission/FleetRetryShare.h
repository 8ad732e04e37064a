#pragma once

#include <LibDecision/Calls/TokenBucket.h>
#include <LibModel/Profile.h>

#include <cstddef>

namespace Decision {

// One sidecar's part of the arrivals that a service's backend servers may get beyond the first of each request.
//
// The bound holds for the whole fleet. Each sidecar of the service has an equal part: what all may save up, what fills
// up with time and what first arrivals bring stay below the bound together, in any span of the window. The parts stand
// at the sidecars and not at the ingresses, because a retry may ask several sidecars until one has some left: no part
// lies idle while another ingress has nothing.
class FleetRetryShare {
public:
    // Parts of the fleet's extra retries that may be saved up, and that come with time. Both together stay below one.
    static constexpr double savedShare = 0.45;
    static constexpr double flowingShare = 0.35;
    // Part of the share of first arrivals that is used. The rest is left for calls that repeated runs make before they
    // are known as such, and for views of the fleet that differ.
    static constexpr double usedShare = 0.85;

    // The number of sidecars counts the service's backend servers.
    void countFirstArrival(const RetryPolicy&, size_t sidecars, Instant now);
    bool hasLeft(const RetryPolicy&, size_t sidecars, Instant now);
    // Counts a retry that happens, whether the part has it left or not. What is overdrawn is paid back first.
    void spend(const RetryPolicy&, size_t sidecars, Instant now);
    // Takes a spent retry back that came to nothing.
    void giveBack() { m_tokens.deposit(1); }

private:
    void fill(const RetryPolicy&, size_t sidecars, Instant now);

    TokenBucket m_tokens { 0 };
};

}
