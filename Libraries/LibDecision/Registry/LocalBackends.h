#pragma once

#include <LibDecision/Charts.h>
#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Registry/BackendLifecycle.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Decision {

// A backend server that announced itself to this process.
struct LocalBackend {
    BackendAnnouncement announcement;
    BackendPhase phase { BackendPhase::Warming };
    uint64_t version { 0 };
    Instant servingSince;
    Instant announcedAt;
    // True once a drain was requested or the backend server announced that it leaves. This incarnation then never
    // serves again; a higher one may.
    bool isLeaving { false };
    // True if it is this incarnation that leaves, rather than this process.
    bool isLeavingForGood { false };
    // True once this incarnation has served. It is treated as warm from then on, also after its announcement lapsed.
    bool hasServed { false };
    // True if another one was announced at its endpoint before it had said that it leaves.
    bool wasReplacedUnannounced { false };

    // Whether its process ended without a word: it lapsed, or another one took its place.
    bool hasEndedUnannounced() const { return phase == BackendPhase::Gone && (!isLeaving || wasReplacedUnannounced); }
};

// The backend servers of which this process is the sidecar. Publishes their records, and expires those that stop
// announcing themselves.
class LocalBackends {
public:
    // Gone backend servers are kept for this time, so that late announcements of the same incarnation are recognised.
    static constexpr Duration goneRetention = 10min;

    // Announcements aren't delayed for longer than this. If an incarnation is mistaken for one that was withdrawn, because
    // the clock was set back, it serves after this time.
    static constexpr Duration withdrawalRetention = 1min;
    // Maximum number of withdrawals of unknown backend servers remembered; the oldest one is forgotten first.
    static constexpr size_t maximumWithdrawals = 256;

    // If a timer fires later than this, the process itself was paused.
    static constexpr Duration pauseTolerance = 1s;
    // Time after such a pause in which a renewal may still arrive before an announcement lapses.
    static constexpr Duration resumeGrace = 2s;

    LocalBackends(const MemberRecord& self, const ProfileRegistry&);

    // The incarnation of this process at its start, which its backend servers' records carry as sidecarIncarnation.
    Incarnation startIncarnation() const { return m_self.incarnation; }

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    void handleTimer(Turn&);

    // Takes a first announcement or a renewal. One with a lower incarnation than the known one is ignored. A backend server
    // that is announced at the endpoint of another one with a lower incarnation has replaced that one.
    void announce(Turn&, const BackendAnnouncement&);
    // Starts to drain one backend server. Returns false if it is unknown.
    bool drain(Turn&, const BackendId&);
    // Takes a withdrawal. That of a backend server that is unknown here is remembered, since announcements from before it may
    // still arrive; it means all incarnations up to the latest one.
    void withdraw(Turn&, const BackendId&, Incarnation latest);
    // True if this incarnation withdrew before it was announced to this process.
    bool wasWithdrawnUnknown(const BackendId&, Incarnation) const;
    // Starts to drain the backend server if this incarnation is known here: it was heard to leave for good.
    void retire(Turn&, const BackendId&, Incarnation, const std::string& evidence);
    // Starts to drain all backend servers because this process leaves. Later announcements of unknown ones are ignored.
    void drainAll(Turn&);
    // Must be called when a draining backend server has no requests left; its phase becomes Gone.
    void drained(Turn&, const BackendId&);
    // Takes another sidecar's record. If its incarnation is higher than the local one, the local backend server becomes
    // Gone without a published record; any other record is ignored.
    void supersede(Turn&, const BackendRecord&);

    // Returns nullptr if the backend server is unknown. Gone ones are found for the time of goneRetention.
    const LocalBackend* find(const BackendId&) const;
    // All known backend servers, including gone ones, ordered by id.
    std::vector<const LocalBackend*> all() const;
    // Returns the backend servers that changed since the last call, ordered by id; SidecarAdmission::backendChanged()
    // must be called for each.
    std::vector<BackendId> takeChanged();

private:
    struct Withdrawal {
        BackendId backend;
        Incarnation latest;
        Instant at;
    };

    void forgetOldWithdrawals(Instant now);
    // Returns true if a backend server with a higher incarnation is known at the endpoint, so that the announcement is late.
    bool hasSuccessor(const BackendAnnouncement&) const;
    // Ends the backend servers that this one has replaced at its endpoint.
    void endPredecessors(Turn&, const BackendAnnouncement&);
    void startDrain(Turn&, LocalBackend&, const std::string& evidence);
    void endForGood(Turn&, LocalBackend&, const std::string& evidence);
    void extendAnnouncement(LocalBackend&, Instant now);
    void expireOverdue(Turn&, LocalBackend&);
    void restart(Turn&, LocalBackend&, const BackendAnnouncement&);
    void applyAnnouncedPhase(Turn&, LocalBackend&, BackendPhase announced);
    void transition(Turn&, LocalBackend&, BackendLifecycleEvent, const std::string& evidence);
    void publish(Turn&, LocalBackend&);
    void explain(Turn&, const LocalBackend&, DecisionKind, const std::string& evidence) const;
    void scheduleTimer(const LocalBackend&, Instant now);
    const LifecyclePolicy& lifecycle(const LocalBackend&) const;

    MemberRecord m_self;
    const ProfileRegistry& m_profiles;
    TypedChart<BackendPhase, BackendLifecycleEvent> m_chart;
    std::unordered_map<BackendId, LocalBackend> m_backends;
    std::unordered_map<BackendId, Instant> m_drainDeadlines;
    // Of backend servers that were unknown at the time, oldest first.
    std::deque<Withdrawal> m_withdrawals;
    TimerQueue<BackendId> m_timers;
    std::unordered_set<BackendId> m_changed;
    // Shared by all backend servers, so that no version is used twice even after a backend server has been removed.
    uint64_t m_lastVersion { 0 };
    bool m_isLeaving { false };
};

}
