#pragma once

#include <LibModel/Time.h>

#include <algorithm>
#include <random>

namespace Decision {

using namespace Model;

// Exponential backoff with jitter. The delay doubles with each failure, and each wait is a random duration between half
// of the delay and the whole delay, so that processes that failed at the same time don't retry at the same time.
class Backoff {
public:
    Backoff(Duration first, Duration maximum)
        : m_first(first)
        , m_maximum(maximum)
        , m_next(first)
    {
    }

    // Returns the time to wait before the next attempt, and doubles the delay.
    Duration next(std::mt19937_64& random)
    {
        auto wait = Duration(std::uniform_int_distribution<Duration::rep>(m_next.count() / 2, m_next.count())(random));
        m_next = std::min(m_next * 2, m_maximum);
        return wait;
    }

    void reset() { m_next = m_first; }

private:
    Duration m_first;
    Duration m_maximum;
    Duration m_next;
};

}
