#pragma once

#include <LibDecision/Admission/AdmittedCall.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Decision {

// Identifies one attempt of a request that must not run twice, however often its ingress sends the attempt.
struct RunKey {
    InstanceId ingress;
    // Incarnation of the ingress process; attempt numbers are unique within one incarnation.
    Incarnation ingressIncarnation;
    AttemptId attempt;

    auto operator<=>(const RunKey&) const = default;
};

// State of an attempt.
enum class RunState {
    // Waiting or running.
    Pending,
    // Answered; the answer is kept.
    Answered,
    // Not run and never will be.
    NotRun,
    // May have run, but there is no answer.
    Unknown,
};

struct RunEntry {
    // The call that was created for the attempt; its answer is kept under this identifier.
    SidecarCallId call;
    RunState state { RunState::Pending };
    Reason reason { Reason::None };
};

// Remembers attempts of requests that must not run twice. An ingress whose connection broke can send the attempt again
// over another connection; it is then recognised and doesn't run a second time.
class RunLedger {
public:
    // An attempt and its answer are remembered for this time after its end. An ingress may resend it for longer: deadlines of
    // 40 s are in use, and the clock of a suspended ingress stands still. mayHaveForgotten() covers that.
    static constexpr Duration retention = std::chrono::seconds(15);

    // Returns nullptr if the attempt was never received or has expired.
    const RunEntry* find(const RunKey&) const;
    // Returns true if this attempt, or a later one of the same ingress process, has expired. The attempt may then have run.
    bool mayHaveForgotten(const RunKey&) const;
    void begin(const RunKey&, SidecarCallId);
    // Records how the call ended; ignores calls that begin() wasn't called for.
    void end(SidecarCallId, RunState, Reason, Instant now);
    bool isInProgress(SidecarCallId call) const { return m_pending.contains(call); }

    std::optional<Instant> nextTimer() const;
    // Removes expired attempts. Returns the calls whose kept answers aren't needed any more.
    std::vector<SidecarCallId> removeExpired(Instant now);

private:
    using Sender = std::pair<InstanceId, Incarnation>;

    struct Ended {
        RunKey key;
        Instant at;
    };

    std::map<RunKey, RunEntry> m_entries;
    // Attempts that haven't ended.
    std::map<SidecarCallId, RunKey> m_pending;
    std::deque<Ended> m_ended;
    // The latest expired attempt of each ingress process; attempts are numbered in the order of their first sends. This is never
    // removed, since an order of a process that has ended may still be in transit. It takes about 100 bytes for each process
    // that sent a resendable attempt: 150 KB a day if 1,500 processes restart once a day.
    std::map<Sender, AttemptId> m_latestExpired;
};

}
