#pragma once

#include <LibDecision/Admission/SidecarAdmission.h>
#include <LibDecision/Claims/PartitionMap.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// A claim that this process requested as a sidecar. It exists from the request to the holder until the run ends.
struct RequestedClaim {
    SidecarCallId call;
    RequestInfo request;
    PartitionId partition;
    // How long the holder remembers the key, from the grant on.
    Duration retention { 0 };
    // How long a resend gets the first outcome, from the end of the run on.
    Duration resendWindow { 0 };
    Instant firstSentAt;
    // A reply that arrives later is ignored.
    Instant decideBy;
    // Deadline of the caller's request.
    Instant deadline;
    uint32_t sends { 0 };
    bool isGranted { false };
};

// The sidecar's side: the claims that it requested and that haven't ended yet.
class ClaimRequester {
public:
    // Adds a claim, whose request is due at once. Returns the sequence of the ClaimRequest.
    uint64_t open(Instant now, SidecarCallId, const RequestInfo&, const Profile&);
    // Returns the sequences of the requests that have to be sent now.
    std::vector<uint64_t> takeDue(Instant now);
    // Records that the request was sent, and schedules its retransmission.
    void markSent(uint64_t sequence, Instant now);

    // Returns nullptr if the claim was closed.
    const RequestedClaim* find(uint64_t sequence) const;
    std::optional<uint64_t> sequenceOf(SidecarCallId) const;
    ClaimRequest message(uint64_t sequence) const;

    // The asked process isn't the holder, or its reply is stale: sends the request again after a short delay, possibly
    // to another process.
    void retryLater(uint64_t sequence, Instant now);
    // Marks the claim as granted and ends its retransmission.
    void grant(uint64_t sequence);
    // Removes the claim and returns it.
    RequestedClaim close(uint64_t sequence);

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    size_t size() const { return m_claims.size(); }

private:
    uint64_t m_lastSequence { 0 };
    std::unordered_map<uint64_t, RequestedClaim> m_claims;
    std::unordered_map<SidecarCallId, uint64_t> m_sequences;
    TimerQueue<uint64_t> m_timers;
};

// How long the holder remembers a claim after its grant: until the request's deadline, plus the resend window, plus the
// longest time that a resend sent within the window may take to its sidecar, plus a margin for undetected pauses.
Duration claimRetention(const Profile&, Duration remaining);

// Builds the message that tells the holder how the claim ended.
ClaimOutcome outcomeMessage(uint64_t sequence, const RequestedClaim&, Outcome);

}
