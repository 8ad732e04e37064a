#pragma once

#include <algorithm>

namespace Decision {

// Moving average of the share of failed requests over a service's backend servers.
class FailureBaseline {
public:
    void add(bool hasFailed)
    {
        m_samples = std::min(m_samples + 1, maximumSamples);
        m_share += ((hasFailed ? 1 : 0) - m_share) / m_samples;
    }

    // Reduces the weight of earlier samples, so that the average follows new ones quickly.
    void relearn() { m_samples = std::min(m_samples, minimumSamples); }

    double share() const { return m_share; }

private:
    static constexpr double maximumSamples = 500;
    static constexpr double minimumSamples = 30;

    double m_share { 0 };
    // Starts at the minimum, so that the first samples don't dominate the average.
    double m_samples { minimumSamples };
};

}
