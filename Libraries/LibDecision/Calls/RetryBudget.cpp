#include <LibDecision/Calls/RetryBudget.h>

namespace Decision {

void RetryBudget::countFirstAttempt(const RetryPolicy& policy, Instant now)
{
    refill(policy, now);
    m_reruns.deposit(policy.budget);
    m_reroutes.deposit(rerouteShare);
    m_replacements.deposit(replacementShare * policy.budget);
}

bool RetryBudget::take(RetryKind kind, const RetryPolicy& policy, Instant now)
{
    refill(policy, now);
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

void RetryBudget::refill(const RetryPolicy& policy, Instant now)
{
    m_reroutes.refill(reroutesPerSecond, now);
    m_reruns.refill(policy.minimumPerSecond, now);
}

}
