#pragma once

#include <LibDecision/Claims/HandoverInbox.h>
#include <LibDecision/Claims/HandoverOutbox.h>
#include <LibDecision/Claims/HolderDirectory.h>
#include <LibDecision/Claims/PartitionHold.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>
#include <LibModel/Profile.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// A ClaimRequest with the sidecar that sent it.
struct IncomingClaimRequest {
    ProcessIncarnation process;
    Endpoint control;
    ClaimRequest request;
};

// The holder's side: the partitions that this process holds or tries to hold, with their leases and claims.
class PartitionManager {
public:
    explicit PartitionManager(const ProcessIncarnation& self);
    // Not copyable, because each PartitionHold refers to the charts in this object.
    PartitionManager(const PartitionManager&) = delete;
    PartitionManager& operator=(const PartitionManager&) = delete;

    void start(Instant now);

    // Replies to a request. Returns std::nullopt if the request has to wait for the platform; takeReadyRequests()
    // returns it later. The last argument says whether the owner of an existing claim on the key is dead, restarted or
    // unknown.
    std::optional<ClaimReply> answer(Turn&, const IncomingClaimRequest&, const Profile&, bool isOwnerGone);
    std::vector<IncomingClaimRequest> takeReadyRequests() { return std::exchange(m_readyRequests, {}); }
    // Returns the sidecar that runs the first request of the key or keeps its outcome, if the key is claimed.
    std::optional<ProcessIncarnation> ownerOf(const ClaimRequest&) const;

    // Records the end of a claim and returns the confirmation, or NotHolder if this process can't record it.
    ClaimReply recordOutcome(Instant now, const ProcessIncarnation& sidecar, const ClaimOutcome&);
    void receive(Turn&, const ProcessIncarnation& from, const ClaimHandover&, const Profile&);
    // Handles the announcement of a partition's holder. Returns true if it supersedes the known holder.
    bool apply(Turn&, const ClaimHolder&);
    bool handleReply(Turn&, const PlatformReply&);

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    const HolderDirectory& directory() const { return m_directory; }
    // The partitions that this process holds, ordered by service and number.
    std::vector<PartitionId> heldPartitions() const;
    size_t claimCount() const;

    // Stops granting and releases every partition. Calls the function for each partition's successor, which may be
    // empty.
    template <typename ChooseSuccessor>
    void leave(Turn& turn, ChooseSuccessor choose)
    {
        beginLeaving(turn);
        for (const auto& id : knownPartitions())
            leavePartition(turn, id, choose(id));
        finishLeaving(turn);
    }
    bool isLeaving() const { return m_leaveBy.has_value(); }
    bool isIdle() const;
    // Returns the handover parts that have to be sent now.
    std::vector<OutgoingHandoverPart> takeHandoverParts(Instant now) { return m_outbox.takeDue(now); }

private:
    struct Entry {
        PartitionHold hold;
        // Time to live of the partition's lease. Profiles may differ in it; there is one lease for each value.
        Duration leaseTime { 0 };
        Duration retention { 0 };
        std::vector<IncomingClaimRequest> waitingRequests;
        // A leaving holder handed its claims over, and the attempt to hold the partition waits for the lease.
        bool isHandoverPending { false };
    };
    Entry& entryFor(const PartitionId&, const Profile&);
    HolderLease& leaseOf(const Entry& entry) { return m_leases.at(entry.leaseTime); }
    const HolderLease& leaseOf(const Entry& entry) const { return m_leases.at(entry.leaseTime); }
    HoldContext contextOf(const PartitionId&, const Entry&);
    void trackCall(const PartitionId&, const Entry&);

    std::optional<ClaimReply> answerWithoutHold(Turn&, const PartitionId&, Entry&, const IncomingClaimRequest&);
    ClaimReply answerAsHolder(Turn&, const PartitionId&, Entry&, const IncomingClaimRequest&, const Profile&, bool isOwnerGone);
    ClaimReply grantNewClaim(Turn&, const PartitionId&, Entry&, const IncomingClaimRequest&, const Profile&);
    ClaimReply reply(Instant now, const Entry&, const IncomingClaimRequest&, ClaimVerdict) const;
    void tryToHold(Turn&, const PartitionId&, Entry&);

    bool handleLeaseReply(Turn&, const PlatformReply&);
    void leaseChanged(Turn&, Duration leaseTime, HolderLease::Change);
    void attemptEnded(Turn&, const PartitionId&, Entry&);
    void announce(Turn&, const PartitionId&, Entry&);
    void releaseWaitingRequests(Entry&);

    std::vector<PartitionId> knownPartitions() const;
    void beginLeaving(Turn&);
    void leavePartition(Turn&, const PartitionId&, const InstanceId& successor);
    void finishLeaving(Turn&);
    void holdReleased(Turn&, const PartitionId&, Entry&);
    void retry(Turn&, const PartitionId&);
    void sweep(Instant now);

    ProcessIncarnation m_self;
    PartitionChart m_partitionChart;
    ClaimChart m_claimChart;
    Instant m_holdersKnownAt;
    HolderDirectory m_directory;
    HandoverInbox m_inbox;
    std::map<Duration, HolderLease> m_leases;
    std::unordered_map<PartitionId, Entry> m_partitions;
    std::unordered_map<PlatformTag, PartitionId> m_calls;
    std::vector<IncomingClaimRequest> m_readyRequests;
    std::optional<Instant> m_nextSweep;
    // Upper bound of the claims: those at the last sweep plus those granted since, some of which may have been freed.
    size_t m_claimCountUpperBound { 0 };

    std::optional<Instant> m_leaveBy;
    bool m_hasLeft { false };
    HandoverOutbox m_outbox;
    // Retries of attempts to hold a partition and, while leaving, of attempts to release it.
    TimerQueue<PartitionId> m_retryTimers;
};

}
