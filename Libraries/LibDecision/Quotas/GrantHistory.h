#pragma once

#include <LibModel/Time.h>

#include <cstdint>
#include <deque>

namespace Decision {

using namespace Model;

// Counts the tokens that were granted within a span of time, in steps of a fiftieth of it.
class GrantHistory {
public:
    // The count within the span until now.
    uint32_t count(Instant now, Duration span);
    void add(Instant now, Duration span, uint32_t tokens);
    // When the oldest tokens that count leave the span; now if none do.
    Instant nextRelease(Instant now, Duration span) const;

private:
    struct Step {
        Instant begin;
        uint32_t tokens { 0 };
    };

    static Duration stepOf(Duration span) { return span / 50; }

    std::deque<Step> m_steps;
    uint32_t m_count { 0 };
};

}
