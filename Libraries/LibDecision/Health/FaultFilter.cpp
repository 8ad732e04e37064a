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
    // Shares of requests that end in each way, by state. At a healthy backend server about one in eighty fails.
    struct Likelihood {
        double ifHealthy { 0 };
        double ifFaulty { 0 };
    };
    constexpr Likelihood failedLikelihood { .ifHealthy = 0.0125, .ifFaulty = 0.5 };
    constexpr Likelihood cutLikelihood { .ifHealthy = 0.002, .ifFaulty = 0.3 };
    constexpr Likelihood succeededLikelihood {
        .ifHealthy = 1 - failedLikelihood.ifHealthy - cutLikelihood.ifHealthy,
        .ifFaulty = 1 - failedLikelihood.ifFaulty - cutLikelihood.ifFaulty,
    };
    // Keeps the probability away from 0 and 1, so that a different outcome still has an effect after a long run of the
    // same one.
    constexpr double minimumProbability = 1e-4;

    Likelihood likelihoodOf(FaultEvidence evidence)
    {
        switch (evidence) {
        case FaultEvidence::Succeeded:
            return succeededLikelihood;
        case FaultEvidence::Failed:
            return failedLikelihood;
        case FaultEvidence::Cut:
            return cutLikelihood;
        }
        return succeededLikelihood;
    }

}

double FaultFilter::decayed(double probability, Duration age)
{
    auto seconds = std::max(0.0, std::chrono::duration<double>(age).count());
    return faultyShareOfTime + (probability - faultyShareOfTime) * std::exp(-(onsetRate + recoveryRate) * seconds);
}

void FaultFilter::observe(FaultEvidence evidence, Instant now)
{
    auto before = probability(now);
    auto likelihood = likelihoodOf(evidence);
    auto faulty = before * likelihood.ifFaulty;
    m_probability = std::clamp(faulty / (faulty + (1 - before) * likelihood.ifHealthy), minimumProbability, 1 - minimumProbability);
    m_observedAt = now;
    m_hasFailedLast = evidence != FaultEvidence::Succeeded;
}

}
