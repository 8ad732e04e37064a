#include <LibDecision/Health/FaultFilter.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    // Users report that at any time some backend servers fail a portion of their requests for several seconds.
    constexpr double meanSecondsHealthy = 30;
    constexpr double meanSecondsFaulty = 4;
    constexpr double onsetRate = 1 / meanSecondsHealthy;
    constexpr double recoveryRate = 1 / meanSecondsFaulty;
    constexpr double faultyShareOfTime = onsetRate / (onsetRate + recoveryRate);
    // Shares of requests that fail in each state. At a healthy backend server about one in eighty fails.
    constexpr double healthyFailureShare = 0.0125;
    constexpr double faultyFailureShare = 0.6;
    // Keeps the probability away from 0 and 1, so that a different outcome still has an effect after a long run of the
    // same one.
    constexpr double minimumProbability = 1e-4;

}

double FaultFilter::decayed(double probability, Duration age)
{
    auto seconds = std::max(0.0, std::chrono::duration<double>(age).count());
    return faultyShareOfTime + (probability - faultyShareOfTime) * std::exp(-(onsetRate + recoveryRate) * seconds);
}

void FaultFilter::observe(bool hasFailed, Instant now)
{
    auto before = probability(now);
    auto likelihoodIfFaulty = hasFailed ? faultyFailureShare : 1 - faultyFailureShare;
    auto likelihoodIfHealthy = hasFailed ? healthyFailureShare : 1 - healthyFailureShare;
    auto faulty = before * likelihoodIfFaulty;
    m_probability = std::clamp(faulty / (faulty + (1 - before) * likelihoodIfHealthy), minimumProbability, 1 - minimumProbability);
    m_observedAt = now;
}

}
