#include <LibDecision/Calls/AttemptTimeout.h>

#include <algorithm>

namespace Decision {

namespace {

    // https://www.rfc-editor.org/rfc/rfc6298#section-2, with larger factors because a timeout causes a second run.
    constexpr int meanSamples = 8;
    constexpr int deviationSamples = 4;
    constexpr int meanFactor = 2;
    constexpr int deviationFactor = 8;

}

void AttemptTimeout::observe(Duration elapsed)
{
    if (!m_hasSample) {
        m_mean = elapsed;
        m_deviation = elapsed / 2;
        m_hasSample = true;
        return;
    }
    auto error = elapsed - m_mean;
    m_deviation += (std::chrono::abs(error) - m_deviation) / deviationSamples;
    m_mean += error / meanSamples;
}

std::optional<Duration> AttemptTimeout::timeout(Duration remaining) const
{
    auto half = remaining / 2;
    if (half < minimum)
        return std::nullopt;
    auto learnt = m_hasSample ? meanFactor * m_mean + deviationFactor * m_deviation : Duration(initial);
    auto expected = std::min(learnt, m_objective);
    return std::min(std::max<Duration>(expected, minimum), half);
}

}
