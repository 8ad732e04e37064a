#include <LibDecision/Calls/RetryBudget.h>

#include <algorithm>

namespace Decision {

void RetryBudget::countFirstAttempt(const RetryPolicy& policy, size_t fleetSize, Instant now)
{
    fill(policy, fleetSize, now);
    m_reruns.deposit(policy.fleetExtra > 0 ? usedShare * policy.budget : policy.budget);
    m_reroutes.deposit(rerouteShare);
}

bool RetryBudget::take(RetryKind kind, const RetryPolicy& policy, size_t fleetSize, Instant now)
{
    fill(policy, fleetSize, now);
    auto& bucket = kind == RetryKind::Rerun ? m_reruns : m_reroutes;
    if (!bucket.hasToken())
        return false;
    bucket.take();
    return true;
}

void RetryBudget::fill(const RetryPolicy& policy, size_t fleetSize, Instant now)
{
    m_reroutes.fill(reroutesPerSecond, now);
    if (policy.fleetExtra == 0) {
        m_reruns.fill(policy.minimumPerSecond, now);
        return;
    }
    auto part = policy.fleetExtra / static_cast<double>(std::max<size_t>(1, fleetSize));
    m_reruns.setLimit(std::max(1.0, savedShare * part));
    m_reruns.fill(flowingShare * part / std::chrono::duration<double>(policy.window).count(), now);
}

}
