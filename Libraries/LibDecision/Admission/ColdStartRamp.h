#pragma once

#include <LibModel/Time.h>

#include <cstdint>
#include <optional>

namespace Decision {

using namespace Model;

// Slow start of a backend server: limits how many of its slots may be used. The limit rises linearly from one slot to
// all of them over the cold start time.
class ColdStartRamp {
public:
    ColdStartRamp(Instant servingSince, Duration coldStart, uint32_t slots);

    uint32_t usableSlots(Instant now) const;
    // Returns when the next slot becomes usable, or nullopt if all slots are usable.
    std::optional<Instant> nextStep(Instant now) const;

private:
    Instant m_servingSince;
    Duration m_coldStart;
    uint32_t m_slots;
};

}
