#include <LibDecision/Calls/RetryBudget.h>

namespace Decision {

void RetryBudget::countFirstAttempt(const RetryPolicy& policy, Instant now)
{
    fill(policy, now);
    m_reruns.deposit(policy.budget);
    m_reroutes.deposit(rerouteShare);
    m_replacements.deposit(replacementShare * policy.budget);
}

bool RetryBudget::take(RetryKind kind, const RetryPolicy& policy, Instant now)
{
    fill(policy, now);
    bool isFleetBound = policy.fleetExtra > 0;
    if (kind == RetryKind::Rerun && isFleetBound)
        return true;
    auto& bucket = kind == RetryKind::Reroute ? m_reroutes : isFleetBound ? m_replacements
                                                                          : m_reruns;
    if (!bucket.hasToken())
        return false;
    bucket.take();
    return true;
}

void RetryBudget::fill(const RetryPolicy& policy, Instant now)
{
    m_reroutes.fill(reroutesPerSecond, now);
    m_reruns.fill(policy.minimumPerSecond, now);
}

}
