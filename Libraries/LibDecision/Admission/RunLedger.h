#pragma once

#include <LibDecision/Admission/AdmittedCall.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <compare>
#include <deque>
#include <map>
#include <optional>
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
    // An attempt is remembered for this time after its end, which is longer than an ingress keeps resending it.
    static constexpr Duration retention = std::chrono::seconds(15);

    // Returns nullptr if the attempt was never received or has expired.
    const RunEntry* find(const RunKey&) const;
    void begin(const RunKey&, SidecarCallId);
    // Records how the call ended; ignores calls that begin() wasn't called for.
    void end(SidecarCallId, RunState, Reason, Instant now);
    bool isInProgress(SidecarCallId call) const { return m_pending.contains(call); }

    std::optional<Instant> nextTimer() const;
    // Removes expired attempts. Returns the calls whose kept answers aren't needed any more.
    std::vector<SidecarCallId> removeExpired(Instant now);

private:
    struct Ended {
        RunKey key;
        Instant at;
    };

    std::map<RunKey, RunEntry> m_entries;
    // Attempts that haven't ended.
    std::map<SidecarCallId, RunKey> m_pending;
    std::deque<Ended> m_ended;
};

}
