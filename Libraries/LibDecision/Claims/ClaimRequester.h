#pragma once

#include <LibDecision/Admission/SidecarAdmission.h>
#include <LibDecision/Claims/PartitionMap.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// A keyed request of this process, as the sidecar, from its question to the holder until its run ended.
struct RequestedClaim {
    SidecarCallId call;
    RequestInfo request;
    PartitionId partition;
    // How long the key counts from the grant on.
    Duration retention { 0 };
    // How long a resend gets the first outcome, from the end of the run on.
    Duration resendWindow { 0 };
    Instant firstSentAt;
    // No answer is waited for beyond this, and none counts.
    Instant decideBy;
    // The request's deadline.
    Instant deadline;
    uint32_t sends { 0 };
    bool isGranted { false };
};

// The sidecar's side: which claims it asked for, and what became of them.
class ClaimRequester {
public:
    // Opens a question and gives its sequence. The question is due at once.
    uint64_t open(Instant now, SidecarCallId, const RequestInfo&, const Profile&);
    // Gives the open questions that have to be sent now.
    std::vector<uint64_t> takeDue(Instant now);
    // Notes that the question was sent, or that nobody could be asked, and schedules its repetition.
    void markSent(uint64_t sequence, Instant now);

    // Gives nothing if the sequence isn't known any more.
    const RequestedClaim* find(uint64_t sequence) const;
    std::optional<uint64_t> sequenceOf(SidecarCallId) const;
    ClaimRequest message(uint64_t sequence) const;

    // The holder refused to answer: it is asked again soon, or another one is.
    void retryLater(uint64_t sequence, Instant now);
    // The claim is granted; it stays known until it is closed.
    void grant(uint64_t sequence);
    // Forgets the claim and gives what was known of it.
    RequestedClaim close(uint64_t sequence);

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    size_t size() const { return m_claims.size(); }

private:
    uint64_t m_lastSequence { 0 };
    std::unordered_map<uint64_t, RequestedClaim> m_claims;
    std::unordered_map<SidecarCallId, uint64_t> m_sequences;
    TimerQueue<uint64_t> m_timers;
};

// How long a claim counts after its grant: until the request's deadline, the resend window after it, and the longest
// time that a resend, sent within the window, may take to its sidecar.
Duration claimRetention(const Profile&, Duration remaining);

// The end of a claim as the holder hears it.
ClaimOutcome outcomeMessage(uint64_t sequence, const RequestedClaim&, Outcome);

}
