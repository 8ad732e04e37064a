#pragma once

#include <LibDecision/Message.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <map>
#include <optional>
#include <vector>

namespace Decision {

// The ends of claims that this process, as the sidecar, owes their holders. Each is repeated until it is confirmed.
class OutcomeReports {
public:
    // The report is due at once.
    void add(Instant now, ClaimOutcome);
    // Gives the reports to send now, and schedules their repetition.
    std::vector<ClaimOutcome> takeDue(Instant now);
    // Takes a holder's reply that belongs to no open question. Gives the outcome to send again at once, if the
    // reply grants a claim that was given up.
    std::optional<ClaimOutcome> handleReply(const ClaimReply&);

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    size_t size() const { return m_reports.size(); }
    // True while reports wait for their confirmation, each for a bounded time.
    bool isWaiting() const { return m_awaitedCount > 0; }

private:
    struct Report {
        ClaimOutcome outcome;
        Instant addedAt;
        Duration retryDelay { 0 };
        bool isConfirmed { false };
        bool isAwaited { true };
    };

    void stopWaiting(Report&);
    void removeOldest();

    // By sequence, so that the oldest comes first. A confirmed report stays for a while, because the request that it
    // answers may arrive late and take the key again.
    std::map<uint64_t, Report> m_reports;
    TimerQueue<uint64_t> m_timers;
    size_t m_awaitedCount { 0 };
};

}
