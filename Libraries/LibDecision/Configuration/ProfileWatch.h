#pragma once

#include <LibDecision/Configuration/Backoff.h>
#include <LibDecision/Turn.h>

#include <optional>

namespace Decision {

// While enabled, watches the platform's profiles for changes with one blocking call at a time.
class ProfileWatch {
public:
    ProfileWatch();

    // Disabling lets a pending call end and starts no further one.
    void setEnabled(Turn&, bool);
    bool isEnabled() const { return m_isEnabled; }

    std::optional<Instant> nextTimer() const { return m_nextTimer; }
    void handleTimer(Turn&);
    // Returns false if the reply belongs to another component.
    bool handleReply(Turn&, const PlatformReply&);

private:
    void startWatch(Turn&);
    void watchFailed(Turn&);

    bool m_isEnabled { false };
    uint64_t m_index { 0 };
    std::optional<PlatformTag> m_pendingWatch;
    Instant m_watchStartedAt {};
    // When to start the next watch, or when the pending one times out.
    std::optional<Instant> m_nextTimer;
    Backoff m_backoff;
};

}
