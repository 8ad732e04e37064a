#pragma once

#include <LibDecision/Message.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <map>
#include <optional>
#include <vector>

namespace Decision {

// Outcomes of claims that this process, as the sidecar, reports to the holders. Each report is sent again until the
// holder confirms it or its time is over.
class OutcomeReports {
public:
    // Adds a report, which is due at once.
    void add(Instant now, ClaimOutcome);
    // Returns the reports to send now, and schedules their retransmission.
    std::vector<ClaimOutcome> takeDue(Instant now);
    // Handles a holder's reply that belongs to no open claim. If the reply grants a claim that this process abandoned,
    // returns the outcome, which has to be sent again at once.
    std::optional<ClaimOutcome> handleReply(const ClaimReply&);

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    size_t size() const { return m_reports.size(); }
    // Returns true while a report awaits its confirmation. The wait for each report is bounded.
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

    // Ordered by sequence, so that the oldest comes first. A confirmed report is kept for a while, because a delayed
    // copy of its ClaimRequest may reach the holder later and claim the key again.
    std::map<uint64_t, Report> m_reports;
    TimerQueue<uint64_t> m_timers;
    size_t m_awaitedCount { 0 };
};

}
