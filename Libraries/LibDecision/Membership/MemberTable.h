#pragma once

#include <LibDecision/Charts.h>
#include <LibDecision/Membership/PeerSet.h>
#include <LibDecision/Message.h>
#include <LibDecision/TimerQueue.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// Events of the state chart of a member, Charts/member.yaml.
enum class MemberEvent {
    SuspectHeard,
    LeaveHeard,
    DeathHeard,
    Refuted,
    SuspicionExpired,
    Left,
    Rejoined,
};

}

template <>
struct Model::EnumNames<Decision::MemberEvent> {
    static constexpr std::array entries {
        EnumName { Decision::MemberEvent::SuspectHeard, "suspect-heard" },
        EnumName { Decision::MemberEvent::LeaveHeard, "leave-heard" },
        EnumName { Decision::MemberEvent::DeathHeard, "death-heard" },
        EnumName { Decision::MemberEvent::Refuted, "refuted" },
        EnumName { Decision::MemberEvent::SuspicionExpired, "suspicion-expired" },
        EnumName { Decision::MemberEvent::Left, "left" },
        EnumName { Decision::MemberEvent::Rejoined, "rejoined" },
    };
};

namespace Decision {

struct Member {
    MemberRecord record;
    // When the current suspicion timeout began; it begins again when the suspicion is prolonged.
    Instant suspicionBeganAt {};
    // When the last message from the member itself arrived.
    Instant lastContactAt {};
};

// The result of merging a record into the table.
struct MemberChange {
    bool wasApplied { false };
    // The member's previous state; std::nullopt if it was unknown or the record was not applied.
    std::optional<MemberState> before;
};

// The latest record of each member, and the suspicion and retention timers that go with its state. A record with a
// higher incarnation replaces the known one; within an incarnation, only the transitions of the state chart apply. Dead
// members are retained for a while, so that stale rumors can't revive them.
class MemberTable {
public:
    explicit MemberTable(const MemberRecord& self);

    MemberChange merge(Instant now, const MemberRecord&);
    // Returns the record that the member would have after the event, or std::nullopt if the member is unknown or its
    // state has no transition for the event.
    std::optional<MemberRecord> recordAfter(const InstanceId&, MemberEvent) const;
    void recordContact(Instant now, const InstanceId&);

    const MemberRecord& self() const { return m_members.at(m_self).record; }
    const Member* find(const InstanceId&) const;
    // Returns nullptr if no member has this control endpoint.
    const Member* findByControl(const Endpoint&) const;
    std::vector<const MemberRecord*> all() const;

    // Alive and suspect members including this process, sorted by instance.
    const std::vector<InstanceId>& live() const { return m_live; }
    // All members except this process and the dead ones.
    const PeerSet& peers() const { return m_peers; }
    const PeerSet& zonePeers() const { return m_zonePeers; }
    const PeerSet& dead() const { return m_dead; }

    // Starts the suspicion timer of a suspect or leaving member, unless it is already running.
    void startSuspicion(Instant now, const InstanceId&);
    void extendSuspicions(Instant now);
    std::vector<InstanceId> takeExpiredSuspicions(Instant now) { return m_suspicions.takeDue(now); }
    void removeExpiredDead(Instant now);
    std::optional<Instant> nextTimer() const { return earliest(m_suspicions.next(), m_retentions.next()); }

    Duration suspicionTimeout() const;

private:
    bool supersedes(const MemberRecord& received, const MemberRecord& known) const;
    void index(const MemberRecord&);
    void removeFromIndexes(const MemberRecord&);
    void setTimers(Instant now, const MemberRecord&);

    InstanceId m_self;
    ZoneName m_selfZone;
    TypedChart<MemberState, MemberEvent> m_chart;
    std::unordered_map<InstanceId, Member> m_members;
    std::map<Endpoint, InstanceId> m_byControl;
    std::vector<InstanceId> m_live;
    PeerSet m_peers;
    PeerSet m_zonePeers;
    PeerSet m_dead;
    TimerQueue<InstanceId> m_suspicions;
    TimerQueue<InstanceId> m_retentions;
};

}
