#include <LibDecision/Configuration/ProfileWatch.h>

#include <LibDecision/Configuration/ProfileRevisionText.h>

namespace Decision {

namespace {

    constexpr Duration watchWait = std::chrono::seconds(55);
    // A watch times out when its reply is this late after the requested wait.
    constexpr Duration replyGrace = std::chrono::seconds(10);
    // Minimum time between the starts of two watches, in case the platform answers immediately without any change.
    constexpr Duration minimumWatchInterval = std::chrono::milliseconds(100);
    constexpr Duration firstBackoff = std::chrono::milliseconds(500);
    constexpr Duration maximumBackoff = std::chrono::seconds(20);

}

ProfileWatch::ProfileWatch()
    : m_backoff(firstBackoff, maximumBackoff)
{
}

void ProfileWatch::setEnabled(Turn& turn, bool isEnabled)
{
    if (isEnabled == m_isEnabled)
        return;
    m_isEnabled = isEnabled;
    if (!isEnabled && !m_pendingWatch)
        m_nextTimer.reset();
    if (isEnabled && !m_pendingWatch)
        startWatch(turn);
}

void ProfileWatch::handleTimer(Turn& turn)
{
    if (!m_nextTimer || turn.now() < *m_nextTimer)
        return;
    m_nextTimer.reset();
    if (m_pendingWatch)
        return watchFailed(turn);
    if (m_isEnabled)
        startWatch(turn);
}

void ProfileWatch::startWatch(Turn& turn)
{
    m_pendingWatch = turn.callPlatform(WatchPrefix { std::string(profileKeyPrefix), m_index, watchWait });
    m_watchStartedAt = turn.now();
    m_nextTimer = turn.now() + watchWait + replyGrace;
}

bool ProfileWatch::handleReply(Turn& turn, const PlatformReply& reply)
{
    if (!m_pendingWatch || reply.tag != *m_pendingWatch)
        return false;
    if (reply.status != PlatformStatus::Done) {
        watchFailed(turn);
        return true;
    }
    m_pendingWatch.reset();
    m_backoff.reset();
    // A lower index than before means that the store was restored; the next watch continues from the lower index.
    m_index = reply.index;
    m_nextTimer.reset();
    if (m_isEnabled)
        m_nextTimer = std::max(turn.now(), m_watchStartedAt + minimumWatchInterval);
    return true;
}

void ProfileWatch::watchFailed(Turn& turn)
{
    m_pendingWatch.reset();
    // Makes the next watch return immediately, with any changes made in the meantime.
    m_index = 0;
    m_nextTimer.reset();
    if (m_isEnabled)
        m_nextTimer = turn.now() + m_backoff.next(turn.random());
}

}
