#include <LibDecision/Admission/FleetRetryShare.h>

#include <algorithm>
#include <utility>

namespace Decision {

FleetRetryShare::FleetRetryShare(Instant startedAt)
    : m_settlesAt(startedAt + settlingTime)
    , m_countedSince(startedAt)
{
    m_tokens.startAt(m_settlesAt);
}

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
    auto reserve = m_isSettled ? reserveFraction * sidecarShare : 0;
    return m_tokens.tokens() + reserve >= 1;
}

void FleetRetryShare::spend(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    refill(policy, sidecars, now);
    m_tokens.take();
}

double FleetRetryShare::refill(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    auto sidecarShare = policy.fleetExtra / static_cast<double>(std::max<size_t>(1, largestInWindow(policy, sidecars, now)));
    m_tokens.setLimit(std::max(1.0, burstFraction * sidecarShare));
    if (now >= m_settlesAt && !std::exchange(m_isSettled, true))
        m_tokens.take(reserveFraction * sidecarShare);
    m_tokens.refill(refillFraction * sidecarShare / std::chrono::duration<double>(policy.window).count(), now);
    return sidecarShare;
}

size_t FleetRetryShare::largestInWindow(const RetryPolicy& policy, size_t sidecars, Instant now)
{
    if (now - m_countedSince >= policy.window) {
        bool isWindowBefore = now - m_countedSince < 2 * policy.window;
        m_largestBefore = std::exchange(m_largest, 0);
        if (!isWindowBefore)
            m_largestBefore = 0;
        m_countedSince = now;
    }
    m_largest = std::max(m_largest, sidecars);
    return std::max(m_largest, m_largestBefore);
}

}
