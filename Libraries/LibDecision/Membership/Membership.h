#pragma once

#include <LibDecision/Membership/AntiEntropy.h>
#include <LibDecision/Membership/Dissemination.h>
#include <LibDecision/Membership/MemberTable.h>
#include <LibDecision/Membership/PathTable.h>
#include <LibDecision/Membership/ProbeBook.h>
#include <LibDecision/Membership/ProbeSchedule.h>
#include <LibDecision/Membership/SyncSession.h>
#include <LibDecision/Turn.h>

#include <optional>
#include <unordered_set>
#include <vector>

namespace Decision {

struct MembershipOptions {
    // How this process presents itself.
    MemberRecord self;
    // Control endpoints to join through.
    std::vector<Endpoint> seeds;
};

// What membership has sent and received since the process started. Bytes are estimates from above.
struct MembershipCounters {
    uint64_t messagesSent { 0 };
    uint64_t bytesSent { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t bytesReceived { 0 };
};

// Detects failures of processes by probing, with suspicion and refutation, and passes on rumors of every kind.
// "I can't reach it" steers only this process's routing; "nobody hears it" changes the member's state.
//
// Every probe interval one member is pinged; one that doesn't answer is pinged again, also through three others. If
// nobody reaches it, it is suspected, and all hear so. It has a time that grows with the logarithm of the fleet's
// size to refute that by a higher incarnation; then it counts as dead.
class Membership {
public:
    explicit Membership(MembershipOptions);

    void start(Turn&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // Handles Ping, Ack, IndirectPing, IndirectAck, Gossip, Join, SyncDigest and SyncRecords. Returns the rumors that
    // it brought, except for member records, which it applies itself, and for those already known. Ignores other
    // messages.
    std::vector<Rumor> receive(Turn&, const Message&);
    void sendFailed(Turn&, const Endpoint&);

    // Takes news for dissemination and keeps the latest record of each kind and key for anti-entropy.
    void spread(Turn&, const std::vector<SpreadRumor>&);

    // Returns true if the record was news; it is then kept and spread.
    bool apply(Turn&, const MemberRecord&);
    void addSeeds(const std::vector<Endpoint>&);
    // Requests to the member fail: probes it now instead of in its turn.
    void doubtPath(Turn&, const InstanceId&);

    // Says that this process leaves; it stays reachable until it exits.
    void leave(Turn&);

    const MemberRecord& self() const { return m_members.self(); }
    // Gives nothing if the process was never heard of or is forgotten.
    const MemberRecord* find(const InstanceId&) const;
    // True if this process can reach the other now, as far as it knows. True for itself.
    bool isReachable(const InstanceId&) const;
    // Alive and suspect members, this process included, ordered by name.
    const std::vector<InstanceId>& liveMembers() const { return m_members.live(); }
    std::vector<const MemberRecord*> allMembers() const { return m_members.all(); }

    // True until the first exchange of all records with another process is over.
    bool isCatchingUp() const { return m_isCatchingUp; }
    const MembershipCounters& counters() const { return m_counters; }
    // Bytes of rumors that wait to be passed on.
    size_t queuedBytes() const { return m_dissemination.bytes(); }
    // Records kept for anti-entropy.
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
    void notePause(Turn&);

    void handle(Turn&, const Message&, const Ping&);
    void handle(Turn&, const Message&, const Ack&);
    void handle(Turn&, const Message&, const IndirectPing&);
    void handle(Turn&, const Message&, const IndirectAck&);
    void handle(Turn&, const Message&, const Gossip&);
    void handle(Turn&, const Message&, const Join&);
    void handle(Turn&, const Message&, const SyncDigest&);
    void handle(Turn&, const Message&, const SyncRecords&);

    std::vector<Rumor> takeNews(Turn&, const Message&);
    bool isKnown(const Rumor&, uint64_t contentHash);

    void probeNext(Turn&);
    void startProbe(Turn&, const InstanceId&);
    void sendPing(Turn&, const InstanceId&, uint64_t sequence);
    void askOthers(Turn&, const DueProbe&);
    void judge(Turn&, const DueProbe&);
    void probeAnswered(Turn&, const InstanceId&);
    void pathFailed(Turn&, const InstanceId&, bool nobodyReachesIt);
    void handleDueProbes(Turn&);
    void handleExpiredSuspicions(Turn&);
    // Rumors to ride on a ping or its answer, with what the receiver itself is accused of.
    std::vector<Rumor> rumorsFor(Turn&, const InstanceId&);

    void considerOwnRecord(Turn&, const MemberRecord&);
    void explainChange(Turn&, const MemberRecord&, std::optional<MemberState> before);

    void gossipSoon(Turn&);
    void gossip(Turn&);
    // Whether news goes to every member at once.
    bool isDirect() const;
    // Puts the rumor into the next message to all. Returns false if there is no room for it.
    bool tellAll(const Rumor&);
    std::vector<InstanceId> reachablePeers() const;
    void sendGossip(Turn&, const std::vector<InstanceId>& targets, const std::vector<Rumor>&);
    std::vector<InstanceId> drawGossipTargets(Turn&);

    void join(Turn&);
    void reconnect(Turn&);
    std::optional<Endpoint> drawUnknownSeed(Turn&) const;

    bool isYoung(const Turn&) const;
    void boundSession(Turn&, std::vector<uint32_t>& buckets) const;
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
    ProbeBook m_probes;
    Dissemination m_dissemination;
    AntiEntropy m_records;
    SyncSession m_sync;
    TimerQueue<Timer> m_timers;
    MembershipCounters m_counters;
    // Records that a joiner fetched; everybody else knows them, so they aren't passed on.
    std::unordered_set<uint64_t> m_fetchedRecords;
    // What the message at hand brought: its sender, or somebody before it, told it to the others.
    std::unordered_set<uint64_t> m_heardRecords;
    // What this process tells every member of a small fleet with its next message.
    std::vector<Rumor> m_newsForAll;
    size_t m_newsForAllBytes { 0 };
    bool m_isCatchingUp { true };
    bool m_syncFoundDifference { false };
    bool m_awaitsDigest { false };
    uint32_t m_digestTries { 0 };
    Duration m_joinBackoff { 0 };
    Instant m_startedAt {};
    Instant m_announcedAt {};
    Instant m_lastGossip {};
    Instant m_gossipAllowanceAt {};
    double m_gossipAllowance { 0 };
    // Grows while this process's own probes fail and shrinks as they are answered: the fault may be here.
    uint32_t m_ownDoubt { 0 };
};

}
