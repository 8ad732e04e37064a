#include "BackendModel.h"

#include <algorithm>
#include <cmath>

namespace Bench {

namespace {

    // Healthy noise: some requests take far longer, some fail, and now and then everything pauses.
    constexpr double outlierShare = 0.01;
    constexpr double outlierExponent = 1.5;
    constexpr double smallestOutlier = 3;
    constexpr double largestOutlier = 40;
    constexpr double healthyErrorShare = 0.001;
    constexpr double meanSecondsBetweenPauses = 20;
    constexpr Duration shortestPause = 30ms;
    constexpr Duration longestPause = 150ms;

    constexpr Duration errorTime = 3ms;
    constexpr Duration sheddingTime = 1ms;
    constexpr double serviceTimeSamples = 10;

    double draw(std::mt19937_64& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

}

BackendModel::BackendModel(const ServiceShape& shape, uint64_t seed)
    : m_shape(shape)
    , m_seed(seed)
    , m_pauseRandom(seed)
    , m_serviceTime(shape.medianServiceTime)
{
}

bool BackendModel::leaveQueue(uint64_t ticket)
{
    auto queued = std::ranges::find(queue, ticket, &Queued::ticket);
    if (queued == queue.end())
        return false;
    queue.erase(queued);
    return true;
}

std::optional<RunReport> BackendModel::plan(uint64_t run, const Treatment& treatment, Instant now)
{
    std::mt19937_64 random(m_seed * 0x9e3779b97f4a7c15ULL + run);
    auto fate = draw(random);
    auto healthy = drawServiceTime(random);
    if (treatment.isStuck)
        return std::nullopt;
    auto slowed = std::chrono::duration_cast<Duration>(healthy * treatment.slowdown);
    auto elapsed = slowed + pauseWithin(now, slowed);
    if (fate < treatment.shedShare)
        return RunReport { .result = AttemptResult::RefusedNotRun, .reason = Reason::BackendShedding, .elapsed = sheddingTime };
    if (fate < treatment.errorShare)
        return RunReport { .status = 500, .elapsed = errorTime };
    if (fate < treatment.cutShare)
        return RunReport { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut, .elapsed = elapsed };
    if (fate < treatment.malformedShare)
        return RunReport { .result = AttemptResult::Malformed, .reason = Reason::AnswerMalformed, .elapsed = elapsed };
    return RunReport { .status = static_cast<uint16_t>(fate > 1 - healthyErrorShare ? 500 : 200), .elapsed = elapsed };
}

Duration BackendModel::drawServiceTime(std::mt19937_64& random) const
{
    std::normal_distribution<double> normal(0, m_shape.logDeviation);
    auto factor = std::exp(normal(random));
    if (draw(random) < outlierShare)
        factor *= std::min(largestOutlier, smallestOutlier * std::pow(1 - draw(random), -1 / outlierExponent));
    return std::chrono::duration_cast<Duration>(m_shape.medianServiceTime * factor);
}

Duration BackendModel::pauseWithin(Instant from, Duration length)
{
    while (m_pauseUntil <= from) {
        auto gap = std::exponential_distribution<double>(1 / meanSecondsBetweenPauses)(m_pauseRandom);
        m_pauseFrom = std::max(m_pauseUntil, Instant {}) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        m_pauseUntil = m_pauseFrom + shortestPause + std::chrono::duration_cast<Duration>((longestPause - shortestPause) * draw(m_pauseRandom));
    }
    if (from + length <= m_pauseFrom)
        return Duration::zero();
    return m_pauseUntil - std::max(m_pauseFrom, from);
}

void BackendModel::learn(Duration serviceTime)
{
    m_serviceTime += std::chrono::duration_cast<Duration>((serviceTime - m_serviceTime) / serviceTimeSamples);
}

LoadReport BackendModel::load(double suspicion) const
{
    LoadReport report;
    report.slots = m_shape.slots;
    report.running = running.size();
    report.queued = queue.size();
    report.serviceTime = m_serviceTime;
    report.suspicion = suspicion;
    return report;
}

}
