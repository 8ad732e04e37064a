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

// A question for a claim, with who asked.
struct IncomingClaimRequest {
    ProcessIncarnation process;
    Endpoint control;
    ClaimRequest request;
};

// The holder's side: the partitions that this process holds or tries to, their leases and their claims.
class PartitionManager {
public:
    explicit PartitionManager(const ProcessIncarnation& self);
    // Its partitions refer to its charts.
    PartitionManager(const PartitionManager&) = delete;
    PartitionManager& operator=(const PartitionManager&) = delete;

    void start(Instant now);

    // Answers a question, or gives nothing if it has to wait for the platform; takeAnswerable() gives it back then.
    // The last argument tells whether the process is gone that runs or ran the key's first request.
    std::optional<ClaimReply> answer(Turn&, const IncomingClaimRequest&, const Profile&, bool isOwnerGone);
    std::vector<IncomingClaimRequest> takeReadyRequests() { return std::exchange(m_readyRequests, {}); }
    // Who runs the key's first request or keeps its outcome.
    std::optional<ProcessIncarnation> ownerOf(const ClaimRequest&) const;

    // Records the end of a claim and confirms it. Gives NotHolder if this process can't record it.
    ClaimReply recordOutcome(Instant now, const ProcessIncarnation& sidecar, const ClaimOutcome&);
    void receive(Turn&, const ProcessIncarnation& from, const ClaimHandover&, const Profile&);
    // Another process said that it holds a partition. Returns true if that is news.
    bool apply(Turn&, const ClaimHolder&);
    bool handleReply(Turn&, const PlatformReply&);

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    const HolderDirectory& directory() const { return m_directory; }
    // Partitions whose claims this process holds, ordered by name.
    std::vector<PartitionId> heldPartitions() const;
    size_t claimCount() const;

    // Stops granting. The successor of each partition comes from the function and may be empty.
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
    // Handovers that have to be sent now.
    std::vector<OutgoingHandoverPart> takeHandoverParts(Instant now) { return m_outbox.takeDue(now); }

private:
    struct Entry {
        PartitionHold hold;
        // Picks the lease, so that profiles may differ in its length.
        Duration leaseTime { 0 };
        Duration retention { 0 };
        std::vector<IncomingClaimRequest> waitingRequests;
        // A leaving holder handed its claims over, and the lease isn't granted yet.
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
    // Claims at the last sweep and those taken since, some of which may be freed already.
    size_t m_claimCountUpperBound { 0 };

    std::optional<Instant> m_leaveBy;
    bool m_hasLeft { false };
    HandoverOutbox m_outbox;
    // Repeats what this process has to do for a partition, while it holds it and while it leaves.
    TimerQueue<PartitionId> m_retryTimers;
};

}
