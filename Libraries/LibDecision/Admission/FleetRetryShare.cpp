#include <LibDecision/Admission/FleetRetryShare.h>

#include <algorithm>

namespace Decision {

void FleetRetryShare::countFirstArrival(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    fill(policy, sidecars, now);
    m_tokens.deposit(usedShare * policy.budget);
}

bool FleetRetryShare::hasLeft(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    fill(policy, sidecars, now);
    return m_tokens.hasToken();
}

void FleetRetryShare::spend(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    fill(policy, sidecars, now);
    m_tokens.take();
}

void FleetRetryShare::fill(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    auto part = policy.fleetExtra / static_cast<double>(std::max<size_t>(1, sidecars));
    m_tokens.setLimit(std::max(1.0, savedShare * part));
    m_tokens.fill(flowingShare * part / std::chrono::duration<double>(policy.window).count(), now);
}

}
