#pragma once

#include <LibModel/Profile.h>
#include <LibModel/Time.h>

#include <algorithm>
#include <cstdint>

namespace Decision {

using namespace Model;

// Computes how long a backend server stays ejected: the time doubles with each repetition, up to the policy's maximum.
// The count of repetitions falls by one for each healthy period of ten times the last ejection's length.
class EjectionSchedule {
public:
    // Starts an ejection and returns its length.
    Duration eject(const HealthPolicy& policy, Instant now)
    {
        forgetRepetitions(now);
        m_length = std::min(policy.ejectionTime * (1 << m_repetitions), policy.maximumEjectionTime);
        m_repetitions = std::min(m_repetitions + 1, maximumRepetitions);
        m_lastEnd = now + m_length;
        return m_length;
    }

    uint32_t repetitions() const { return m_repetitions; }

private:
    static constexpr uint32_t maximumRepetitions = 16;
    static constexpr int healthyPeriodsPerRepetition = 10;

    void forgetRepetitions(Instant now)
    {
        if (m_repetitions == 0 || now <= m_lastEnd)
            return;
        auto forgotten = (now - m_lastEnd) / (m_length * healthyPeriodsPerRepetition);
        m_repetitions -= static_cast<uint32_t>(std::min<Duration::rep>(forgotten, m_repetitions));
    }

    uint32_t m_repetitions { 0 };
    Duration m_length { 1 };
    Instant m_lastEnd;
};

}
