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

// Names one order to run a request that may not run twice, however often its ingress sends the order.
struct RunKey {
    InstanceId ingress;
    // The ingress's start; attempts of one start are numbered.
    Incarnation ingressStart;
    AttemptId attempt;

    auto operator<=>(const RunKey&) const = default;
};

// What became of an order.
enum class RunFate {
    // It waits or runs.
    Underway,
    // Its answer is kept.
    Answered,
    // It wasn't run and never will be.
    NotRun,
    // It may have run, and there is no answer.
    Unknown,
};

struct RunEntry {
    // The request that the order began; its answer is kept under this name.
    SidecarCallId call;
    RunFate fate { RunFate::Underway };
    Reason reason { Reason::None };
};

// Remembers orders for requests that may not run twice, so that an ingress whose connection broke can ask again over
// another one: the order is then recognised and never runs a second time.
class RunLedger {
public:
    // An order is remembered for this time after its end, longer than an ingress goes on asking.
    static constexpr Duration memory = std::chrono::seconds(15);

    // Gives nothing if the order was never seen or is forgotten.
    const RunEntry* find(const RunKey&) const;
    void begin(const RunKey&, SidecarCallId);
    // Remembers how the request that an order began has ended; ignores requests without an order of that kind.
    void end(SidecarCallId, RunFate, Reason, Instant now);
    bool holds(SidecarCallId call) const { return m_keys.contains(call); }

    std::optional<Instant> nextTimer() const;
    // Forgets what is old. Gives the requests whose kept answers are no longer needed.
    std::vector<SidecarCallId> forgetOld(Instant now);

private:
    struct Ended {
        RunKey key;
        Instant at;
    };

    std::map<RunKey, RunEntry> m_entries;
    // Orders that are under way.
    std::map<SidecarCallId, RunKey> m_keys;
    std::deque<Ended> m_ended;
};

}
