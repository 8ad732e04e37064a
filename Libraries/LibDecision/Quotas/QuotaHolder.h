#pragma once

#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/Claims/HolderLease.h>
#include <LibDecision/Quotas/QuotaBuckets.h>
#include <LibDecision/Quotas/QuotaDirectory.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

struct QuotaHolderCounters {
    uint64_t questions { 0 };
    uint64_t tokensGranted { 0 };
    uint64_t tokensGrantedAhead { 0 };
    uint64_t tokensRefused { 0 };
    uint64_t acquisitions { 0 };
};

// A QuotaRequest with its sender.
struct IncomingQuotaRequest {
    ProcessIncarnation process;
    // Version of the sender's route table.
    Revision routesVersion;
    // Whether the sender is the first candidate for the partition in this process's view.
    bool isFirstCandidate { false };
    QuotaRequest request;
};

// The holder's side: the quota partitions that this process holds, their buckets, and the lease that they are bound to.
//
// At most one process grants tokens of a partition. Its key in the store is bound to the lease of its holder, and a
// holder grants only while its lease lasts for longer than its tokens can be used.
//
// Once the store comes back from a copy, a holder of the earlier era may go on until the lease that it renewed last would
// have ended. So a process grants only after it has known the store's era for a whole lease time. That rule also covers a
// process that has just started and doesn't know of the earlier era.
class QuotaHolder {
public:
    QuotaHolder(const ProcessIncarnation& self, const QuotaDirectory&, const QuotaTerms&);

    // Sets the partitions that this process acquires without being asked, because it is their first candidate.
    void setCandidacies(Turn&, std::vector<uint32_t> partitions);
    // Ends all holds once no token can be used any more. Further holds are possible if the table has quotas again.
    void stop(Turn&);
    void leave(Turn&);
    bool isIdle() const { return !m_stopAt && !m_idleAt; }

    // Must be called with each suspended time that an input tells, before other functions.
    void suspended(Instant now);
    QuotaReply answer(Turn&, const IncomingQuotaRequest&);
    // Must be called with each reply of the store, before any handleReply().
    void noteReply(Turn&, const PlatformReply&);
    // Returns false if the reply belongs to another component.
    bool handleReply(Turn&, const PlatformReply&);

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // Returns true if this process may grant tokens of the partition.
    bool canGrant(Instant now, uint32_t partition) const;
    size_t heldCount() const;
    // The holder as the store told last; empty if unknown.
    InstanceId knownHolder(uint32_t partition) const;
    // Returns the partitions whose first candidate is this process but which another one holds, once in a while.
    std::vector<std::pair<uint32_t, InstanceId>> takeHandoverWishes() { return std::exchange(m_handoverWishes, {}); }
    const QuotaHolderCounters& counters() const { return m_counters; }
    const QuotaBuckets* buckets(uint32_t partition) const;

private:
    enum class HoldState {
        Vacant,
        Reading,
        Acquiring,
        Held,
        Releasing,
    };
    struct Hold {
        HoldState state { HoldState::Vacant };
        PlatformTag pending;
        Instant pendingSince;
        Instant lastAttempt;
        Instant nextAttempt;
        // Requests for the partition arrived here until shortly before this instant.
        Instant wantedUntil;
        bool isCandidate { false };
        // The lease of the latest attempt to acquire the key. The key may be bound to it although no reply said so.
        PlatformLease lease;
        bool mayBeBound { false };
        // A release under this lease may take effect late, so the key must not be acquired under it again.
        PlatformLease releasedLease;
        bool hasUnansweredRelease { false };
        std::optional<QuotaBuckets> buckets;
        Instant heldSince;
        std::optional<Instant> releaseAt;
        InstanceId knownHolder;
        // When the store was read last, and whether it told no holder.
        Instant readAt;
        bool wasVacant { false };
    };

    bool isActive() const { return !m_isLeaving && !m_stopAt; }
    bool isProven(Instant now) const;
    // Returns an instant that is no earlier than the last grant of an earlier holder of a key that was acquired now.
    Instant lastEarlierGrant(Instant now) const;
    bool isWanted(Instant now, const Hold&) const;
    // Returns true if the holder was read recently, so that asking processes can be told without another read.
    bool knowsOtherHolder(Instant now, const Hold&) const;
    void tryHold(Turn&, uint32_t partition, Hold&);
    void acquire(Turn&, uint32_t partition, Hold&);
    // Requests the lease if there is none. A process that only learns who holds a partition needs none.
    bool hasLease(Turn&);
    void handleRead(Turn&, uint32_t partition, Hold&, const PlatformReply&);
    void handleAcquired(Turn&, uint32_t partition, Hold&, const PlatformReply&);
    void handleReleased(Turn&, Hold&, const PlatformReply&);
    void sendRelease(Turn&, uint32_t partition, Hold&);
    void leaseChanged(Turn&, HolderLease::Change);
    void loseHolds(Turn&, const std::string& reason);
    void finishStop(Turn&);
    // Returns nothing if this process can't tell the tenant's quota yet.
    std::optional<QuotaGrant> grant(Turn&, Hold&, const IncomingQuotaRequest&, const QuotaNeed&);
    void recordExceeded(Turn&, const Hold&, const Tenant&, const QuotaGrant&);
    void explain(Turn&, DecisionKind, std::string evidence) const;

    ProcessIncarnation m_self;
    const QuotaDirectory& m_directory;
    QuotaTerms m_terms;
    std::optional<HolderLease> m_lease;
    std::map<uint32_t, Hold> m_holds;
    std::vector<std::pair<uint32_t, InstanceId>> m_handoverWishes;
    // The store's era and since when this process knows it.
    uint64_t m_era { 0 };
    std::optional<Instant> m_eraSince;
    // The machine was suspended before this instant; only a lease that was renewed later counts.
    Instant m_suspendedUntil { Instant::min() };
    bool m_isLeaving { false };
    std::optional<Instant> m_stopAt;
    // When the store has probably received the end of the lease.
    std::optional<Instant> m_idleAt;
    std::optional<Instant> m_nextCheck;
    std::unordered_map<AccountId, Instant> m_exceededAt;
    QuotaHolderCounters m_counters;
};

}
