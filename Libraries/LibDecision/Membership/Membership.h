#pragma once

#include <LibDecision/Membership/AntiEntropy.h>
#include <LibDecision/Membership/Dissemination.h>
#include <LibDecision/Membership/MemberTable.h>
#include <LibDecision/Membership/PathTable.h>
#include <LibDecision/Membership/PendingProbes.h>
#include <LibDecision/Membership/ProbeSchedule.h>
#include <LibDecision/Membership/SyncSession.h>
#include <LibDecision/Membership/ZoneDistances.h>
#include <LibDecision/Turn.h>

#include <optional>
#include <unordered_set>
#include <vector>

namespace Decision {

struct MembershipOptions {
    // The record that this process announces for itself.
    MemberRecord self;
    // Control endpoints to join through.
    std::vector<Endpoint> seeds;
};

// Messages and bytes that membership has sent and received since the process started. Bytes are upper estimates.
struct MembershipCounters {
    uint64_t messagesSent { 0 };
    uint64_t bytesSent { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t bytesReceived { 0 };
};

// Detects failed processes by probing, with suspicion and refutation, and disseminates rumors of every kind. A path
// that fails between this process and a member affects only this process's routing; a member that answers neither
// direct nor indirect probes changes its state in the whole fleet.
//
// Every probe interval one member is pinged. If it doesn't answer, it is pinged again, both directly and through up to
// three other members. If none of these pings is answered, the member is suspected and the suspicion is disseminated.
// The member can refute it with a higher incarnation within a timeout that grows with the logarithm of the fleet size;
// after that it is declared dead.
class Membership {
public:
    explicit Membership(MembershipOptions);

    void start(Turn&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // Handles Ping, Ack, IndirectPing, IndirectAck, Gossip, Join, SyncDigest and SyncRecords; ignores other messages.
    // Applies the new member records in the message and returns its other new rumors.
    std::vector<Rumor> receive(Turn&, const Message&);
    void sendFailed(Turn&, const Endpoint&);

    // Queues rumors for dissemination and stores the latest record of each kind and key for anti-entropy.
    void spread(Turn&, const std::vector<SpreadRumor>&);

    // Returns true if the record changed the member table; it is then disseminated. Returns false for a record about
    // this process, which is refuted unless it is stale or equals the process's own record.
    bool apply(Turn&, const MemberRecord&);
    // Takes endpoints that were read from the platform, and joins those that it doesn't know at once if it has peers.
    void addSeeds(Turn&, const std::vector<Endpoint>&);
    // Probes the member at once instead of in its turn because requests to it fail, unless its path is already lost.
    void probeNow(Turn&, const InstanceId&);

    // Announces that this process is leaving; it stays reachable until it exits.
    void leave(Turn&);

    const MemberRecord& self() const { return m_members.self(); }
    // Returns nullptr if the process is unknown or was removed after its retention as a dead member.
    const MemberRecord* find(const InstanceId&) const;
    // True if the member is known and not dead and the path to it is not lost. True for this process itself.
    bool isReachable(const InstanceId&) const;
    // Returns the shortest round trip to the processes of a zone; nullopt if none was measured yet.
    std::optional<Duration> roundTripTo(const ZoneName& zone) const { return m_distances.roundTripTo(zone); }
    // Alive and suspect members including this process, sorted by instance.
    const std::vector<InstanceId>& liveMembers() const { return m_members.live(); }
    std::vector<const MemberRecord*> allMembers() const { return m_members.all(); }

    // True until the first sync with another process, which exchanges all records, is complete.
    bool isCatchingUp() const { return m_isCatchingUp; }
    const MembershipCounters& counters() const { return m_counters; }
    // Upper estimate of the bytes of the rumors that are queued for dissemination.
    size_t queuedBytes() const { return m_dissemination.bytes(); }
    // Number of records stored for anti-entropy.
    size_t recordCount() const { return m_records.size(); }

private:
    enum class Timer {
        Probe,
        Gossip,
        Join,
        Sync,
        SyncRetry,
        Reconnect,
    };

    void handle(Turn&, Timer);
    void detectPause(Turn&);

    void handle(Turn&, const Message&, const Ping&);
    void handle(Turn&, const Message&, const Ack&);
    void handle(Turn&, const Message&, const IndirectPing&);
    void handle(Turn&, const Message&, const IndirectAck&);
    void handle(Turn&, const Message&, const Gossip&);
    void handle(Turn&, const Message&, const Join&);
    void handle(Turn&, const Message&, const SyncDigest&);
    void handle(Turn&, const Message&, const SyncRecords&);

    std::vector<Rumor> takeNewRumors(Turn&, const Message&);
    bool isKnown(const Rumor&, uint64_t contentHash);

    void probeNext(Turn&);
    void startProbe(Turn&, const InstanceId&);
    void sendPing(Turn&, const InstanceId&, uint64_t sequence);
    void sendIndirectPings(Turn&, const DueProbe&);
    void concludeProbe(Turn&, const DueProbe&);
    void probeAnswered(Turn&, const InstanceId&);
    void pathFailed(Turn&, const InstanceId&, bool isUnanswered);
    void handleDueProbes(Turn&);
    void handleExpiredSuspicions(Turn&);
    // Rumors to piggyback on a ping or ack. They include the receiver's record if it is suspect or dead, so that the
    // receiver can refute it, and for a while after a change, or after an outdated copy arrived, this process's own record.
    std::vector<Rumor> rumorsFor(Turn&, const InstanceId&);

    void handleOwnRecord(Turn&, const MemberRecord&);
    void explainChange(Turn&, const MemberRecord&, std::optional<MemberState> before);

    void scheduleGossip(Turn&);
    void gossip(Turn&);
    // True if the fleet is small enough to broadcast new rumors to every member.
    bool usesBroadcast() const;
    // Adds the rumor to the next broadcast. Returns false if it doesn't fit.
    bool queueForBroadcast(const Rumor&);
    std::vector<InstanceId> reachablePeers() const;
    void sendGossip(Turn&, const std::vector<InstanceId>& targets, const std::vector<Rumor>&);
    std::vector<InstanceId> drawGossipTargets(Turn&);

    void addSeeds(const std::vector<Endpoint>&);
    void join(Turn&);
    void reconnect(Turn&);
    std::optional<Endpoint> drawUnknownSeed(Turn&) const;

    bool isRecentlyStarted(const Turn&) const;
    void limitSessionSize(Turn&, std::vector<uint32_t>& buckets) const;
    void beginSync(Turn&);
    void sendDigest(Turn&);
    void continueSync(Turn&);
    void retrySync(Turn&);
    void finishSync(Turn&);
    void sendRecords(Turn&, const SyncPeer&, std::vector<uint32_t> buckets, const std::vector<Rumor>& records, bool wantsAnswer);
    std::optional<SyncPeer> drawSyncPeer(Turn&) const;

    void send(Turn&, const InstanceId&, const Endpoint&, MessageBody);
    void send(Turn&, const InstanceId&, MessageBody);

    std::vector<Endpoint> m_seeds;
    MemberTable m_members;
    PathTable m_paths;
    ProbeSchedule m_schedule;
    PendingProbes m_probes;
    ZoneDistances m_distances;
    Dissemination m_dissemination;
    AntiEntropy m_records;
    SyncSession m_sync;
    TimerQueue<Timer> m_timers;
    MembershipCounters m_counters;
    // Content hashes of the new records that the current message brought during the first sync. The other members know
    // them, so they aren't disseminated.
    std::unordered_set<uint64_t> m_fetchedRecords;
    // Content hashes of the new rumors in the current message. The sender of the message, or an earlier sender,
    // broadcasts them, so this process doesn't.
    std::unordered_set<uint64_t> m_receivedRecords;
    // Rumors of the next broadcast to all reachable members; used in small fleets only.
    std::vector<Rumor> m_broadcastRumors;
    size_t m_broadcastBytes { 0 };
    bool m_isCatchingUp { true };
    bool m_syncFoundDifference { false };
    bool m_awaitsDigest { false };
    uint32_t m_digestTries { 0 };
    Duration m_joinBackoff { 0 };
    Instant m_startedAt {};
    Instant m_announcedAt {};
    Instant m_lastGossip {};
    Instant m_gossipAllowanceUpdatedAt {};
    double m_gossipAllowance { 0 };
    // Grows when a probe of this process gets no answer and shrinks when one is answered, since the fault may lie with
    // this process. Probe timeouts are multiplied by one plus this value.
    uint32_t m_localHealthMultiplier { 0 };
};

}
