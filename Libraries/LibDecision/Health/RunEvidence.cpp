#include <LibDecision/Health/RunEvidence.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <sstream>

namespace Decision {

namespace {

    // Evidence is capped at this multiple of the threshold, so that it decays soon after a backend server recovers.
    constexpr double maximumStrength = 2;
    // Cap per finished request. A pause of the whole backend server delays several requests at once, so their latencies
    // aren't independent.
    constexpr double maximumSurprisalPerRequest = 5;
    // Share of the latency allowance that is subtracted for an open request. A small share is enough although open
    // requests are evaluated often, because there are never more of them than slots.
    constexpr double openAllowanceShare = 0.25;
    constexpr Duration evaluationPeriod = 50ms;
    // Open requests are first evaluated at the age that this share of requests exceeds.
    constexpr double lateShare = 0.02;
    // The failure share that the test for a high failure share is designed to detect.
    constexpr double highFailureShare = 0.6;
    // If the whole service fails more often than this, failures can't single out a backend server.
    constexpr double highestHealthyShare = 0.5;

    // Log-likelihood ratio of the outcome, in nats, under the faulty failure share against the healthy one.
    double logLikelihoodRatio(bool hasFailed, double healthyShare, double faultyShare)
    {
        return hasFailed ? std::log(faultyShare / healthyShare) : std::log((1 - faultyShare) / (1 - healthyShare));
    }

}

void RunEvidence::started(uint64_t request, Instant now)
{
    m_open.push_back({ request, now });
}

void RunEvidence::finished(uint64_t request, RunOutcome outcome, Duration latency, const RunCriteria& criteria, Instant now)
{
    auto open = std::ranges::find(m_open, request, &OpenRequest::request);
    if (open == m_open.end())
        return;
    bool isFromBeforeRestart = open->startedAt < m_since;
    m_open.erase(open);
    m_lastFinishedAt = now;
    if (isFromBeforeRestart || outcome == RunOutcome::Neutral)
        return;

    decay(now);
    ++m_finished;
    if (outcome == RunOutcome::Succeeded)
        addLatency(latency, false, criteria);
    if (outcome == RunOutcome::Censored)
        addLatency(latency, true, criteria);
    if (outcome != RunOutcome::Censored)
        addOutcome(outcome == RunOutcome::Failed, criteria);
}

void RunEvidence::addFailure(const RunCriteria& criteria)
{
    ++m_finished;
    addOutcome(true, criteria);
}

void RunEvidence::addLatency(Duration latency, bool isLowerBound, const RunCriteria& criteria)
{
    if (!criteria.latency.isReady())
        return;
    auto evidence = std::min(criteria.latency.surprisal(latency), maximumSurprisalPerRequest) - criteria.sensitivity.latencyAllowance;
    if (isLowerBound)
        evidence = std::max(0.0, evidence);
    m_latency = std::clamp(m_latency + evidence, 0.0, maximumStrength * criteria.sensitivity.threshold);
}

void RunEvidence::addOutcome(bool hasFailed, const RunCriteria& criteria)
{
    m_failed += hasFailed ? 1 : 0;
    const auto& sensitivity = criteria.sensitivity;
    auto healthy = std::min(std::max(sensitivity.toleratedFailureShare, 2 * criteria.failures.share()), highestHealthyShare);
    auto moderateShare = std::min(std::max(sensitivity.designFailureShare, 4 * healthy), highFailureShare);
    auto maximum = maximumStrength * sensitivity.threshold;
    m_moderateFailures = std::clamp(m_moderateFailures + logLikelihoodRatio(hasFailed, healthy, moderateShare), 0.0, maximum);
    m_highFailures = std::clamp(m_highFailures + logLikelihoodRatio(hasFailed, healthy, highFailureShare), 0.0, maximum);
}

double RunEvidence::failureEvidence() const
{
    return std::max(m_moderateFailures, m_highFailures);
}

void RunEvidence::decay(Instant now)
{
    auto share = remaining(now);
    m_decayedAt = now;
    m_latency *= share;
    m_moderateFailures *= share;
    m_highFailures *= share;
}

double RunEvidence::remaining(Instant now) const
{
    return remainingEvidence(now - m_decayedAt);
}

void RunEvidence::restart(double strength, const Sensitivity& sensitivity, Instant now)
{
    m_latency = strength * sensitivity.threshold;
    m_moderateFailures = strength * sensitivity.threshold;
    m_highFailures = strength * sensitivity.threshold;
    m_finished = 0;
    m_failed = 0;
    m_since = now;
    m_decayedAt = now;
}

double RunEvidence::openEvidence(const RunCriteria& criteria, Instant now) const
{
    if (!criteria.latency.isReady())
        return 0;
    return std::accumulate(m_open.begin(), m_open.end(), 0.0, [&](double sum, const OpenRequest& open) {
        if (open.startedAt < m_since)
            return sum;
        auto surprisal = criteria.latency.surprisal(now - open.startedAt);
        return sum + std::max(0.0, surprisal - openAllowanceShare * criteria.sensitivity.latencyAllowance);
    });
}

double RunEvidence::strength(const RunCriteria& criteria, Instant now) const
{
    auto latency = m_latency * remaining(now) + openEvidence(criteria, now);
    return std::min(std::max(latency, failureEvidence() * remaining(now)) / criteria.sensitivity.threshold, maximumStrength);
}

std::optional<Instant> RunEvidence::nextEvaluation(const RunCriteria& criteria, Instant now) const
{
    if (m_open.empty())
        return std::nullopt;
    auto oldest = std::ranges::min(m_open, {}, &OpenRequest::startedAt).startedAt;
    auto late = oldest + std::max(evaluationPeriod, criteria.latency.upperQuantile(lateShare));
    return std::max(late, now + evaluationPeriod);
}

std::string RunEvidence::describe(const RunCriteria& criteria, Instant now) const
{
    std::ostringstream text;
    text.precision(3);
    text << "latency evidence " << m_latency << " nats, failure evidence " << failureEvidence() << " nats (" << m_failed << " of " << m_finished
         << " requests failed), " << m_open.size() << " requests open with " << openEvidence(criteria, now) << " nats, threshold "
         << criteria.sensitivity.threshold << " nats";
    return text.str();
}

}
