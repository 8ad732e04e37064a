#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// Notices that this process stood still. What it reads shortly after may have waited for long, with a deadline that
// was counted anew only when it was read.
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

    // Says whether what is read now waited for no longer than a tick and its tolerance.
    bool isFresh(Instant now)
    {
        checkForPause(now);
        return now >= m_staleUntil;
    }

private:
    static constexpr Duration tickInterval = std::chrono::milliseconds(200);
    // A tick later than this means a pause.
    static constexpr Duration tickTolerance = std::chrono::milliseconds(300);
    // After a pause the process needs this time to read everything that waited.
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
