#pragma once

#include <cstdint>

namespace Decision {

// Counts the slots of one service, as one process sees them, and checks them against the capacity floor: the share of
// announced slots, from 0 to 1, that ejections must leave in use.
class FloorGuard {
public:
    explicit FloorGuard(double floor)
        : m_floor(floor)
    {
    }

    // Adds a backend server. It is in use only if it is serving, reachable, warm, and neither ejected nor returning.
    // The slots of all others count as announced but not in use, so they reduce the number that may be ejected.
    void count(uint32_t slots, bool isInUse)
    {
        m_announced += slots;
        m_inUse += isInUse ? slots : 0;
    }

    // Whether a backend server that has been added may be ejected. Ejecting one that isn't in use removes no slots, but
    // nothing may be ejected while the slots in use are below the floor.
    bool allowsEjection(uint32_t slots, bool isInUse) const
    {
        auto remaining = m_inUse - (isInUse ? slots : 0);
        return satisfiesFloor(remaining);
    }

    // True if fewer slots are in use than the floor requires.
    bool isBroken() const { return !satisfiesFloor(m_inUse); }

    uint64_t announced() const { return m_announced; }
    uint64_t inUse() const { return m_inUse; }
    double floor() const { return m_floor; }

private:
    // The floor is configured as a decimal share; rounding must not forbid an ejection that leaves exactly that share.
    static constexpr double roundingTolerance = 1e-9;

    bool satisfiesFloor(uint64_t slots) const
    {
        return static_cast<double>(slots) + roundingTolerance >= m_floor * static_cast<double>(m_announced);
    }

    double m_floor;
    uint64_t m_announced { 0 };
    uint64_t m_inUse { 0 };
};

}
