#include <LibDecision/Admission/FleetRetryShare.h>

#include <algorithm>

namespace Decision {

void FleetRetryShare::countFirstArrival(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    refill(policy, sidecars, now);
    m_tokens.deposit(depositFraction * policy.budget);
}

bool FleetRetryShare::hasRetryLeft(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    refill(policy, sidecars, now);
    return m_tokens.hasToken();
}

bool FleetRetryShare::hasReserveLeft(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    auto sidecarShare = refill(policy, sidecars, now);
    return m_tokens.tokens() - 1 >= -reserveFraction * sidecarShare;
}

void FleetRetryShare::spend(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    refill(policy, sidecars, now);
    m_tokens.take();
}

double FleetRetryShare::refill(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    auto sidecarShare = policy.fleetExtra / static_cast<double>(std::max<size_t>(1, sidecars));
    m_tokens.setLimit(std::max(1.0, burstFraction * sidecarShare));
    m_tokens.refill(refillFraction * sidecarShare / std::chrono::duration<double>(policy.window).count(), now);
    return sidecarShare;
}

}
