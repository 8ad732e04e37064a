#pragma once

#include <LibDecision/TimerQueue.h>
#include <LibModel/Endpoint.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

using namespace Model;

// Identifies the process on whose behalf this process sends an indirect probe.
struct ProbeRelay {
    InstanceId requester;
    Endpoint requesterControl;
    // The sequence number of the requester's own probe.
    uint64_t sequence { 0 };
};

enum class ProbeStep {
    // The direct ping was not answered in time; other members are to ping the target.
    SendIndirectPings,
    // The probe timed out; only other members got an answer from the target.
    AnsweredIndirectly,
    // The probe timed out without any answer from the target.
    Unanswered,
};

struct DueProbe {
    ProbeStep step { ProbeStep::SendIndirectPings };
    uint64_t sequence { 0 };
    InstanceId target;
};

// A probe whose ping was answered by its target.
struct AnsweredProbe {
    InstanceId target;
    // Time from sending the ping to its answer.
    Duration roundTrip { 0 };
    // Set if the ping was sent on behalf of another process.
    std::optional<ProbeRelay> relay;
};

// The probes that wait for an answer to their ping, with their timeouts.
class PendingProbes {
public:
    // Returns the sequence number of the ping to send. The multiplier applies to the timeout of the direct ping and to
    // that of the whole probe.
    uint64_t begin(Instant now, const InstanceId& target, uint32_t timeoutMultiplier);
    // Begins a probe on behalf of another process. Returns the sequence number of the ping to send, or std::nullopt if
    // too many such probes are in progress.
    std::optional<uint64_t> beginRelay(Instant now, const InstanceId& target, ProbeRelay);

    // Ends the probe. Returns std::nullopt if the ack is late, duplicate or not from the target.
    std::optional<AnsweredProbe> takeAnswer(Instant now, uint64_t sequence, const InstanceId& from);
    void noteIndirectAnswer(uint64_t sequence, const InstanceId& target);
    // Lets the direct ping time out at once, because the target's endpoint can't be reached.
    void expireDirectPing(Instant now, const InstanceId& target);
    // Drops every probe without a result, because this process itself was paused.
    void abandonAll();

    bool isProbing(const InstanceId& target) const { return m_byTarget.contains(target); }
    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    std::vector<DueProbe> takeDue(Instant now);

private:
    struct Probe {
        InstanceId target;
        Instant end {};
        Instant sentAt {};
        bool sentIndirectPings { false };
        bool answeredIndirectly { false };
        std::optional<ProbeRelay> relay;
    };

    std::optional<DueProbe> advance(uint64_t sequence);
    void erase(uint64_t sequence);

    std::unordered_map<uint64_t, Probe> m_probes;
    std::unordered_map<InstanceId, uint64_t> m_byTarget;
    TimerQueue<uint64_t> m_timers;
    uint64_t m_lastSequence { 0 };
    size_t m_relays { 0 };
};

}
