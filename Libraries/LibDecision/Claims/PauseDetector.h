#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// Detects that this process was paused. Input that is read shortly after a pause may have been buffered for a long
// time, while the deadline of a request in it counts only from the time of reading.
class PauseDetector {
public:
    void start(Instant now) { m_nextTick = now + tickInterval; }
    Instant nextTimer() const { return m_nextTick; }
    void handleTimer(Instant now)
    {
        checkForPause(now);
        if (m_nextTick <= now)
            m_nextTick = now + tickInterval;
    }

    // Returns true if input that is read now can't have waited for longer than a tick interval plus the tolerance.
    bool isFresh(Instant now)
    {
        checkForPause(now);
        return now >= m_staleUntil;
    }

private:
    static constexpr Duration tickInterval = std::chrono::milliseconds(200);
    // A tick that is late by more than this indicates a pause.
    static constexpr Duration tickTolerance = std::chrono::milliseconds(300);
    // Time that the process needs after a pause to read all buffered input.
    static constexpr Duration backlogReadTime = std::chrono::milliseconds(500);

    void checkForPause(Instant now)
    {
        if (now > m_nextTick + tickTolerance)
            m_staleUntil = now + backlogReadTime;
    }

    Instant m_nextTick;
    Instant m_staleUntil;
};

}
