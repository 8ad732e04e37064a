#include <LibDecision/Health/PathEvidence.h>

#include <LibDecision/Health/Sensitivity.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Decision {

namespace {

    // Shares of attempts without a response on a working path and on a broken one.
    constexpr double healthyShare = 0.01;
    constexpr double brokenShare = 0.6;
    constexpr double maximumStrength = 2;
    constexpr Duration evaluationPeriod = 50ms;

    const double failureEvidence = std::log(brokenShare / healthyShare);
    const double successEvidence = std::log((1 - brokenShare) / (1 - healthyShare));

}

void PathEvidence::started(uint64_t attempt, Instant now)
{
    m_open.push_back({ attempt, now });
}

void PathEvidence::finished(uint64_t attempt, PathOutcome outcome, const PathCriteria& criteria, Instant now)
{
    auto open = std::ranges::find(m_open, attempt, &OpenAttempt::attempt);
    if (open == m_open.end())
        return;
    auto startedAt = open->startedAt;
    m_open.erase(open);
    if (outcome == PathOutcome::Responded) {
        m_respondedAt = now;
        addOutcome(false, criteria, now);
        return;
    }
    bool wasSilent = now - startedAt >= criteria.silentAfter;
    if (startedAt >= m_respondedAt && (outcome == PathOutcome::Failed || wasSilent))
        addOutcome(true, criteria, now);
}

void PathEvidence::addOutcome(bool hasFailed, const PathCriteria& criteria, Instant now)
{
    auto evidence = m_evidence * remainingEvidence(now - m_updatedAt) + (hasFailed ? failureEvidence : successEvidence);
    m_updatedAt = now;
    m_evidence = std::clamp(evidence, 0.0, maximumStrength * criteria.threshold);
}

void PathEvidence::restart(double strength, const PathCriteria& criteria, Instant now)
{
    m_evidence = strength * criteria.threshold;
    m_respondedAt = now;
    m_updatedAt = now;
}

size_t PathEvidence::silentCount(const PathCriteria& criteria, Instant now) const
{
    return std::ranges::count_if(m_open, [&](const OpenAttempt& open) {
        return open.startedAt >= m_respondedAt && now - open.startedAt >= criteria.silentAfter;
    });
}

double PathEvidence::strength(const PathCriteria& criteria, Instant now) const
{
    auto evidence = m_evidence * remainingEvidence(now - m_updatedAt) + static_cast<double>(silentCount(criteria, now)) * failureEvidence;
    return std::min(evidence / criteria.threshold, maximumStrength);
}

std::optional<Instant> PathEvidence::nextEvaluation(const PathCriteria& criteria, Instant now) const
{
    if (m_open.empty())
        return std::nullopt;
    auto oldest = std::ranges::min(m_open, {}, &OpenAttempt::startedAt).startedAt;
    return std::max(oldest + criteria.silentAfter, now + evaluationPeriod);
}

std::string PathEvidence::describe(const PathCriteria& criteria, Instant now) const
{
    std::ostringstream text;
    text.precision(3);
    text << "evidence of attempts without a response from the sidecar " << m_evidence << " nats, " << silentCount(criteria, now)
         << " more attempts open without a response for " << criteria.silentAfter.count() / 1000 << " ms, threshold " << criteria.threshold << " nats";
    return text.str();
}

}
