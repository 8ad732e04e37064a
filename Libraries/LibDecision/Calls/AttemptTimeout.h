#pragma once

#include <LibModel/Time.h>

#include <optional>

namespace Decision {

using namespace Model;

// Learns how long attempts of one service take, and says after what time an idempotent one is given up in favour of
// another backend server. Uses the smoothed mean and deviation of RFC 6298, which need constant memory.
class AttemptTimeout {
public:
    // Never gives up earlier.
    static constexpr Duration minimum = 50ms;
    // Used until the first attempt was seen.
    static constexpr Duration initial = 1s;

    // An attempt that takes longer than the objective is given up, whatever was learnt.
    explicit AttemptTimeout(Duration latencyObjective = Duration::max())
        : m_objective(latencyObjective)
    {
    }

    void observe(Duration elapsed);
    // At most half of what is left of the deadline, so that another attempt has the same chance. Nothing if that is
    // too little for an attempt.
    std::optional<Duration> timeout(Duration remaining) const;

private:
    Duration m_objective;
    Duration m_mean { 0 };
    Duration m_deviation { 0 };
    bool m_hasSample { false };
};

}
