#include <LibDecision/Health/Health.h>

#include <LibDecision/Calls/AttemptVerdict.h>

#include <algorithm>
#include <sstream>
#include <tuple>

namespace Decision {

namespace {

    // Thresholds on the strength of evidence, which is the evidence divided by the amount that ejects.
    constexpr double ejectionThreshold = 1.0;
    constexpr double suspicionThreshold = 0.5;
    constexpr double clearanceThreshold = 0.25;
    // An ejection that rests on the sidecar's reports ends early once the reported strength falls below this.
    constexpr double earlyReturnThreshold = 0.6;
    // Strength that a returning backend server starts with, so that it is ejected again with less evidence than one
    // that has been healthy.
    constexpr double strengthOnReturn = 0.5;
    // The service as a whole counts as disturbed if the median strength of the others reaches this.
    constexpr double disturbanceThreshold = 0.35;

    // A sidecar's report keeps its full strength for this time before it decays. If it decayed at once, a strength just
    // at the threshold would fall below it before the confirmation delay is over.
    constexpr Duration reportDecayDelay = 5s;
    constexpr Duration floorCheckPeriod = 250ms;
    // An ingress ends an ejection this much later than the sidecar, so that it has the sidecar's new report by then.
    constexpr Duration ingressSlack = 1s;
    constexpr Duration minimumReturnTime = 2s;
    constexpr Duration maximumReturnTime = 30s;
    constexpr double initialReturnShare = 0.1;
    constexpr double initialColdShare = 0.1;
    constexpr Duration probeTimeout = 1s;
    // A report's version is the sidecar's incarnation times this, plus a counter, so one incarnation has this many
    // versions.
    constexpr uint64_t reportsPerIncarnation = 4096;

    RunOutcome runOutcomeOf(const RunReport& report)
    {
        switch (report.result) {
        case AttemptResult::Answered:
            return isServerError(report.status) && report.reason != Reason::BackendShedding ? RunOutcome::Failed
                : report.reason == Reason::BackendShedding                                  ? RunOutcome::Neutral
                                                                                            : RunOutcome::Succeeded;
        case AttemptResult::ConnectionLost:
        case AttemptResult::Malformed:
        case AttemptResult::NotSent:
        case AttemptResult::OutcomeUnknown:
            return RunOutcome::Failed;
        case AttemptResult::Stalled:
            // An idle connection that is reused may be dead without a fault of the backend server, so only silence on a
            // fresh connection counts as a failure.
            return report.wasFreshConnection ? RunOutcome::Failed : RunOutcome::Neutral;
        case AttemptResult::TimedOut:
        case AttemptResult::Cancelled:
            return RunOutcome::Censored;
        case AttemptResult::RefusedNotRun:
        case AttemptResult::Redirected:
            return RunOutcome::Neutral;
        }
        return RunOutcome::Neutral;
    }

    // A load report shows that the sidecar responded, even if the request itself failed.
    PathOutcome pathOutcomeOf(const AttemptReport& report)
    {
        if (report.hasLoad)
            return PathOutcome::Responded;
        switch (report.result) {
        case AttemptResult::Answered:
        case AttemptResult::RefusedNotRun:
        case AttemptResult::OutcomeUnknown:
        case AttemptResult::Redirected:
            return PathOutcome::Responded;
        case AttemptResult::NotSent:
        case AttemptResult::ConnectionLost:
        case AttemptResult::Malformed:
        case AttemptResult::Stalled:
            return PathOutcome::Failed;
        case AttemptResult::TimedOut:
        case AttemptResult::Cancelled:
            return PathOutcome::NoResponse;
        }
        return PathOutcome::Responded;
    }

    Duration returnTime(const HealthPolicy& policy) { return std::clamp(policy.ejectionTime, minimumReturnTime, maximumReturnTime); }

    int levelOf(double strength)
    {
        return strength >= ejectionThreshold ? 2 : strength >= suspicionThreshold ? 1
                                                                                  : 0;
    }

}

Health::Health(const MemberRecord& self, const BackendRegistry& registry, const ProfileRegistry& profiles)
    : m_self(self)
    , m_registry(registry)
    , m_profiles(profiles)
    , m_isReachable([](const InstanceId&) { return true; })
    , m_chart(loadChart<StandingState, StandingEvent>(ChartFile::Standing))
{
}

void Health::useReachability(std::function<bool(const InstanceId&)> isReachable)
{
    m_isReachable = std::move(isReachable);
}

std::optional<Instant> Health::nextTimer() const
{
    return earliest(m_evaluationTimers.next(), earliest(m_standingTimers.next(), m_floorChecks.next()));
}

void Health::handleTimer(Turn& turn)
{
    for (const auto& id : m_evaluationTimers.takeDue(turn.now())) {
        auto record = m_registry.find(id);
        auto health = findBackendHealth(id);
        if (!record || !health)
            continue;
        evaluate(turn, *record, *health);
        scheduleEvaluation(*record, *health, turn.now());
    }
    for (const auto& id : m_standingTimers.takeDue(turn.now())) {
        auto record = m_registry.find(id);
        auto health = findBackendHealth(id);
        if (record && health)
            handleStandingTimer(turn, *record, *health);
    }
    for (const auto& service : m_floorChecks.takeDue(turn.now()))
        restoreFloor(turn, service);
}

void Health::attemptStarted(Turn& turn, CallId call, const BackendRecord& record)
{
    auto& health = backendHealthOf(record);
    health.attempts.started(call.value(), turn.now());
    scheduleEvaluation(record, health, turn.now());
}

void Health::attemptFinished(Turn& turn, CallId call, const BackendRecord& record, const AttemptReport& report)
{
    auto& health = backendHealthOf(record);
    auto criteria = baselinesOf(record.service).pathCriteria(sensitivityOf(record.service));
    health.attempts.finished(call.value(), pathOutcomeOf(report), criteria, turn.now());
    if (report.hasLoad && !health.isLocal)
        health.setReportedStrength(strengthFromSuspicion(report.load.suspicion), turn.now());
    addToBaselines(record, health, report, turn.now());
    evaluate(turn, record, health);
}

void Health::addToBaselines(const BackendRecord& record, const BackendHealth& health, const AttemptReport& report, Instant now)
{
    if (report.result != AttemptResult::Answered || !isRepresentative(record, health, now))
        return;
    auto& baselines = baselinesOf(record.service);
    baselines.attemptTimes.add(report.elapsed, now);
    if (health.isLocal || report.serviceTime <= Duration::zero())
        return;
    baselines.peerServiceTimes.add(report.serviceTime, now);
    baselines.peerFailures.add(isServerError(report.status));
}

void Health::runStarted(Turn& turn, SidecarCallId call, const BackendId& backend)
{
    auto record = m_registry.find(backend);
    if (!record)
        return;
    auto& health = backendHealthOf(*record);
    health.runs.started(call.value(), turn.now());
    scheduleEvaluation(*record, health, turn.now());
}

void Health::runFinished(Turn& turn, SidecarCallId call, const BackendId& backend, const RunReport& report)
{
    auto record = m_registry.find(backend);
    if (!record)
        return;
    auto& health = backendHealthOf(*record);
    auto& baselines = baselinesOf(record->service);
    auto outcome = runOutcomeOf(report);
    // A cold backend server is expected to be slow, so only its failures count.
    if (isCold(health, turn.now()) && outcome != RunOutcome::Failed)
        outcome = RunOutcome::Neutral;
    health.runs.finished(call.value(), outcome, report.elapsed, baselines.runCriteria(sensitivityOf(record->service)), turn.now());
    if (isRepresentative(*record, health, turn.now())) {
        if (outcome == RunOutcome::Succeeded)
            baselines.ownServiceTimes.add(report.elapsed, turn.now());
        if (outcome == RunOutcome::Succeeded || outcome == RunOutcome::Failed)
            baselines.ownFailures.add(outcome == RunOutcome::Failed);
    }
    evaluate(turn, *record, health);
}

void Health::probeFinished(Turn& turn, const BackendId& backend, const RunReport& report)
{
    auto record = m_registry.find(backend);
    auto health = findBackendHealth(backend);
    if (!record || !health || !health->isProbing)
        return;
    health->isProbing = false;
    if (!health->isEjected())
        return;
    if (runOutcomeOf(report) == RunOutcome::Succeeded) {
        beginReturn(turn, *record, *health, "a probe succeeded");
        return;
    }
    explain(turn, DecisionKind::ProbeFailed, *record, "probe result " + std::string(nameOf(report.result)) + ", status " + std::to_string(report.status));
    health->until = turn.now() + policyOf(record->service).probeInterval;
    m_standingTimers.set(backend, health->until);
}

bool Health::apply(Turn& turn, const HealthReport& report)
{
    auto record = m_registry.find(report.backend);
    if (!record || !report.isFromSidecar || report.observer == m_self.instance)
        return false;
    if (report.observer != record->sidecar || report.backendIncarnation != record->incarnation)
        return false;
    auto& health = backendHealthOf(*record);
    if (report.version <= health.reportVersion)
        return false;

    auto reportedStrength = strengthFromSuspicion(report.suspicion);
    bool crossesThreshold = (reportedStrength >= ejectionThreshold) != (health.reportedStrength >= ejectionThreshold);
    health.reportVersion = report.version;
    health.setReportedStrength(reportedStrength, turn.now());
    turn.spread(report, crossesThreshold ? Urgency::Immediate : Urgency::Piggyback);
    evaluate(turn, *record, health);
    return true;
}

void Health::backendChanged(Turn& turn, const BackendRecord& record)
{
    if (!m_startedAt)
        m_startedAt = turn.now();
    auto known = findBackendHealth(record.id);
    bool isNewIncarnation = !known || known->incarnation != record.incarnation;
    // A process that has just started can't tell which backend servers are cold, so it treats all of them as warm.
    bool canDetectColdStart = turn.now() - *m_startedAt >= m_profiles.profile(m_registry.profileOf(record.service)).lifecycle.coldStart;
    if (record.phase == BackendPhase::Gone) {
        forget(record.id);
        restoreFloor(turn, record.service);
        return;
    }
    // State is created for every backend server. Without it, a new version of a warm backend server's record would look
    // like a cold start.
    auto& health = backendHealthOf(record);
    if (record.phase == BackendPhase::Serving && (isNewIncarnation ? canDetectColdStart : health.lastPhase == BackendPhase::Warming))
        health.servingSince = turn.now();
    health.lastPhase = record.phase;
    restoreFloor(turn, record.service);
}

void Health::forget(const BackendId& id)
{
    m_backendHealth.erase(id);
    m_probeEndpoints.erase(id);
    m_evaluationTimers.cancel(id);
    m_standingTimers.cancel(id);
}

void Health::setProbeEndpoint(const BackendId& id, const Endpoint& endpoint)
{
    m_probeEndpoints.insert_or_assign(id, endpoint);
}

Standing Health::standing(const BackendId& id, Instant now) const
{
    Standing standing;
    auto health = findBackendHealth(id);
    if (!health)
        return standing;

    const auto& policy = policyOf(health->service);
    standing.state = health->state;
    standing.evidence = health->evidence;
    standing.suspicion = suspicionFromStrength(strengthOf(*health, now));
    standing.isLastResort = health->aboveThresholdSince.has_value();
    if (health->servingSince) {
        auto length = m_profiles.profile(m_registry.profileOf(health->service)).lifecycle.coldStart;
        standing.share = std::lerp(initialColdShare, 1.0, BackendHealth::progress(*health->servingSince, length, now));
    }
    if (health->isEjected())
        standing.share = 0;
    if (health->state == StandingState::Returning) {
        auto progress = BackendHealth::progress(health->since, returnTime(policy), now);
        standing.share = std::min(standing.share, std::lerp(initialReturnShare, 1.0, progress));
        standing.isIdempotentOnly = progress < 0.5;
    }
    return standing;
}

double Health::sidecarSuspicion(const BackendId& id) const
{
    // The strength of the last evaluation. While requests are open, it is evaluated again about every 50 ms.
    auto health = findBackendHealth(id);
    return health && health->isLocal ? suspicionFromStrength(health->reportedStrength) : 0;
}

BackendHealth& Health::backendHealthOf(const BackendRecord& record)
{
    auto [entry, isNew] = m_backendHealth.try_emplace(record.id);
    auto& health = entry->second;
    if (!isNew && health.incarnation == record.incarnation && health.service == record.service) {
        health.isLocal = record.sidecar == m_self.instance;
        return health;
    }
    // A new incarnation is treated as another backend server; only the count of ejections is carried over.
    auto schedule = health.schedule;
    health = BackendHealth {};
    health.schedule = schedule;
    health.service = record.service;
    health.incarnation = record.incarnation;
    health.lastPhase = record.phase;
    health.isLocal = record.sidecar == m_self.instance;
    m_standingTimers.cancel(record.id);
    m_evaluationTimers.cancel(record.id);
    return health;
}

BackendHealth* Health::findBackendHealth(const BackendId& id)
{
    auto health = m_backendHealth.find(id);
    return health == m_backendHealth.end() ? nullptr : &health->second;
}

const BackendHealth* Health::findBackendHealth(const BackendId& id) const
{
    auto health = m_backendHealth.find(id);
    return health == m_backendHealth.end() ? nullptr : &health->second;
}

const HealthPolicy& Health::policyOf(const ServiceName& service) const
{
    return m_profiles.profile(m_registry.profileOf(service)).health;
}

Sensitivity Health::sensitivityOf(const ServiceName& service) const
{
    return Decision::sensitivityOf(policyOf(service).priority);
}

double Health::backendStrength(const BackendHealth& health, Instant now) const
{
    if (!health.isLocal)
        return health.reportedStrength * remainingEvidence(std::max(Duration::zero(), now - health.reportedAt - reportDecayDelay));
    auto baselines = m_baselines.find(health.service);
    if (baselines == m_baselines.end())
        return 0;
    return health.runs.strength(baselines->second.runCriteria(sensitivityOf(health.service)), now);
}

double Health::pathStrength(const BackendHealth& health, Instant now) const
{
    auto baselines = m_baselines.find(health.service);
    if (baselines == m_baselines.end())
        return 0;
    return health.attempts.strength(baselines->second.pathCriteria(sensitivityOf(health.service)), now);
}

double Health::strengthFrom(EvidenceSource source, const BackendHealth& health, Instant now) const
{
    return source == EvidenceSource::Sidecar ? backendStrength(health, now) : pathStrength(health, now);
}

double Health::strengthOf(const BackendHealth& health, Instant now) const
{
    return std::max(backendStrength(health, now), pathStrength(health, now));
}

double Health::medianStrengthOfOthers(EvidenceSource source, const BackendRecord& record, Instant now) const
{
    std::vector<double> others;
    for (auto other : m_registry.backendsOf(record.service)) {
        if (other->id == record.id || other->phase != BackendPhase::Serving)
            continue;
        auto health = findBackendHealth(other->id);
        others.push_back(health ? strengthFrom(source, *health, now) : 0);
    }
    if (others.empty())
        return 0;
    auto middle = others.begin() + static_cast<ptrdiff_t>(others.size() / 2);
    std::ranges::nth_element(others, middle);
    return *middle;
}

bool Health::isCommonCause(EvidenceSource source, const BackendRecord& record, const BackendHealth& health, Instant now) const
{
    auto median = medianStrengthOfOthers(source, record, now);
    if (strengthFrom(source, health, now) - median < ejectionThreshold - disturbanceThreshold)
        return true;
    auto baselines = m_baselines.find(record.service);
    return source == EvidenceSource::Sidecar && baselines != m_baselines.end() && baselines->second.isDisturbed(now);
}

bool Health::isRepresentative(const BackendRecord& record, const BackendHealth& health, Instant now) const
{
    if (backendStrength(health, now) < clearanceThreshold)
        return true;
    auto baselines = m_baselines.find(record.service);
    return baselines != m_baselines.end() && baselines->second.isDisturbed(now);
}

bool Health::isCold(const BackendHealth& health, Instant now) const
{
    if (!health.servingSince)
        return false;
    return now - *health.servingSince < m_profiles.profile(m_registry.profileOf(health.service)).lifecycle.coldStart;
}

bool Health::couldServe(const BackendRecord& record) const
{
    return record.phase == BackendPhase::Serving && m_isReachable(record.sidecar);
}

bool Health::isInUse(const BackendRecord& record, const BackendHealth* health, Instant now) const
{
    return couldServe(record) && (!health || (health->hasFullStanding() && !isCold(*health, now)));
}

FloorGuard Health::countSlots(const ServiceName& service, Instant now) const
{
    FloorGuard guard(policyOf(service).floor);
    for (auto record : m_registry.backendsOf(service))
        guard.count(record->slots, isInUse(*record, findBackendHealth(record->id), now));
    return guard;
}

void Health::evaluate(Turn& turn, const BackendRecord& record, BackendHealth& health)
{
    auto now = turn.now();
    auto sidecar = backendStrength(health, now);
    auto path = pathStrength(health, now);
    auto strength = std::max(sidecar, path);
    // During an ejection the published strength stays as it is, although the evidence decays.
    if (health.isLocal && !health.isEjected()) {
        health.setReportedStrength(sidecar, now);
        publishReport(turn, record, health);
    }
    if (sidecar >= disturbanceThreshold && medianStrengthOfOthers(EvidenceSource::Sidecar, record, now) >= disturbanceThreshold)
        baselinesOf(record.service).noteDisturbance(now);

    if (health.isEjected()) {
        if (!health.isLocal && health.source == EvidenceSource::Sidecar && health.reportedStrength < earlyReturnThreshold)
            beginReturn(turn, record, health, "the suspicion that its sidecar reported fell");
        return;
    }
    if (strength >= suspicionThreshold)
        health.state = m_chart.next(health.state, StandingEvent::Suspected);
    if (strength < clearanceThreshold)
        health.state = m_chart.next(health.state, StandingEvent::Cleared);
    auto source = sidecar >= suspicionThreshold ? EvidenceSource::Sidecar : EvidenceSource::Path;
    if (strength < ejectionThreshold) {
        health.aboveThresholdSince.reset();
        return;
    }
    if (isCommonCause(source, record, health, now)) {
        health.aboveThresholdSince.reset();
        withhold(turn, record, health, "the service's other backend servers show similar evidence");
        return;
    }
    if (!health.aboveThresholdSince)
        health.aboveThresholdSince = now;
    auto confirmedAt = *health.aboveThresholdSince + sensitivityOf(record.service).confirmationDelay;
    if (now < confirmedAt) {
        m_evaluationTimers.set(record.id, confirmedAt);
        return;
    }
    tryToEject(turn, record, health, source);
}

void Health::tryToEject(Turn& turn, const BackendRecord& record, BackendHealth& health, EvidenceSource source)
{
    auto guard = countSlots(record.service, turn.now());
    if (!guard.allowsEjection(record.slots, isInUse(record, &health, turn.now()))) {
        std::ostringstream why;
        why << guard.inUse() << " of " << guard.announced() << " slots are in use and the floor share is " << guard.floor();
        withhold(turn, record, health, why.str());
        return;
    }
    eject(turn, record, health, source, guard);
}

void Health::eject(Turn& turn, const BackendRecord& record, BackendHealth& health, EvidenceSource source, const FloorGuard& guard)
{
    auto now = turn.now();
    std::ostringstream evidence;
    evidence << describe(record, health, source, now) << "; " << guard.inUse() << " of " << guard.announced()
             << " slots were in use, floor share " << guard.floor();
    health.state = m_chart.next(health.state, StandingEvent::Condemned);
    health.source = source;
    health.evidence = evidence.str();
    health.aboveThresholdSince.reset();
    health.since = now;
    health.until = now + health.schedule.eject(policyOf(record.service), now) + (health.isLocal ? Duration::zero() : ingressSlack);
    m_standingTimers.set(record.id, health.until);
    m_floorChecks.set(record.service, now + floorCheckPeriod);
    explain(turn, DecisionKind::BackendEjected, record, health.evidence);
}

void Health::withhold(Turn& turn, const BackendRecord& record, BackendHealth& health, const std::string& why)
{
    health.state = m_chart.next(health.state, StandingEvent::Suspected);
    auto repeatInterval = policyOf(record.service).ejectionTime;
    if (health.withheldAt && turn.now() - *health.withheldAt < repeatInterval)
        return;
    health.withheldAt = turn.now();
    auto source = backendStrength(health, turn.now()) >= suspicionThreshold ? EvidenceSource::Sidecar : EvidenceSource::Path;
    health.evidence = describe(record, health, source, turn.now()) + "; ejection withheld because " + why;
    explain(turn, DecisionKind::BackendEjectionWithheld, record, health.evidence);
}

void Health::beginReturn(Turn& turn, const BackendRecord& record, BackendHealth& health, const std::string& why)
{
    auto now = turn.now();
    auto sensitivity = sensitivityOf(record.service);
    health.state = m_chart.next(health.state, StandingEvent::EjectionOver);
    health.since = now;
    health.until = now + returnTime(policyOf(record.service));
    health.isProbing = false;
    health.runs.restart(strengthOnReturn, sensitivity, now);
    health.attempts.restart(strengthOnReturn, baselinesOf(record.service).pathCriteria(sensitivity), now);
    health.setReportedStrength(std::min(health.reportedStrength, strengthOnReturn), now);
    m_standingTimers.set(record.id, health.until);
    if (health.isLocal)
        publishReport(turn, record, health);
    std::ostringstream evidence;
    evidence << "ejection number " << health.schedule.repetitions() << " is over because " << why << "; its share of requests grows from " << initialReturnShare
             << ", and at first it gets idempotent requests only";
    health.evidence = evidence.str();
    explain(turn, DecisionKind::BackendReturning, record, health.evidence);
}

void Health::finishReturn(Turn& turn, const BackendRecord& record, BackendHealth& health)
{
    health.state = m_chart.next(health.state, StandingEvent::Proven);
    health.setReportedStrength(0, turn.now());
    health.runs.restart(0, sensitivityOf(record.service), turn.now());
    health.attempts.restart(0, baselinesOf(record.service).pathCriteria(sensitivityOf(record.service)), turn.now());
    explain(turn, DecisionKind::BackendReturned, record, describe(record, health, EvidenceSource::Sidecar, turn.now()));
    health.evidence.clear();
}

void Health::handleStandingTimer(Turn& turn, const BackendRecord& record, BackendHealth& health)
{
    if (health.isEjected()) {
        if (!health.isLocal || !sendProbe(turn, record, health))
            beginReturn(turn, record, health, "the ejection time has passed");
        return;
    }
    if (health.state != StandingState::Returning)
        return;
    if (strengthOf(health, turn.now()) > suspicionThreshold) {
        m_standingTimers.set(record.id, turn.now() + minimumReturnTime);
        evaluate(turn, record, health);
        return;
    }
    finishReturn(turn, record, health);
}

bool Health::sendProbe(Turn& turn, const BackendRecord& record, BackendHealth& health)
{
    const auto& policy = policyOf(record.service);
    auto endpoint = m_probeEndpoints.find(record.id);
    if (policy.probePath.empty() || endpoint == m_probeEndpoints.end() || health.isProbing)
        return false;
    if (health.probedAt && turn.now() - *health.probedAt < policy.probeInterval)
        return false;
    health.isProbing = true;
    health.probedAt = turn.now();
    turn.emit(ProbeBackend { record.id, endpoint->second, policy.probePath, probeTimeout });
    explain(turn, DecisionKind::ProbeSent, record, "the ejection time has passed");
    // Ends the ejection even if no probe result arrives.
    m_standingTimers.set(record.id, turn.now() + 2 * probeTimeout);
    return true;
}

void Health::restoreFloor(Turn& turn, const ServiceName& service)
{
    auto now = turn.now();
    bool hasEjected = false;
    std::vector<std::pair<const BackendRecord*, BackendHealth*>> candidates;
    for (auto record : m_registry.backendsOf(service)) {
        auto health = findBackendHealth(record->id);
        if (!health || health->hasFullStanding())
            continue;
        hasEjected = true;
        if (couldServe(*record))
            candidates.emplace_back(record, health);
    }
    if (!hasEjected)
        return;
    m_floorChecks.set(service, now + floorCheckPeriod);
    if (!countSlots(service, now).isBroken())
        return;

    // Order: backend servers that are returning already, then ejected ones by ascending strength; cold ones come last.
    std::ranges::sort(candidates, {}, [&](const auto& candidate) {
        const auto& health = *candidate.second;
        return std::tuple(isCold(health, now), health.isEjected(), strengthOf(health, now));
    });
    for (auto [record, health] : candidates) {
        health->state = m_chart.next(health->state, StandingEvent::FloorReached);
        health->evidence += "; back in use because the slots in use fell below the floor";
        m_standingTimers.cancel(record->id);
        explain(turn, DecisionKind::BackendReturned, *record, health->evidence);
        if (!countSlots(service, now).isBroken())
            return;
    }
}

void Health::publishReport(Turn& turn, const BackendRecord& record, BackendHealth& health)
{
    // With a floor of 1 nothing can be ejected, so no process needs the reports.
    bool isEjectionPossible = policyOf(record.service).floor < 1;
    auto level = levelOf(health.reportedStrength);
    if (level == health.publishedLevel || !isEjectionPossible)
        return;
    bool crossesThreshold = level == levelOf(ejectionThreshold) || health.publishedLevel == levelOf(ejectionThreshold);
    health.publishedLevel = level;
    HealthReport report;
    report.backend = record.id;
    report.backendIncarnation = record.incarnation;
    report.observer = m_self.instance;
    report.isFromSidecar = true;
    report.suspicion = suspicionFromStrength(health.reportedStrength);
    report.version = m_self.incarnation.value() * reportsPerIncarnation + ++health.publishedCount;
    turn.spread(report, crossesThreshold ? Urgency::Immediate : Urgency::Piggyback);
}

void Health::scheduleEvaluation(const BackendRecord& record, const BackendHealth& health, Instant now)
{
    if (m_evaluationTimers.contains(record.id))
        return;
    const auto& baselines = baselinesOf(record.service);
    auto sensitivity = sensitivityOf(record.service);
    auto evaluationTime = earliest(health.runs.nextEvaluation(baselines.runCriteria(sensitivity), now),
        health.attempts.nextEvaluation(baselines.pathCriteria(sensitivity), now));
    if (evaluationTime)
        m_evaluationTimers.set(record.id, *evaluationTime);
}

void Health::explain(Turn& turn, DecisionKind kind, const BackendRecord& record, std::string evidence)
{
    DecisionEvent event;
    event.kind = kind;
    event.step = "health";
    event.peer = record.sidecar == m_self.instance ? "local" : record.sidecar.value();
    event.service = record.service;
    event.backend = record.id;
    event.profile = m_registry.profileOf(record.service);
    event.revision = m_profiles.revision(event.profile);
    event.evidence = std::move(evidence);
    turn.recordDecision(std::move(event));
}

std::string Health::describe(const BackendRecord& record, const BackendHealth& health, EvidenceSource source, Instant now) const
{
    std::ostringstream text;
    text.precision(3);
    text << "evidence against the " << nameOf(source) << ": strength " << strengthFrom(source, health, now) << " (ejection threshold " << ejectionThreshold << ")";
    auto baselines = m_baselines.find(record.service);
    if (baselines == m_baselines.end())
        return text.str();
    auto sensitivity = sensitivityOf(record.service);
    if (source == EvidenceSource::Path)
        text << "; " << health.attempts.describe(baselines->second.pathCriteria(sensitivity), now);
    if (source == EvidenceSource::Sidecar && health.isLocal)
        text << "; " << health.runs.describe(baselines->second.runCriteria(sensitivity), now);
    if (source == EvidenceSource::Sidecar && !health.isLocal)
        text << "; its sidecar " << record.sidecar << " reported it";
    return text.str();
}

}
