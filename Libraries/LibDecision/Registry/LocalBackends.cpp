#include <LibDecision/Registry/LocalBackends.h>

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    bool haveSameProperties(const BackendAnnouncement& first, const BackendAnnouncement& second)
    {
        return first.service == second.service && first.profile == second.profile && first.endpoint == second.endpoint
            && first.slots == second.slots && first.weight == second.weight;
    }

    DecisionKind kindOf(BackendLifecycleEvent event)
    {
        switch (event) {
        case BackendLifecycleEvent::Announced:
        case BackendLifecycleEvent::Ready:
            return DecisionKind::BackendAnnounced;
        case BackendLifecycleEvent::DrainRequested:
            return DecisionKind::BackendDraining;
        case BackendLifecycleEvent::Lapsed:
            return DecisionKind::BackendLapsed;
        case BackendLifecycleEvent::Drained:
        case BackendLifecycleEvent::Withdrawn:
            return DecisionKind::BackendGone;
        }
        return DecisionKind::BackendGone;
    }

}

LocalBackends::LocalBackends(const MemberRecord& self, const ProfileRegistry& profiles)
    : m_self(self)
    , m_profiles(profiles)
    , m_chart(loadChart<BackendPhase, BackendLifecycleEvent>(ChartFile::Backend))
{
}

void LocalBackends::handleTimer(Turn& turn)
{
    auto firstDue = m_timers.next().value_or(turn.now());
    bool wasPaused = turn.now() - firstDue > pauseTolerance;
    for (const auto& id : m_timers.takeDue(turn.now())) {
        auto& backend = m_backends.at(id);
        if (backend.phase == BackendPhase::Gone) {
            m_backends.erase(id);
            continue;
        }
        if (wasPaused)
            extendAnnouncement(backend, turn.now());
        expireOverdue(turn, backend);
        scheduleTimer(backend, turn.now());
    }
}

void LocalBackends::extendAnnouncement(LocalBackend& backend, Instant now)
{
    auto earliestAnnouncedAt = now + resumeGrace - lifecycle(backend).announcementLapse;
    backend.announcedAt = std::max(backend.announcedAt, earliestAnnouncedAt);
}

void LocalBackends::expireOverdue(Turn& turn, LocalBackend& backend)
{
    auto drainDeadline = m_drainDeadlines.find(backend.announcement.id);
    if (drainDeadline != m_drainDeadlines.end() && drainDeadline->second <= turn.now())
        transition(turn, backend, BackendLifecycleEvent::Drained, "drain-timeout passed while requests were running");

    auto silence = turn.now() - backend.announcedAt;
    if (silence >= lifecycle(backend).announcementLapse)
        transition(turn, backend, BackendLifecycleEvent::Lapsed, "no announcement for " + std::to_string(silence / 1ms) + " ms");
}

void LocalBackends::announce(Turn& turn, const BackendAnnouncement& announcement)
{
    forgetOldWithdrawals(turn.now());
    if (wasWithdrawnUnknown(announcement.id, announcement.incarnation) || hasSuccessor(announcement))
        return;
    endPredecessors(turn, announcement);
    auto entry = m_backends.find(announcement.id);
    if (entry == m_backends.end()) {
        // Who says that it leaves is heard until the end: the successor of this process may get an older announcement.
        bool saysItLeaves = announcement.phase == BackendPhase::Draining || announcement.phase == BackendPhase::Gone;
        if (m_isLeaving && !saysItLeaves)
            return;
        auto& backend = m_backends[announcement.id];
        restart(turn, backend, announcement);
        return;
    }

    auto& backend = entry->second;
    if (announcement.incarnation < backend.announcement.incarnation)
        return;
    if (announcement.incarnation > backend.announcement.incarnation) {
        restart(turn, backend, announcement);
        return;
    }
    backend.announcedAt = turn.now();
    bool hasChanged = !haveSameProperties(backend.announcement, announcement);
    backend.announcement = announcement;
    if (hasChanged && backend.phase != BackendPhase::Gone)
        publish(turn, backend);
    applyAnnouncedPhase(turn, backend, announcement.phase);
    scheduleTimer(backend, turn.now());
}

bool LocalBackends::hasSuccessor(const BackendAnnouncement& announcement) const
{
    return std::ranges::any_of(m_backends, [&](const auto& entry) {
        const auto& known = entry.second;
        return entry.first != announcement.id && known.phase != BackendPhase::Gone && known.announcement.endpoint == announcement.endpoint
            && known.announcement.incarnation > announcement.incarnation;
    });
}

void LocalBackends::endPredecessors(Turn& turn, const BackendAnnouncement& announcement)
{
    for (auto& [id, known] : m_backends) {
        bool isPredecessor = id != announcement.id && known.phase != BackendPhase::Gone && known.announcement.endpoint == announcement.endpoint
            && known.announcement.incarnation < announcement.incarnation;
        if (!isPredecessor)
            continue;
        known.wasReplacedUnannounced = !known.isLeavingForGood;
        endForGood(turn, known, "backend server " + announcement.id.value() + " was announced at its endpoint");
        scheduleTimer(known, turn.now());
    }
}

bool LocalBackends::drain(Turn& turn, const BackendId& id)
{
    auto entry = m_backends.find(id);
    if (entry == m_backends.end())
        return false;
    retire(turn, id, entry->second.announcement.incarnation, "drain requested");
    return true;
}

void LocalBackends::withdraw(Turn& turn, const BackendId& id, Incarnation latest)
{
    auto entry = m_backends.find(id);
    if (entry != m_backends.end()) {
        auto announcement = entry->second.announcement;
        announcement.phase = BackendPhase::Gone;
        announce(turn, announcement);
        return;
    }
    m_withdrawals.push_back({ id, latest, turn.now() });
    forgetOldWithdrawals(turn.now());
    DecisionEvent event;
    event.kind = DecisionKind::BackendGone;
    event.step = "announce";
    event.peer = m_self.instance.value();
    event.backend = id;
    event.evidence = "withdrawn before it was announced to this process, up to incarnation " + std::to_string(latest.value());
    turn.recordDecision(std::move(event));
}

bool LocalBackends::wasWithdrawnUnknown(const BackendId& id, Incarnation incarnation) const
{
    return std::ranges::any_of(m_withdrawals, [&](const Withdrawal& withdrawal) {
        return withdrawal.backend == id && incarnation <= withdrawal.latest;
    });
}

void LocalBackends::forgetOldWithdrawals(Instant now)
{
    while (m_withdrawals.size() > maximumWithdrawals || (!m_withdrawals.empty() && now - m_withdrawals.front().at >= withdrawalRetention))
        m_withdrawals.pop_front();
}

void LocalBackends::retire(Turn& turn, const BackendId& id, Incarnation incarnation, const std::string& evidence)
{
    auto entry = m_backends.find(id);
    if (entry == m_backends.end() || entry->second.announcement.incarnation != incarnation)
        return;
    auto& backend = entry->second;
    bool isNews = !std::exchange(backend.isLeavingForGood, true);
    auto phase = backend.phase;
    startDrain(turn, backend, evidence);
    // The fleet may know it as one whose sidecar leaves.
    if (isNews && backend.phase == phase)
        publish(turn, backend);
}

void LocalBackends::startDrain(Turn& turn, LocalBackend& backend, const std::string& evidence)
{
    backend.isLeaving = true;
    transition(turn, backend, BackendLifecycleEvent::DrainRequested, evidence);
    scheduleTimer(backend, turn.now());
}

void LocalBackends::drainAll(Turn& turn)
{
    m_isLeaving = true;
    for (const auto* known : all()) {
        auto& backend = m_backends.at(known->announcement.id);
        if (backend.phase != BackendPhase::Gone)
            startDrain(turn, backend, "the process leaves");
    }
}

void LocalBackends::drained(Turn& turn, const BackendId& id)
{
    auto entry = m_backends.find(id);
    if (entry == m_backends.end() || entry->second.phase != BackendPhase::Draining)
        return;
    transition(turn, entry->second, BackendLifecycleEvent::Drained, "no requests left");
    scheduleTimer(entry->second, turn.now());
}

void LocalBackends::supersede(Turn& turn, const BackendRecord& record)
{
    if (record.sidecar == m_self.instance)
        return;
    auto entry = m_backends.find(record.id);
    if (entry == m_backends.end() || record.incarnation <= entry->second.announcement.incarnation)
        return;

    // The other sidecar's record is the valid one. Nothing is published here, because a record of this process would
    // only compete with it.
    auto& backend = entry->second;
    if (backend.phase == BackendPhase::Gone)
        return;
    backend.phase = m_chart.next(backend.phase, BackendLifecycleEvent::Withdrawn);
    backend.isLeaving = true;
    m_drainDeadlines.erase(record.id);
    m_changed.insert(record.id);
    explain(turn, backend, DecisionKind::BackendMoved, "announced to sidecar " + record.sidecar.value() + " with incarnation " + std::to_string(record.incarnation.value()));
    scheduleTimer(backend, turn.now());
}

const LocalBackend* LocalBackends::find(const BackendId& id) const
{
    auto entry = m_backends.find(id);
    return entry == m_backends.end() ? nullptr : &entry->second;
}

std::vector<const LocalBackend*> LocalBackends::all() const
{
    std::vector<const LocalBackend*> backends;
    backends.reserve(m_backends.size());
    for (const auto& [id, backend] : m_backends)
        backends.push_back(&backend);
    std::ranges::sort(backends, {}, [](const LocalBackend* backend) { return backend->announcement.id; });
    return backends;
}

std::vector<BackendId> LocalBackends::takeChanged()
{
    std::vector<BackendId> changed(m_changed.begin(), m_changed.end());
    m_changed.clear();
    std::ranges::sort(changed);
    return changed;
}

void LocalBackends::restart(Turn& turn, LocalBackend& backend, const BackendAnnouncement& announcement)
{
    backend.announcement = announcement;
    backend.announcedAt = turn.now();
    backend.isLeaving = false;
    backend.isLeavingForGood = false;
    backend.hasServed = false;
    backend.wasReplacedUnannounced = false;
    backend.phase = m_chart.initial();
    m_drainDeadlines.erase(announcement.id);
    publish(turn, backend);
    explain(turn, backend, DecisionKind::BackendAnnounced, "incarnation " + std::to_string(announcement.incarnation.value()) + " with " + std::to_string(announcement.slots) + " slots");
    bool isDrainedByProcess = m_isLeaving && announcement.phase != BackendPhase::Gone;
    applyAnnouncedPhase(turn, backend, isDrainedByProcess ? BackendPhase::Draining : announcement.phase);
    scheduleTimer(backend, turn.now());
}

void LocalBackends::applyAnnouncedPhase(Turn& turn, LocalBackend& backend, BackendPhase announced)
{
    switch (announced) {
    case BackendPhase::Warming:
    case BackendPhase::Serving:
        if (backend.phase == BackendPhase::Gone && !backend.isLeaving)
            transition(turn, backend, BackendLifecycleEvent::Announced, "announced again after a lapse");
        if (announced == BackendPhase::Serving)
            transition(turn, backend, BackendLifecycleEvent::Ready, "announced as ready");
        return;
    case BackendPhase::Draining:
        if (backend.announcement.phase == BackendPhase::Draining)
            retire(turn, backend.announcement.id, backend.announcement.incarnation, "announced as draining");
        else
            startDrain(turn, backend, "the process leaves");
        return;
    case BackendPhase::Gone:
        endForGood(turn, backend, "announced as gone");
        return;
    }
}

void LocalBackends::endForGood(Turn& turn, LocalBackend& backend, const std::string& evidence)
{
    backend.isLeaving = true;
    bool isNews = !std::exchange(backend.isLeavingForGood, true);
    auto phase = backend.phase;
    transition(turn, backend, BackendLifecycleEvent::Withdrawn, evidence);
    // The fleet may know it as one that only lapsed.
    if (isNews && backend.phase == phase)
        publish(turn, backend);
}

void LocalBackends::transition(Turn& turn, LocalBackend& backend, BackendLifecycleEvent event, const std::string& evidence)
{
    auto phase = m_chart.next(backend.phase, event);
    if (phase == backend.phase)
        return;
    backend.phase = phase;
    if (phase == BackendPhase::Serving && !std::exchange(backend.hasServed, true))
        backend.servingSince = turn.now();
    m_drainDeadlines.erase(backend.announcement.id);
    if (phase == BackendPhase::Draining)
        m_drainDeadlines[backend.announcement.id] = turn.now() + lifecycle(backend).drainTimeout;
    publish(turn, backend);
    explain(turn, backend, kindOf(event), evidence);
}

void LocalBackends::publish(Turn& turn, LocalBackend& backend)
{
    const auto& announcement = backend.announcement;
    backend.version = ++m_lastVersion;
    m_changed.insert(announcement.id);

    BackendRecord record;
    record.id = announcement.id;
    record.service = announcement.service;
    record.profile = announcement.profile;
    record.sidecar = m_self.instance;
    record.sidecarIncarnation = m_self.incarnation;
    record.incarnation = announcement.incarnation;
    record.version = backend.version;
    record.slots = announcement.slots;
    record.weight = announcement.weight;
    record.phase = backend.phase;
    record.isLeaving = backend.isLeavingForGood;
    turn.spread(record, Urgency::Immediate);
}

void LocalBackends::explain(Turn& turn, const LocalBackend& backend, DecisionKind kind, const std::string& evidence) const
{
    const auto& announcement = backend.announcement;
    DecisionEvent event;
    event.kind = kind;
    event.step = "announce";
    event.peer = announcement.endpoint.toString();
    event.service = announcement.service;
    event.backend = announcement.id;
    event.profile = announcement.profile;
    event.revision = m_profiles.revision(announcement.profile);
    event.evidence = evidence;
    turn.recordDecision(std::move(event));
}

void LocalBackends::scheduleTimer(const LocalBackend& backend, Instant now)
{
    const auto& id = backend.announcement.id;
    if (backend.phase == BackendPhase::Gone) {
        m_timers.set(id, now + goneRetention);
        return;
    }
    auto due = backend.announcedAt + lifecycle(backend).announcementLapse;
    auto drainDeadline = m_drainDeadlines.find(id);
    if (drainDeadline != m_drainDeadlines.end())
        due = std::min(due, drainDeadline->second);
    m_timers.set(id, due);
}

const LifecyclePolicy& LocalBackends::lifecycle(const LocalBackend& backend) const
{
    return m_profiles.profile(backend.announcement.profile).lifecycle;
}

}
