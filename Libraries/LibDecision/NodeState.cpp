#include <LibDecision/NodeState.h>

#include <LibDecision/Admission/RequestPriority.h>
#include <LibDecision/Rendezvous.h>

#include <algorithm>
#include <initializer_list>
#include <iterator>

namespace Decision {

namespace {

    // Minimum time that a leaving process stays, so that the other processes learn of it before its port is closed.
    constexpr auto minimumLeaveTime = std::chrono::milliseconds(500);
    // Reports told to a process that begins a sync.
    constexpr size_t maximumCrashReportsTold = 64;

}

NodeState::NodeState(const NodeOptions& options)
    : m_random(options.randomSeed)
    , m_leaveTimeout(options.leaveTimeout)
    , m_leaveNotice(options.leaveNotice)
    , m_profiles(options.defaultProfile)
    , m_membership({ options.self, options.seeds })
    , m_configuration(options.routing, options.self, m_membership, m_profiles)
    , m_routes(options.routing, options.self, m_membership, m_profiles)
    , m_configurationProof(options.tenants, options.self, m_membership, m_routes)
    , m_localBackends(options.self, m_profiles)
    , m_health(options.self, m_registry, m_profiles)
    , m_router(m_membership, m_registry, m_health, m_profiles)
    , m_claims(options.self, m_membership, m_registry, m_profiles)
    , m_admission(m_localBackends, m_profiles, m_crashGuard, m_claims, m_health)
    , m_calls(m_router, m_health, m_crashGuard, m_registry, m_profiles, { options.concurrentCalls })
    , m_quotas(QuotaTerms::from(options.tenants), options.self, m_membership)
{
    m_health.useReachability([this](const InstanceId& instance) { return m_membership.isReachable(instance); });
    m_admission.useServiceSize([this](const ServiceName& service) { return m_registry.backendsOf(service).size(); });
}

EffectList NodeState::start(Instant now)
{
    Turn turn(now, m_random, m_lastPlatformTag);
    m_membership.start(turn);
    m_configuration.start(turn);
    m_routes.start(turn);
    m_claims.start(turn);
    m_admission.start(turn.now());
    m_orphanSweep.start(now);
    return finishTurn(turn);
}

EffectList NodeState::handle(Instant now, const Input& input)
{
    Turn turn(now, m_random, m_lastPlatformTag);
    std::visit([&](const auto& value) { receive(turn, value); }, input);
    return finishTurn(turn);
}

std::optional<Instant> NodeState::nextTimer() const
{
    std::optional<Instant> next;
    for (auto candidate : { m_membership.nextTimer(), m_configuration.nextTimer(), m_routes.nextTimer(), m_configurationProof.nextTimer(), m_localBackends.nextTimer(), m_health.nextTimer(),
             m_orphanSweep.nextTimer(), m_crashGuard.nextTimer(), m_claims.nextTimer(), m_admission.nextTimer(), m_calls.nextTimer(), m_quotas.nextTimer() })
        next = earliest(next, candidate);
    return earliest(next, earliest(m_leaveNoticeEndsAt, m_leaveCheckAt));
}

EffectList NodeState::finishTurn(Turn& turn)
{
    m_configurationProof.update(turn);
    m_quotas.setTable(turn, m_routes.sharedTable());
    decideQuotas(turn);
    while (true) {
        auto decisions = m_claims.takeDecisions();
        for (const auto& decision : decisions)
            m_admission.claimDecided(turn, decision);

        auto changedBackends = m_localBackends.takeChanged();
        for (const auto& backend : changedBackends)
            m_admission.backendChanged(turn, backend);

        auto rumors = turn.takeRumors();
        for (const auto& spread : rumors) {
            // Records that this process produced about its backend servers and claim partitions have to be applied to
            // its own components as well.
            if (std::holds_alternative<BackendRecord>(spread.rumor) || std::holds_alternative<ClaimHolder>(spread.rumor))
                std::visit([&](const auto& record) { applyRecord(turn, record); }, spread.rumor);
        }
        m_membership.spread(turn, rumors);
        if (decisions.empty() && changedBackends.empty() && rumors.empty())
            break;
    }
    for (const auto& parent : m_calls.takeFailedParents())
        m_admission.nestedCallFailed(parent);
    leaveIfDone(turn);
    return turn.takeEffects();
}

void NodeState::receive(Turn& turn, const MessageReceived& received)
{
    for (const auto& rumor : m_membership.receive(turn, received.message))
        std::visit([&](const auto& record) { applyRecord(turn, record); }, rumor);
    m_claims.receive(turn, received.message);
    m_routes.receive(turn, received.message);
    m_configurationProof.receive(turn, received.message);
    if (const auto* reply = std::get_if<ConfigurationProofReply>(&received.message.body); reply && m_configurationProof.isActive())
        m_routes.requestIfNewer(turn, received.message.from, received.message.fromControl, reply->version);
    m_quotas.receive(turn, received.message, received.suspendedTime);
    const auto* digest = std::get_if<SyncDigest>(&received.message.body);
    if (digest && digest->wantsAnswer)
        tellCrashes(turn, received.message);
}

// Crash reports end by themselves, so they aren't reconciled like records. A process that has just started knows none.
void NodeState::tellCrashes(Turn& turn, const Message& message) const
{
    Gossip gossip;
    std::ranges::copy(m_crashGuard.newestReports(turn.now(), maximumCrashReportsTold), std::back_inserter(gossip.rumors));
    if (!gossip.rumors.empty())
        turn.emit(SendMessage { message.fromControl, message.from, std::move(gossip) });
}

void NodeState::receive(Turn& turn, const TimerFired&)
{
    auto fireIfDue = [&](auto& component) {
        auto next = component.nextTimer();
        if (next && *next <= turn.now())
            component.handleTimer(turn);
    };
    fireIfDue(m_membership);
    fireIfDue(m_configuration);
    fireIfDue(m_routes);
    fireIfDue(m_configurationProof);
    fireIfDue(m_localBackends);
    fireIfDue(m_health);
    fireIfDue(m_crashGuard);
    fireIfDue(m_claims);
    fireIfDue(m_admission);
    fireIfDue(m_calls);
    fireIfDue(m_quotas);
    if (*m_orphanSweep.nextTimer() <= turn.now())
        sweepOrphans(turn);
}

void NodeState::sweepOrphans(Turn& turn)
{
    auto isKnown = [this](const InstanceId& instance) { return m_membership.find(instance) != nullptr; };
    for (const auto& orphan : m_orphanSweep.sweep(turn.now(), m_registry, isKnown)) {
        for (auto& record : m_registry.forgetSidecar(orphan.instance, orphan.incarnation)) {
            m_health.forget(record.id);
            record.phase = BackendPhase::Gone;
            m_router.backendChanged(turn, record);
        }
    }
}

void NodeState::receive(Turn& turn, const SendFailed& failed) { m_membership.sendFailed(turn, failed.to); }
void NodeState::receive(Turn& turn, const CallArrived& arrived)
{
    m_configurationProof.observeSuspension(arrived.suspendedTime);
    if (!m_routes.isUsed()) {
        m_calls.arrive(turn, arrived);
        return;
    }
    auto routed = arrived;
    if (auto reason = applyRoute(turn, routed))
        m_calls.refuse(turn, arrived, *reason);
    else if (const auto* tenant = quotaTenantOf(routed))
        m_quotas.arrive(turn, routed, *tenant);
    else
        m_calls.arrive(turn, routed);
}

const Tenant* NodeState::quotaTenantOf(const CallArrived& arrived) const
{
    // Calls that running requests make were counted with those, and have no tenant of their own.
    if (arrived.terms->tenant.isEmpty() || !m_quotas.isActive() || m_calls.isLeaving())
        return nullptr;
    return m_quotas.find(arrived.terms->tenant);
}

void NodeState::decideQuotas(Turn& turn)
{
    for (const auto& decision : m_quotas.takeDecisions()) {
        if (decision.refusal)
            m_calls.refuse(turn, decision.call, *decision.refusal, decision.retryAfter);
        else
            m_calls.arrive(turn, decision.call);
    }
}

std::optional<Reason> NodeState::applyRoute(Turn& turn, CallArrived& arrived) const
{
    if (!m_routes.table())
        return Reason::NotConfigured;
    const auto* route = m_routes.find(arrived.authority, arrived.request.path);
    if (!route)
        return Reason::NoRoute;
    if (!route->isUsable())
        return Reason::RouteUnusable;
    std::vector<double> weights;
    std::ranges::transform(route->targets, std::back_inserter(weights), &RouteTarget::weight);
    auto target = std::discrete_distribution<size_t>(weights.begin(), weights.end())(turn.random());
    arrived.request.service = route->targets[target].service;
    arrived.terms = CallTerms { route->name, route->isIdempotent, route->timeout, route->latencyObjective, route->priority, route->maximumAttempts };
    arrived.terms->priority = priorityOf(*route, arrived.request, 0);
    arrived.terms->isCountedAsRetry = arrived.request.parent && !m_admission.isRunningFirstArrival(*arrived.request.parent);
    return m_routes.tenants().hasTenants() ? identify(turn, *route, arrived) : std::nullopt;
}

std::optional<Reason> NodeState::identify(const Turn& turn, const Route& route, CallArrived& arrived) const
{
    auto& request = arrived.request;
    // Anybody can send an id of the form that calls of running requests have, so the request must be running here.
    if (auto account = request.parent ? m_admission.accountOfRunning(*request.parent) : std::nullopt) {
        request.account = *account;
        return std::nullopt;
    }
    if (route.isPublic)
        return std::nullopt;
    // A process that has just started doesn't know what its backend server still runs. Such a call isn't a caller's fault.
    if (request.parent && arrived.keyDigest.empty())
        return Reason::ParentUnknown;
    auto match = m_routes.tenants().find(arrived.keyDigest);
    if (!match.tenant)
        return match.refusal;
    // A caller with a key is no run, whatever the id of its request looks like.
    request.parent.reset();
    arrived.terms->isCountedAsRetry = false;
    request.account = match.tenant->name;
    request.fingerprint.high ^= stableHash({ match.tenant->name.value() });
    arrived.terms->tenant = match.tenant->name;
    arrived.terms->priority = priorityOf(route, request, match.tenant->priority);
    return m_configurationProof.refusal(turn.now());
}

uint32_t NodeState::priorityOf(const Route& route, const RequestInfo& request, uint32_t tenantPriority) const
{
    auto priority = m_routes.tenants().hasTenants() ? combinedPriority(tenantPriority, route.priority) : route.priority;
    if (!request.parent)
        return queuePriority(priority, std::nullopt);
    // The parent may run unknown to this process. Then it is taken for one of the same route.
    auto parentPriority = m_admission.priorityOfRunning(*request.parent);
    return queuePriority(route.priority, parentPriority.value_or(queuePriority(priority, std::nullopt)));
}

void NodeState::receive(Turn& turn, const CallerDisconnected& gone)
{
    m_quotas.callerGone(gone.call);
    m_calls.callerGone(turn, gone.call);
}

void NodeState::receive(Turn& turn, const AttemptFinished& finished)
{
    bool isPathInDoubt = finished.report.result == AttemptResult::NotSent || finished.report.result == AttemptResult::Stalled;
    if (isPathInDoubt && finished.sidecar != m_membership.self().instance)
        m_membership.probeNow(turn, finished.sidecar);
    m_calls.attemptFinished(turn, finished);
}

void NodeState::receive(Turn& turn, const SidecarCallArrived& arrived)
{
    m_admission.takeTurns(m_routes.table() && !m_routes.table()->tenants.empty());
    m_admission.arrive(turn, arrived);
}

void NodeState::receive(Turn& turn, const SidecarCallCancelled& cancelled) { m_admission.cancel(turn, cancelled.call); }
void NodeState::receive(Turn& turn, const RunFinished& finished) { m_admission.runFinished(turn, finished.call, finished.report); }
void NodeState::receive(Turn& turn, const ProbeFinished& finished)
{
    m_health.probeFinished(turn, finished.backend, finished.report);
    m_admission.probeFinished(turn, finished.backend, finished.report);
}

void NodeState::receive(Turn& turn, const ConnectionRefused& refused) { m_admission.connectionRefused(turn, refused.backend, refused.incarnation); }

void NodeState::receive(Turn& turn, const BackendAnnounced& announced)
{
    m_localBackends.announce(turn, announced.announcement);
    // This incarnation may have told a predecessor of this process that it leaves.
    const auto* known = m_registry.find(announced.announcement.id);
    if (known && known->isLeaving)
        m_localBackends.retire(turn, known->id, known->incarnation, "its record says that it leaves");
    m_health.setProbeEndpoint(announced.announcement.id, announced.announcement.endpoint);
}

void NodeState::receive(Turn& turn, const BackendWithdrawn& withdrawn)
{
    const auto* known = m_registry.find(withdrawn.backend);
    auto latest = withdrawn.latest;
    if (!latest && known)
        latest = known->incarnation;
    m_localBackends.withdraw(turn, withdrawn.backend, latest.value_or(Incarnation()));
    if (known)
        retireWithdrawn(turn, *known);
}

// The fleet knows the backend server from a predecessor of this process, which hasn't heard an announcement of its own.
void NodeState::retireWithdrawn(Turn& turn, const BackendRecord& record)
{
    bool isOwn = record.sidecar == m_membership.self().instance;
    if (!isOwn || record.isLeaving || !m_localBackends.wasWithdrawnUnknown(record.id, record.incarnation))
        return;
    auto gone = record;
    gone.isLeaving = true;
    gone.phase = BackendPhase::Gone;
    turn.spread(gone, Urgency::Immediate);
}

void NodeState::receive(Turn& turn, const PlatformReplied& replied)
{
    m_configuration.noteReply(turn, replied.reply);
    m_configurationProof.noteEra(turn.now(), replied.reply.era);
    m_quotas.noteReply(turn, replied.reply);
    if (m_routes.handleReply(turn, replied.reply))
        return;
    if (m_configurationProof.handleReply(turn, replied.reply)) {
        m_routes.apply(turn, replied.reply.routes, "platform");
        return;
    }
    if (!m_configuration.handleReply(turn, replied.reply)) {
        if (!m_quotas.handleReply(turn, replied.reply))
            m_claims.handleReply(turn, replied.reply);
        return;
    }
    auto seeds = m_configuration.takeSeeds();
    if (!seeds.empty())
        m_membership.addSeeds(turn, seeds);
}

void NodeState::receive(Turn& turn, const LeaveRequested&)
{
    bool wasLeaving = m_leavingSince.has_value();
    m_leavingSince = turn.now();
    m_calls.endAt(turn.now() + m_leaveTimeout);
    m_leaveCheckAt = turn.now() + std::min(Duration(minimumLeaveTime), m_leaveTimeout);
    if (wasLeaving)
        return;
    m_leaveNoticeEndsAt = turn.now() + std::min(m_leaveNotice, m_leaveTimeout);
    endLeaveNotice(turn);
    m_admission.leave(turn);
    m_localBackends.drainAll(turn);
    m_claims.leave(turn);
    m_quotas.leave(turn);
    m_membership.leave(turn);
    turn.recordDecision({ DecisionKind::Leaving, "leave", "local", {}, {}, {}, {}, {}, std::to_string(m_calls.inFlight()) + " calls and " + std::to_string(m_admission.inFlight()) + " runs in flight" });
}

void NodeState::receive(Turn& turn, const DrainRequested& requested)
{
    m_localBackends.drain(turn, requested.backend);
}

void NodeState::receive(Turn&, const DefaultsChanged& changed)
{
    m_profiles.setDefaults(changed.defaults);
    if (m_routes.table())
        std::ranges::for_each(m_routes.table()->services, [this](const ServiceTerms& terms) { m_profiles.putServiceTerms(terms); });
}

void NodeState::receive(Turn&, const SuspensionObserved& observed) { m_configurationProof.observeSuspension(observed.suspendedTime); }

void NodeState::applyRecord(Turn& turn, const MemberRecord& record) { m_membership.apply(turn, record); }

void NodeState::applyRecord(Turn& turn, const BackendRecord& record)
{
    if (!m_registry.apply(turn, record)) {
        correctSidecar(turn, record);
        return;
    }
    if (record.isLeaving)
        m_localBackends.retire(turn, record.id, record.incarnation, "sidecar " + record.sidecar.value() + " heard that it leaves");
    if (record.sidecar != m_membership.self().instance)
        m_localBackends.supersede(turn, record);
    m_health.backendChanged(turn, record);
    m_router.backendChanged(turn, record);
    retireWithdrawn(turn, record);
}

void NodeState::correctSidecar(Turn& turn, const BackendRecord& record)
{
    const auto* known = m_registry.find(record.id);
    bool isUnaware = known && known->isLeaving && !record.isLeaving && known->incarnation == record.incarnation;
    if (isUnaware && known->sidecarIncarnation < record.sidecarIncarnation)
        turn.spread(*known, Urgency::Immediate);
}

void NodeState::applyRecord(Turn& turn, const HealthReport& report) { m_health.apply(turn, report); }
void NodeState::applyRecord(Turn& turn, const CrashReport& report)
{
    if (m_crashGuard.apply(turn, report))
        turn.spread(report, Urgency::Immediate);
}

void NodeState::applyRecord(Turn& turn, const ClaimHolder& holder) { m_claims.apply(turn, holder); }
void NodeState::applyRecord(Turn& turn, const ProfileRevision& revision) { m_configuration.apply(turn, revision); }

void NodeState::endLeaveNotice(Turn& turn)
{
    if (!m_leaveNoticeEndsAt || turn.now() < *m_leaveNoticeEndsAt)
        return;
    m_leaveNoticeEndsAt.reset();
    m_calls.leave(turn);
}

void NodeState::leaveIfDone(Turn& turn)
{
    if (!m_leavingSince || m_hasLeft)
        return;
    endLeaveNotice(turn);
    auto since = turn.now() - *m_leavingSince;
    bool isIdle = m_calls.inFlight() == 0 && m_admission.inFlight() == 0 && m_claims.isIdle() && m_quotas.isIdle();
    bool isTimedOut = since >= m_leaveTimeout;
    if (!isTimedOut && (!isIdle || m_leaveNoticeEndsAt || since < minimumLeaveTime)) {
        if (turn.now() >= *m_leaveCheckAt)
            m_leaveCheckAt = *m_leavingSince + m_leaveTimeout;
        return;
    }

    m_hasLeft = true;
    m_leaveCheckAt.reset();
    auto abortedText = std::to_string(m_calls.inFlight()) + " calls and " + std::to_string(m_admission.inFlight()) + " runs were aborted";
    turn.recordDecision({ DecisionKind::Left, "leave", "local", {}, {}, {}, {}, {}, isIdle ? "nothing was in flight" : abortedText });
    m_quotas.refuseAll(turn);
    decideQuotas(turn);
    m_calls.endAll(turn);
    turn.emit(Leave {});
}

}
