#include <LibDecision/Health/Health.h>

#include <LibDecision/Calls/AttemptVerdict.h>

#include <algorithm>
#include <sstream>
#include <tuple>

namespace Decision {

namespace {

    // Strengths of evidence, where 1 condemns.
    constexpr double condemnedAt = 1.0;
    constexpr double suspectAt = 0.5;
    constexpr double clearedAt = 0.25;
    // An ejected backend server returns early if its sidecar's suspicion falls below this.
    constexpr double sidecarRelentsAt = 0.6;
    // A returning backend server starts with this, so that it is condemned sooner than a trusted one.
    constexpr double strengthOnReturn = 0.5;
    // Half of the others being this strong means that the service as a whole is disturbed.
    constexpr double disturbedAt = 0.35;

    // A sidecar's word stands this long before it begins to fade, or one that just reached the threshold would lapse
    // before it is confirmed.
    constexpr Duration verdictLifetime = 5s;
    constexpr Duration floorCheckPeriod = 250ms;
    // An ingress ends an ejection this much later than the sidecar, whose fresh verdict then decides.
    constexpr Duration ingressSlack = 1s;
    constexpr Duration shortestReturn = 2s;
    constexpr Duration longestReturn = 30s;
    constexpr double firstReturnShare = 0.1;
    constexpr double firstColdShare = 0.1;
    constexpr Duration probeTimeout = 1s;
    // Leaves room for this many reports of one sidecar incarnation.
    constexpr uint64_t reportsPerIncarnation = 4096;

    RequestEvidence evidenceOfRun(const RunReport& report)
    {
        switch (report.result) {
        case AttemptResult::Answered:
            return isServerError(report.status) && report.reason != Reason::BackendShedding ? RequestEvidence::Failed
                : report.reason == Reason::BackendShedding                                  ? RequestEvidence::Neutral
                                                                                            : RequestEvidence::Succeeded;
        case AttemptResult::Cut:
        case AttemptResult::Malformed:
        case AttemptResult::NotSent:
        case AttemptResult::PeerUnknown:
            return RequestEvidence::Failed;
        case AttemptResult::Silent:
            // A kept connection may have gone silent by itself; only a new one accuses the backend server.
            return report.wasFreshConnection ? RequestEvidence::Failed : RequestEvidence::Neutral;
        case AttemptResult::TimedOut:
        case AttemptResult::Cancelled:
            return RequestEvidence::CutShort;
        case AttemptResult::RefusedNotRun:
        case AttemptResult::Redirected:
            return RequestEvidence::Neutral;
        }
        return RequestEvidence::Neutral;
    }

    // A load report is the sidecar's own word, whatever became of the request.
    PathOutcome outcomeOnPath(const AttemptReport& report)
    {
        if (report.hasLoad)
            return PathOutcome::Heard;
        switch (report.result) {
        case AttemptResult::Answered:
        case AttemptResult::RefusedNotRun:
        case AttemptResult::PeerUnknown:
        case AttemptResult::Redirected:
            return PathOutcome::Heard;
        case AttemptResult::NotSent:
        case AttemptResult::Cut:
        case AttemptResult::Malformed:
        case AttemptResult::Silent:
            return PathOutcome::Failed;
        case AttemptResult::TimedOut:
        case AttemptResult::Cancelled:
            return PathOutcome::Unheard;
        }
        return PathOutcome::Heard;
    }

    Duration returnLength(const HealthPolicy& policy) { return std::clamp(policy.ejectionTime, shortestReturn, longestReturn); }

    int levelOf(double strength)
    {
        return strength >= condemnedAt ? 2 : strength >= suspectAt ? 1
                                                                   : 0;
    }

}

Health::Health(const MemberRecord& self, const BackendRegistry& registry, const ProfileBook& profiles)
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
    return earliest(m_looks.next(), earliest(m_standingTimers.next(), m_floorChecks.next()));
}

void Health::handleTimer(Turn& turn)
{
    for (const auto& id : m_looks.takeDue(turn.now())) {
        auto record = m_registry.find(id);
        auto watch = findWatch(id);
        if (!record || !watch)
            continue;
        judge(turn, *record, *watch);
        scheduleLook(*record, *watch, turn.now());
    }
    for (const auto& id : m_standingTimers.takeDue(turn.now())) {
        auto record = m_registry.find(id);
        auto watch = findWatch(id);
        if (record && watch)
            handleStandingTimer(turn, *record, *watch);
    }
    for (const auto& service : m_floorChecks.takeDue(turn.now()))
        restoreFloor(turn, service);
}

void Health::attemptStarted(Turn& turn, CallId call, const BackendRecord& record)
{
    auto& watch = watchOf(record);
    watch.attempts.started(call.value(), turn.now());
    scheduleLook(record, watch, turn.now());
}

void Health::attemptFinished(Turn& turn, CallId call, const BackendRecord& record, const AttemptReport& report)
{
    auto& watch = watchOf(record);
    auto yardstick = yardsticksOf(record.service).forPaths(sensitivityOf(record.service));
    watch.attempts.finished(call.value(), outcomeOnPath(report), yardstick, turn.now());
    if (report.hasLoad && !watch.isLocal)
        watch.hear(strengthFromSuspicion(report.load.suspicion), turn.now());
    learnFromAttempt(record, watch, report, turn.now());
    judge(turn, record, watch);
}

void Health::learnFromAttempt(const BackendRecord& record, const BackendWatch& watch, const AttemptReport& report, Instant now)
{
    if (report.result != AttemptResult::Answered || !isRepresentative(record, watch, now))
        return;
    auto& yardsticks = yardsticksOf(record.service);
    yardsticks.attemptTimes.add(report.elapsed, now);
    if (watch.isLocal || report.serviceTime <= Duration::zero())
        return;
    yardsticks.peerServiceTimes.add(report.serviceTime, now);
    yardsticks.peerFailures.add(isServerError(report.status));
}

void Health::runStarted(Turn& turn, SidecarCallId call, const BackendId& backend)
{
    auto record = m_registry.find(backend);
    if (!record)
        return;
    auto& watch = watchOf(*record);
    watch.runs.started(call.value(), turn.now());
    scheduleLook(*record, watch, turn.now());
}

void Health::runFinished(Turn& turn, SidecarCallId call, const BackendId& backend, const RunReport& report)
{
    auto record = m_registry.find(backend);
    if (!record)
        return;
    auto& watch = watchOf(*record);
    auto& yardsticks = yardsticksOf(record->service);
    auto evidence = evidenceOfRun(report);
    // A cold backend server is slow by nature; only its failures accuse it.
    if (isCold(watch, turn.now()) && evidence != RequestEvidence::Failed)
        evidence = RequestEvidence::Neutral;
    watch.runs.finished(call.value(), evidence, report.elapsed, yardsticks.forRuns(sensitivityOf(record->service)), turn.now());
    if (isRepresentative(*record, watch, turn.now())) {
        if (evidence == RequestEvidence::Succeeded)
            yardsticks.ownServiceTimes.add(report.elapsed, turn.now());
        if (evidence == RequestEvidence::Succeeded || evidence == RequestEvidence::Failed)
            yardsticks.ownFailures.add(evidence == RequestEvidence::Failed);
    }
    judge(turn, *record, watch);
}

void Health::probeFinished(Turn& turn, const BackendId& backend, const RunReport& report)
{
    auto record = m_registry.find(backend);
    auto watch = findWatch(backend);
    if (!record || !watch || !watch->isProbing)
        return;
    watch->isProbing = false;
    if (!watch->isEjected())
        return;
    if (evidenceOfRun(report) == RequestEvidence::Succeeded) {
        beginReturn(turn, *record, *watch, "a probe was answered");
        return;
    }
    explain(turn, DecisionKind::ProbeFailed, *record, "probe ended " + std::string(nameOf(report.result)) + ", status " + std::to_string(report.status));
    watch->until = turn.now() + policyOf(record->service).probeInterval;
    m_standingTimers.set(backend, watch->until);
}

bool Health::apply(Turn& turn, const HealthReport& report)
{
    auto record = m_registry.find(report.backend);
    if (!record || !report.isFromSidecar || report.observer == m_self.instance)
        return false;
    if (report.observer != record->sidecar || report.backendIncarnation != record->incarnation)
        return false;
    auto& watch = watchOf(*record);
    if (report.version <= watch.reportVersion)
        return false;

    auto reported = strengthFromSuspicion(report.suspicion);
    bool changesVerdict = (reported >= condemnedAt) != (watch.reported >= condemnedAt);
    watch.reportVersion = report.version;
    watch.hear(reported, turn.now());
    turn.spread(report, changesVerdict ? Urgency::Immediate : Urgency::Piggyback);
    judge(turn, *record, watch);
    return true;
}

void Health::backendChanged(Turn& turn, const BackendRecord& record)
{
    if (!m_startedAt)
        m_startedAt = turn.now();
    auto known = findWatch(record.id);
    bool isNews = !known || known->incarnation != record.incarnation;
    // A process that has just started can't tell which backend servers are cold, and takes all as warm.
    bool canTellCold = turn.now() - *m_startedAt >= m_profiles.profile(m_registry.profileOf(record.service)).lifecycle.coldStart;
    if (record.phase == BackendPhase::Gone) {
        forget(record.id);
        restoreFloor(turn, record.service);
        return;
    }
    // Kept of every backend server, or a renewed record of a warm one would look like a new one.
    auto& watch = watchOf(record);
    if (record.phase == BackendPhase::Serving && (isNews ? canTellCold : watch.lastPhase == BackendPhase::Warming))
        watch.servingSince = turn.now();
    watch.lastPhase = record.phase;
    restoreFloor(turn, record.service);
}

void Health::forget(const BackendId& id)
{
    m_watches.erase(id);
    m_probeEndpoints.erase(id);
    m_looks.cancel(id);
    m_standingTimers.cancel(id);
}

void Health::setProbeEndpoint(const BackendId& id, const Endpoint& endpoint)
{
    m_probeEndpoints.insert_or_assign(id, endpoint);
}

Standing Health::standing(const BackendId& id, Instant now) const
{
    Standing standing;
    auto watch = findWatch(id);
    if (!watch)
        return standing;

    const auto& policy = policyOf(watch->service);
    standing.state = watch->state;
    standing.evidence = watch->evidence;
    standing.suspicion = suspicionFromStrength(strengthOf(*watch, now));
    standing.isLastResort = watch->accusedAt.has_value();
    if (watch->servingSince) {
        auto length = m_profiles.profile(m_registry.profileOf(watch->service)).lifecycle.coldStart;
        standing.share = std::lerp(firstColdShare, 1.0, BackendWatch::progress(*watch->servingSince, length, now));
    }
    if (watch->isEjected())
        standing.share = 0;
    if (watch->state == StandingState::Returning) {
        auto progress = BackendWatch::progress(watch->since, returnLength(policy), now);
        standing.share = std::min(standing.share, std::lerp(firstReturnShare, 1.0, progress));
        standing.isIdempotentOnly = progress < 0.5;
    }
    return standing;
}

double Health::sidecarSuspicion(const BackendId& id) const
{
    // The strength of the last look, which open requests renew every few milliseconds.
    auto watch = findWatch(id);
    return watch && watch->isLocal ? suspicionFromStrength(watch->reported) : 0;
}

BackendWatch& Health::watchOf(const BackendRecord& record)
{
    auto [entry, isNew] = m_watches.try_emplace(record.id);
    auto& watch = entry->second;
    if (!isNew && watch.incarnation == record.incarnation && watch.service == record.service) {
        watch.isLocal = record.sidecar == m_self.instance;
        return watch;
    }
    // Another incarnation is another backend server: nothing of the old one counts but how often it was ejected.
    auto schedule = watch.schedule;
    watch = BackendWatch {};
    watch.schedule = schedule;
    watch.service = record.service;
    watch.incarnation = record.incarnation;
    watch.lastPhase = record.phase;
    watch.isLocal = record.sidecar == m_self.instance;
    m_standingTimers.cancel(record.id);
    m_looks.cancel(record.id);
    return watch;
}

BackendWatch* Health::findWatch(const BackendId& id)
{
    auto watch = m_watches.find(id);
    return watch == m_watches.end() ? nullptr : &watch->second;
}

const BackendWatch* Health::findWatch(const BackendId& id) const
{
    auto watch = m_watches.find(id);
    return watch == m_watches.end() ? nullptr : &watch->second;
}

const HealthPolicy& Health::policyOf(const ServiceName& service) const
{
    return m_profiles.profile(m_registry.profileOf(service)).health;
}

Sensitivity Health::sensitivityOf(const ServiceName& service) const
{
    return Decision::sensitivityOf(policyOf(service).priority);
}

double Health::backendStrength(const BackendWatch& watch, Instant now) const
{
    if (!watch.isLocal)
        return watch.reported * remainingEvidence(std::max(Duration::zero(), now - watch.reportedAt - verdictLifetime));
    auto yardsticks = m_yardsticks.find(watch.service);
    if (yardsticks == m_yardsticks.end())
        return 0;
    return watch.runs.strength(yardsticks->second.forRuns(sensitivityOf(watch.service)), now);
}

double Health::pathStrength(const BackendWatch& watch, Instant now) const
{
    auto yardsticks = m_yardsticks.find(watch.service);
    if (yardsticks == m_yardsticks.end())
        return 0;
    return watch.attempts.strength(yardsticks->second.forPaths(sensitivityOf(watch.service)), now);
}

double Health::strengthBy(Accuser accuser, const BackendWatch& watch, Instant now) const
{
    return accuser == Accuser::Sidecar ? backendStrength(watch, now) : pathStrength(watch, now);
}

double Health::strengthOf(const BackendWatch& watch, Instant now) const
{
    return std::max(backendStrength(watch, now), pathStrength(watch, now));
}

double Health::usualStrength(Accuser accuser, const BackendRecord& record, Instant now) const
{
    std::vector<double> others;
    for (auto other : m_registry.backendsOf(record.service)) {
        if (other->id == record.id || other->phase != BackendPhase::Serving)
            continue;
        auto watch = findWatch(other->id);
        others.push_back(watch ? strengthBy(accuser, *watch, now) : 0);
    }
    if (others.empty())
        return 0;
    auto middle = others.begin() + static_cast<ptrdiff_t>(others.size() / 2);
    std::ranges::nth_element(others, middle);
    return *middle;
}

bool Health::isCommonCause(Accuser accuser, const BackendRecord& record, const BackendWatch& watch, Instant now) const
{
    auto usual = usualStrength(accuser, record, now);
    if (strengthBy(accuser, watch, now) - usual < condemnedAt - disturbedAt)
        return true;
    auto yardsticks = m_yardsticks.find(record.service);
    return accuser == Accuser::Sidecar && yardsticks != m_yardsticks.end() && yardsticks->second.isDisturbed(now);
}

bool Health::isRepresentative(const BackendRecord& record, const BackendWatch& watch, Instant now) const
{
    if (backendStrength(watch, now) < clearedAt)
        return true;
    auto yardsticks = m_yardsticks.find(record.service);
    return yardsticks != m_yardsticks.end() && yardsticks->second.isDisturbed(now);
}

bool Health::isCold(const BackendWatch& watch, Instant now) const
{
    if (!watch.servingSince)
        return false;
    return now - *watch.servingSince < m_profiles.profile(m_registry.profileOf(watch.service)).lifecycle.coldStart;
}

bool Health::couldServe(const BackendRecord& record) const
{
    return record.phase == BackendPhase::Serving && m_isReachable(record.sidecar);
}

bool Health::isInUse(const BackendRecord& record, const BackendWatch* watch, Instant now) const
{
    return couldServe(record) && (!watch || (watch->hasFullStanding() && !isCold(*watch, now)));
}

FloorGuard Health::countSlots(const ServiceName& service, Instant now) const
{
    FloorGuard guard(policyOf(service).floor);
    for (auto record : m_registry.backendsOf(service))
        guard.count(record->slots, isInUse(*record, findWatch(record->id), now));
    return guard;
}

void Health::judge(Turn& turn, const BackendRecord& record, BackendWatch& watch)
{
    auto now = turn.now();
    auto sidecar = backendStrength(watch, now);
    auto path = pathStrength(watch, now);
    auto strength = std::max(sidecar, path);
    // The verdict stands for as long as the ejection does, though the evidence fades.
    if (watch.isLocal && !watch.isEjected()) {
        watch.hear(sidecar, now);
        spreadVerdict(turn, record, watch);
    }
    if (sidecar >= disturbedAt && usualStrength(Accuser::Sidecar, record, now) >= disturbedAt)
        yardsticksOf(record.service).noteDisturbance(now);

    if (watch.isEjected()) {
        if (!watch.isLocal && watch.accuser == Accuser::Sidecar && watch.reported < sidecarRelentsAt)
            beginReturn(turn, record, watch, "its sidecar's suspicion fell");
        return;
    }
    if (strength >= suspectAt)
        watch.state = m_chart.next(watch.state, StandingEvent::Suspected);
    if (strength < clearedAt)
        watch.state = m_chart.next(watch.state, StandingEvent::Cleared);
    auto accuser = sidecar >= suspectAt ? Accuser::Sidecar : Accuser::Path;
    if (strength < condemnedAt) {
        watch.accusedAt.reset();
        return;
    }
    if (isCommonCause(accuser, record, watch, now)) {
        watch.accusedAt.reset();
        withhold(turn, record, watch, "more than half of the service's backend servers look alike");
        return;
    }
    if (!watch.accusedAt)
        watch.accusedAt = now;
    auto confirmedAt = *watch.accusedAt + sensitivityOf(record.service).confirmation;
    if (now < confirmedAt) {
        m_looks.set(record.id, confirmedAt);
        return;
    }
    tryToEject(turn, record, watch, accuser);
}

void Health::tryToEject(Turn& turn, const BackendRecord& record, BackendWatch& watch, Accuser accuser)
{
    auto guard = countSlots(record.service, turn.now());
    if (!guard.allowsEjection(record.slots, isInUse(record, &watch, turn.now()))) {
        std::ostringstream why;
        why << guard.inUse() << " of " << guard.announced() << " slots are in use and the floor is " << guard.floor();
        withhold(turn, record, watch, why.str());
        return;
    }
    eject(turn, record, watch, accuser, guard);
}

void Health::eject(Turn& turn, const BackendRecord& record, BackendWatch& watch, Accuser accuser, const FloorGuard& guard)
{
    auto now = turn.now();
    std::ostringstream evidence;
    evidence << describe(record, watch, accuser, now) << "; " << guard.inUse() << " of " << guard.announced()
             << " slots were in use, floor " << guard.floor();
    watch.state = m_chart.next(watch.state, StandingEvent::Condemned);
    watch.accuser = accuser;
    watch.evidence = evidence.str();
    watch.accusedAt.reset();
    watch.since = now;
    watch.until = now + watch.schedule.eject(policyOf(record.service), now) + (watch.isLocal ? Duration::zero() : ingressSlack);
    m_standingTimers.set(record.id, watch.until);
    m_floorChecks.set(record.service, now + floorCheckPeriod);
    explain(turn, DecisionKind::BackendEjected, record, watch.evidence);
}

void Health::withhold(Turn& turn, const BackendRecord& record, BackendWatch& watch, const std::string& why)
{
    watch.state = m_chart.next(watch.state, StandingEvent::Suspected);
    auto quiet = policyOf(record.service).ejectionTime;
    if (watch.withheldAt && turn.now() - *watch.withheldAt < quiet)
        return;
    watch.withheldAt = turn.now();
    auto accuser = backendStrength(watch, turn.now()) >= suspectAt ? Accuser::Sidecar : Accuser::Path;
    watch.evidence = describe(record, watch, accuser, turn.now()) + "; withheld because " + why;
    explain(turn, DecisionKind::BackendEjectionWithheld, record, watch.evidence);
}

void Health::beginReturn(Turn& turn, const BackendRecord& record, BackendWatch& watch, const std::string& why)
{
    auto now = turn.now();
    auto sensitivity = sensitivityOf(record.service);
    watch.state = m_chart.next(watch.state, StandingEvent::EjectionOver);
    watch.since = now;
    watch.until = now + returnLength(policyOf(record.service));
    watch.isProbing = false;
    watch.runs.restart(strengthOnReturn, sensitivity, now);
    watch.attempts.restart(strengthOnReturn, yardsticksOf(record.service).forPaths(sensitivity), now);
    watch.hear(std::min(watch.reported, strengthOnReturn), now);
    m_standingTimers.set(record.id, watch.until);
    if (watch.isLocal)
        spreadVerdict(turn, record, watch);
    std::ostringstream evidence;
    evidence << "ejection " << watch.schedule.repetitions() << " is over because " << why << "; its share grows from " << firstReturnShare
             << " with idempotent requests first";
    watch.evidence = evidence.str();
    explain(turn, DecisionKind::BackendReturning, record, watch.evidence);
}

void Health::finishReturn(Turn& turn, const BackendRecord& record, BackendWatch& watch)
{
    watch.state = m_chart.next(watch.state, StandingEvent::Proven);
    watch.hear(0, turn.now());
    watch.runs.restart(0, sensitivityOf(record.service), turn.now());
    watch.attempts.restart(0, yardsticksOf(record.service).forPaths(sensitivityOf(record.service)), turn.now());
    explain(turn, DecisionKind::BackendReturned, record, describe(record, watch, Accuser::Sidecar, turn.now()));
    watch.evidence.clear();
}

void Health::handleStandingTimer(Turn& turn, const BackendRecord& record, BackendWatch& watch)
{
    if (watch.isEjected()) {
        if (!watch.isLocal || !sendProbe(turn, record, watch))
            beginReturn(turn, record, watch, "its time is over");
        return;
    }
    if (watch.state != StandingState::Returning)
        return;
    if (strengthOf(watch, turn.now()) > suspectAt) {
        m_standingTimers.set(record.id, turn.now() + shortestReturn);
        judge(turn, record, watch);
        return;
    }
    finishReturn(turn, record, watch);
}

bool Health::sendProbe(Turn& turn, const BackendRecord& record, BackendWatch& watch)
{
    const auto& policy = policyOf(record.service);
    auto endpoint = m_probeEndpoints.find(record.id);
    if (policy.probePath.empty() || endpoint == m_probeEndpoints.end() || watch.isProbing)
        return false;
    if (watch.probedAt && turn.now() - *watch.probedAt < policy.probeInterval)
        return false;
    watch.isProbing = true;
    watch.probedAt = turn.now();
    turn.emit(ProbeBackend { record.id, endpoint->second, policy.probePath, probeTimeout });
    explain(turn, DecisionKind::ProbeSent, record, "its ejection is over");
    // If no result comes, the ejection ends all the same.
    m_standingTimers.set(record.id, turn.now() + 2 * probeTimeout);
    return true;
}

void Health::restoreFloor(Turn& turn, const ServiceName& service)
{
    auto now = turn.now();
    bool hasEjected = false;
    std::vector<std::pair<const BackendRecord*, BackendWatch*>> candidates;
    for (auto record : m_registry.backendsOf(service)) {
        auto watch = findWatch(record->id);
        if (!watch || watch->hasFullStanding())
            continue;
        hasEjected = true;
        if (couldServe(*record))
            candidates.emplace_back(record, watch);
    }
    if (!hasEjected)
        return;
    m_floorChecks.set(service, now + floorCheckPeriod);
    if (!countSlots(service, now).isBroken())
        return;

    // The least bad come back first, those that are returning already before them, and cold ones last.
    std::ranges::sort(candidates, {}, [&](const auto& candidate) {
        const auto& watch = *candidate.second;
        return std::tuple(isCold(watch, now), watch.isEjected(), strengthOf(watch, now));
    });
    for (auto [record, watch] : candidates) {
        watch->state = m_chart.next(watch->state, StandingEvent::FloorReached);
        watch->evidence += "; in use again because the floor was reached";
        m_standingTimers.cancel(record->id);
        explain(turn, DecisionKind::BackendReturned, *record, watch->evidence);
        if (!countSlots(service, now).isBroken())
            return;
    }
}

void Health::spreadVerdict(Turn& turn, const BackendRecord& record, BackendWatch& watch)
{
    // A floor that leaves all slots in use takes verdicts out of use, so that nobody needs to hear them.
    bool isEjectionInUse = policyOf(record.service).floor < 1;
    auto level = levelOf(watch.reported);
    if (level == watch.spreadLevel || !isEjectionInUse)
        return;
    bool changesVerdict = level == levelOf(condemnedAt) || watch.spreadLevel == levelOf(condemnedAt);
    watch.spreadLevel = level;
    HealthReport report;
    report.backend = record.id;
    report.backendIncarnation = record.incarnation;
    report.observer = m_self.instance;
    report.isFromSidecar = true;
    report.suspicion = suspicionFromStrength(watch.reported);
    report.version = m_self.incarnation.value() * reportsPerIncarnation + ++watch.spreadCount;
    turn.spread(report, changesVerdict ? Urgency::Immediate : Urgency::Piggyback);
}

void Health::scheduleLook(const BackendRecord& record, const BackendWatch& watch, Instant now)
{
    if (m_looks.contains(record.id))
        return;
    const auto& yardsticks = yardsticksOf(record.service);
    auto sensitivity = sensitivityOf(record.service);
    auto look = earliest(watch.runs.nextLook(yardsticks.forRuns(sensitivity), now), watch.attempts.nextLook(yardsticks.forPaths(sensitivity), now));
    if (look)
        m_looks.set(record.id, *look);
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
    turn.explain(std::move(event));
}

std::string Health::describe(const BackendRecord& record, const BackendWatch& watch, Accuser accuser, Instant now) const
{
    std::ostringstream text;
    text.precision(3);
    text << "the " << nameOf(accuser) << " looks bad: strength " << strengthBy(accuser, watch, now) << " of " << condemnedAt << " to eject";
    auto yardsticks = m_yardsticks.find(record.service);
    if (yardsticks == m_yardsticks.end())
        return text.str();
    auto sensitivity = sensitivityOf(record.service);
    if (accuser == Accuser::Path)
        text << "; " << watch.attempts.describe(yardsticks->second.forPaths(sensitivity), now);
    if (accuser == Accuser::Sidecar && watch.isLocal)
        text << "; " << watch.runs.describe(yardsticks->second.forRuns(sensitivity), now);
    if (accuser == Accuser::Sidecar && !watch.isLocal)
        text << "; as its sidecar " << record.sidecar << " reported";
    return text.str();
}

}
