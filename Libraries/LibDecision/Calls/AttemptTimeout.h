#pragma once

#include <LibModel/Time.h>

#include <optional>

namespace Decision {

using namespace Model;

// Adaptive timeout after which an idempotent attempt is cancelled and retried at another backend server. It follows the
// smoothed mean and deviation of the attempts' durations like the retransmission timeout of RFC 6298, in constant
// memory.
class AttemptTimeout {
public:
    // Lower bound of the timeout.
    static constexpr Duration minimum = 50ms;
    // The timeout until observe() has been called.
    static constexpr Duration initial = 1s;

    // The latency objective is an upper bound of the timeout.
    explicit AttemptTimeout(Duration latencyObjective = Duration::max())
        : m_objective(latencyObjective)
    {
    }

    void observe(Duration elapsed);
    // Usual duration of an attempt; zero before the first one.
    Duration usual() const { return m_mean; }
    // Returns at most half of the time that remains until the deadline, so that another attempt gets as much. Returns
    // nullopt if that half is below the minimum.
    std::optional<Duration> timeout(Duration remaining) const;

private:
    Duration m_objective;
    Duration m_mean { 0 };
    Duration m_deviation { 0 };
    bool m_hasSample { false };
};

}
