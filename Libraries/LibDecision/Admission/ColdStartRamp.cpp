#include <LibDecision/Admission/ColdStartRamp.h>

#include <algorithm>

namespace Decision {

ColdStartRamp::ColdStartRamp(Instant servingSince, Duration coldStart, uint32_t slots)
    : m_servingSince(servingSince)
    , m_coldStart(coldStart)
    , m_slots(slots)
{
}

uint32_t ColdStartRamp::usableSlots(Instant now) const
{
    auto elapsed = now - m_servingSince;
    if (elapsed >= m_coldStart)
        return m_slots;
    auto share = static_cast<uint32_t>(m_slots * elapsed.count() / m_coldStart.count());
    return std::clamp<uint32_t>(share, std::min(1u, m_slots), m_slots);
}

std::optional<Instant> ColdStartRamp::nextStep(Instant now) const
{
    auto usable = usableSlots(now);
    if (usable >= m_slots)
        return std::nullopt;
    auto untilNext = (m_coldStart.count() * (usable + 1) + m_slots - 1) / m_slots;
    return m_servingSince + Duration(untilNext);
}

}
