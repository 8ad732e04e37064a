#include <LibDecision/Health/FaultFilter.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    // The users' pages: at any time some backend servers fail a portion of their requests for several seconds.
    constexpr double meanSecondsHealthy = 30;
    constexpr double meanSecondsSick = 4;
    constexpr double onsetRate = 1 / meanSecondsHealthy;
    constexpr double recoveryRate = 1 / meanSecondsSick;
    constexpr double sickShareOfTime = onsetRate / (onsetRate + recoveryRate);
    // Shares of requests that fail. About one in eighty fails at a healthy backend server.
    constexpr double healthyFailureShare = 0.0125;
    constexpr double sickFailureShare = 0.6;
    // Keeps a long run of the same outcome from making the next one count for nothing.
    constexpr double smallest = 1e-4;

}

double FaultFilter::decayed(double probability, Duration age)
{
    auto seconds = std::max(0.0, std::chrono::duration<double>(age).count());
    return sickShareOfTime + (probability - sickShareOfTime) * std::exp(-(onsetRate + recoveryRate) * seconds);
}

void FaultFilter::observe(bool hasFailed, Instant now)
{
    auto before = probability(now);
    auto ifSick = hasFailed ? sickFailureShare : 1 - sickFailureShare;
    auto ifHealthy = hasFailed ? healthyFailureShare : 1 - healthyFailureShare;
    auto sick = before * ifSick;
    m_probability = std::clamp(sick / (sick + (1 - before) * ifHealthy), smallest, 1 - smallest);
    m_observedAt = now;
}

}
