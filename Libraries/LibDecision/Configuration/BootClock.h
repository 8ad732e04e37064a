#pragma once

#include <LibModel/Time.h>

#include <algorithm>

namespace Decision {

using namespace Model;

// Clock that also counts the time that the machine spends suspended. It is the steady clock plus the suspended time.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using BootInstant = BootClock::time_point;

// The suspended time as last observed. A value that is too low is only sound for an instant before which it was observed,
// so the driver observes it before each input and reads the input's instant afterwards.
class SuspendedTime {
public:
    // Returns how much the suspended time has grown.
    Duration observe(Duration total)
    {
        auto growth = std::max(Duration(0), total - m_total);
        m_total += growth;
        return growth;
    }

    BootInstant bootInstant(Instant instant) const { return BootInstant(instant.time_since_epoch() + m_total); }
    // The instant at which the boot clock shows the given one, if the machine isn't suspended until then.
    Instant steadyInstant(BootInstant instant) const { return Instant(instant.time_since_epoch() - m_total); }

private:
    Duration m_total { 0 };
};

}
