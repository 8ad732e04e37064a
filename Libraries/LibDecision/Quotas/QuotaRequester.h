#pragma once

#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/Claims/PauseDetector.h>
#include <LibDecision/Input.h>
#include <LibDecision/Quotas/QuotaDirectory.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Decision {

// A call that got a token, or is refused for the reason.
struct QuotaDecision {
    CallArrived call;
    // Nothing if the call got a token.
    std::optional<Reason> refusal;
    Duration retryAfter { 0 };
};

struct OutgoingQuotaRequest {
    InstanceId to;
    QuotaRequest request;
};

struct QuotaRequesterCounters {
    uint64_t questions { 0 };
    uint64_t unansweredQuestions { 0 };
    // Questions that another process forwards to the holder.
    uint64_t forwardedQuestions { 0 };
    uint64_t passed { 0 };
    uint64_t passedAhead { 0 };
    uint64_t exceeded { 0 };
    // Refused without a question, because the next token wasn't due.
    uint64_t exceededLocally { 0 };
    uint64_t unavailable { 0 };
    uint64_t lateReplies { 0 };
    // Sum and number of the times from question to reply.
    Duration roundTrips { 0 };
    uint64_t answeredQuestions { 0 };
};

// The ingress's side: calls that wait for a token, and the questions to the holders. There is at most one question in
// flight for each partition; calls that arrive meanwhile share the next one.
class QuotaRequester {
public:
    // Returns the candidates for a partition, the first one first.
    using RankCandidates = std::function<std::vector<InstanceId>(uint32_t partition)>;

    QuotaRequester(const ProcessIncarnation& self, const QuotaDirectory&, const QuotaTerms&, RankCandidates);

    // Must be called when the first quota comes into force.
    void start(Instant now) { m_pauseDetector.start(now); }
    // Must be called with each suspended time that an input tells, before other functions.
    void suspended(Instant now) { m_staleUntil = now + staleTime; }

    // The call waits until takeDecisions() returns it.
    void arrive(Turn&, const CallArrived&, const Tenant&, const SuspensionClock&);
    void callerGone(CallId);
    void receive(Turn&, const InstanceId& from, const QuotaReply&, const SuspensionClock&);
    std::vector<QuotaDecision> takeDecisions() { return std::exchange(m_decisions, {}); }
    std::vector<OutgoingQuotaRequest> takeRequests() { return std::exchange(m_requests, {}); }
    // Sends the questions that are due.
    void ask(Turn&, const SuspensionClock&);
    // Lets all waiting calls go, because no quota is in force any more.
    void releaseAll(Turn&);

    // Refuses all waiting calls, because the process ends.
    void refuseAll(Turn&);

    bool isEmpty() const { return m_calls.empty(); }
    size_t waitingCount() const { return m_calls.size(); }
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);
    const QuotaRequesterCounters& counters() const { return m_counters; }

private:
    struct WaitingCall {
        CallArrived call;
        Instant arrivedAt;
        // On the clock that counts suspended time.
        Instant expiresAt;
        uint32_t partition { 0 };
    };
    struct TenantState {
        std::deque<CallId> waiting;
        // No token is due before this instant.
        Instant noneBefore;
        // When the next refused call is told to return.
        Instant nextReturn;
        uint32_t tokensAhead { 0 };
        // On the clock that counts suspended time.
        Instant aheadUntil;
        // Arrivals in the current interval of the validity of tokens ahead and the one before.
        Instant countedFrom;
        uint32_t arrivals { 0 };
        uint32_t arrivalsBefore { 0 };
    };
    // The process that is asked, and the holder if that one forwards the question.
    struct Target {
        InstanceId to;
        InstanceId forwardTo;
    };
    struct Question {
        uint64_t sequence { 0 };
        Target target;
        Instant sentAt;
        // On the clock that counts suspended time, or earlier.
        Instant sentAtBoot;
        std::unordered_map<AccountId, uint32_t> wanted;
    };
    struct Partition {
        std::optional<Question> question;
        std::vector<AccountId> tenants;
        InstanceId holder;
        // The process through which the holder is asked until the instant, because it didn't answer here.
        InstanceId forwarder;
        Instant forwardUntil;
        // The holder that didn't answer last.
        InstanceId unanswering;
        size_t nextCandidate { 0 };
        Instant askAgainAt;
        // Since when no holder was found although calls waited.
        std::optional<Instant> unansweredSince;
        uint32_t redirections { 0 };
        // Replies since the last one of a holder that named none.
        uint32_t vacantReplies { 0 };
    };

    void countArrival(Instant now, TenantState&) const;
    uint32_t aheadOf(Instant now, const TenantState&) const;
    bool hasWaiting(const Partition&) const;
    void askPartition(Turn&, uint32_t number, Partition&, const SuspensionClock&);
    Target targetOf(Instant now, uint32_t number, const Partition&) const;
    InstanceId chooseForwarder(uint32_t number, const Partition&) const;
    void noteUnanswered(Instant now, uint32_t number, Partition&, const Target&);
    static void noteHolder(Partition&, const Target&, bool isForwarded);
    static void noteOtherHolder(Instant now, Partition&, const InstanceId& from, const InstanceId& holder);
    void apply(Turn&, const Question&, const QuotaGrant&, bool isInTime, const SuspensionClock&);
    void refuseExceeded(Instant now, TenantState&, const AccountId&, CallId);
    void refuseUnavailable(Turn&, CallId, Reason);
    void decide(Instant now, CallId, std::optional<Reason>, Duration retryAfter);
    // Removes the call from its tenant's queue too.
    void forget(CallId);
    void pruneTenants(Instant now);

    ProcessIncarnation m_self;
    const QuotaDirectory& m_directory;
    QuotaTerms m_terms;
    RankCandidates m_rank;
    PauseDetector m_pauseDetector;
    // Input that is read before this instant may have waited while the machine was suspended.
    Instant m_staleUntil { Instant::min() };
    uint64_t m_lastSequence { 0 };
    std::unordered_map<CallId, WaitingCall> m_calls;
    std::unordered_map<AccountId, TenantState> m_tenants;
    std::array<Partition, quotaPartitionCount> m_partitions;
    TimerQueue<CallId> m_expiries;
    TimerQueue<uint32_t> m_timeouts;
    std::vector<QuotaDecision> m_decisions;
    std::vector<OutgoingQuotaRequest> m_requests;
    Instant m_pruneAt;
    QuotaRequesterCounters m_counters;

    static constexpr Duration staleTime = 500ms;
};

}
