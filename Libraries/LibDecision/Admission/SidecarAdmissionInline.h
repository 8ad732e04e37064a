#pragma once

#include <LibDecision/Admission/SidecarAdmission.h>

#include <LibDecision/Calls/AttemptVerdict.h>

#include <algorithm>
#include <cmath>
#include <utility>

// Definitions of the members of the class template in SidecarAdmission.h.
namespace Decision {

template <ClaimGate Gate, RunObserver Observer>
SidecarAdmission<Gate, Observer>::SidecarAdmission(LocalBackends& backends, const ProfileRegistry& profiles, CrashGuard& crashGuard, Gate& gate, Observer& observer)
    : m_backends(backends)
    , m_profiles(profiles)
    , m_crashGuard(crashGuard)
    , m_gate(gate)
    , m_observer(observer)
{
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<Instant> SidecarAdmission<Gate, Observer>::nextTimer() const
{
    auto first = earliest(earliest(m_ledger.nextTimer(), m_lateTimers.next()), earliest(m_waitTimers.next(), m_rampTimers.next()));
    return earliest(first, earliest(m_limitTimers.next(), m_connectionCheckTimers.next()));
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::handleTimer(Turn& turn)
{
    for (auto call : m_ledger.removeExpired(turn.now()))
        turn.emit(ForgetAnswer { call });
    for (auto call : m_lateTimers.takeDue(turn.now()))
        recordLateRun(call, turn.now());
    for (auto call : m_waitTimers.takeDue(turn.now()))
        handleWaitTimeout(turn, call);
    for (const auto& backend : m_rampTimers.takeDue(turn.now()))
        serveQueue(turn, backend);
    for (const auto& backend : m_limitTimers.takeDue(turn.now()))
        serveQueue(turn, backend);
    for (const auto& backend : m_connectionCheckTimers.takeDue(turn.now()))
        checkConnection(turn, backend);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::handleWaitTimeout(Turn& turn, SidecarCallId call)
{
    // Another timeout of the same turn may have ended or started this request.
    auto entry = m_calls.find(call);
    if (entry == m_calls.end())
        return;
    const auto& admitted = entry->second;
    bool isOverdue = admitted.deadline <= turn.now();
    auto backend = admitted.backend;
    if (admitted.stage == AdmissionStage::Queued)
        end(turn, call, { Outcome::NotRun, isOverdue ? Reason::DeadlineExceeded : Reason::Overloaded }, "queue");
    else if (admitted.stage == AdmissionStage::Claiming && isOverdue)
        withdrawClaim(turn, call, { Outcome::NotRun, Reason::DeadlineExceeded });
    else if (admitted.stage == AdmissionStage::Running && admitted.isCancelled)
        runFinished(turn, call, { .result = AttemptResult::Cancelled, .reason = Reason::CallerGone, .elapsed = turn.now() - admitted.startedAt });
    backendChanged(turn, backend);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::arrive(Turn& turn, const SidecarCallArrived& arrival)
{
    if (m_calls.contains(arrival.call)) {
        ++m_ignoredInputs;
        return;
    }
    if (arrival.key && handleResend(turn, arrival))
        return;
    bool isKeyed = arrival.request.key && !arrival.isIdempotent;
    if (arrival.isReplayOnly || (isKeyed && m_gate.findKeptAnswer(arrival.request))) {
        replay(turn, arrival);
        return;
    }
    auto reason = refusalFor(turn, arrival);
    if (!reason)
        learnLimit(turn, arrival);
    if (!reason && exceedsRetryShare(arrival, turn.now()))
        reason = Reason::RetryBudgetExhausted;
    bool isTrial = !reason && exceedsFaultBound(arrival.backend, arrival.isIdempotent, turn.now()) && beginTrial(arrival, turn.now());
    bool toleratesFault = isTrial || arrival.isLastResort;
    if (!reason && !toleratesFault && exceedsFaultBound(arrival.backend, arrival.isIdempotent, turn.now()))
        reason = Reason::BackendSuspected;
    if (reason) {
        // The attempt may be delivered again over another connection after its ingress has sent the request elsewhere.
        if (arrival.key) {
            m_ledger.begin(*arrival.key, arrival.call);
            m_ledger.end(arrival.call, RunState::NotRun, *reason, turn.now());
        }
        sendRefusal(turn, arrival.call, arrival.backend, arrival.request, { Outcome::NotRun, *reason }, "admit");
        return;
    }

    AdmittedCall admitted;
    admitted.backend = arrival.backend;
    admitted.incarnation = arrival.incarnation;
    admitted.request = arrival.request;
    // The ingress sends the service that the caller requested; a route may have mapped it to another service.
    admitted.request.service = m_backends.find(arrival.backend)->announcement.service;
    admitted.isIdempotent = arrival.isIdempotent;
    admitted.toleratesFault = toleratesFault;
    admitted.priority = arrival.priority;
    admitted.longestWait = arrival.longestWait;
    admitted.arrival = arrival.arrival;
    admitted.latencyObjective = arrival.latencyObjective;
    admitted.deadline = turn.now() + arrival.request.remaining.value_or(profileOf(arrival.backend).deadlines.defaultDeadline);
    auto [entry, isNew] = m_occupancies.try_emplace(arrival.backend);
    auto& occupancy = entry->second;
    if (isNew)
        occupancy.incarnation = arrival.incarnation;
    auto& call = m_calls.emplace(arrival.call, std::move(admitted)).first->second;
    if (arrival.key)
        m_ledger.begin(*arrival.key, arrival.call);
    reserveRetry(call, turn.now());
    auto waitReason = waitReasonFor(call, turn.now());
    if (!waitReason && !occupancy.queue.isEmpty())
        waitReason = Reason::BackendBusy;
    if (m_takesTurns && isFirstOffer(arrival))
        occupancy.turns.requested(call.request.account, turn.now());
    if (!waitReason)
        start(turn, arrival.call, call);
    else if (arrival.isOnlyForFreeSlot)
        refuseInsteadOfQueueing(turn, arrival.call, call, *waitReason);
    else
        enqueue(turn, arrival.call, call);
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::handleResend(Turn& turn, const SidecarCallArrived& arrival)
{
    const auto* known = m_ledger.find(*arrival.key);
    if (!known) {
        if (!mayHaveRunBefore(arrival))
            return false;
        auto reason = m_ledger.mayHaveForgotten(*arrival.key) ? Reason::PeerUnreachable : Reason::PeerRestarted;
        sendRefusal(turn, arrival.call, arrival.backend, arrival.request, { Outcome::Unknown, reason }, "settle");
        return true;
    }
    switch (known->state) {
    case RunState::Pending:
        m_calls.at(known->call).isCancelled = false;
        turn.emit(RebindSidecarCall { arrival.call, known->call });
        explain(turn, DecisionKind::RequestSettled, arrival.backend, arrival.request, "settle", "the attempt is still in progress");
        return true;
    case RunState::Answered:
        turn.emit(ReplaySidecarCall { arrival.call, known->call, load(arrival.backend, turn.now()) });
        explain(turn, DecisionKind::RequestSettled, arrival.backend, arrival.request, "settle", "the attempt's kept answer is replayed");
        return true;
    case RunState::NotRun:
        sendRefusal(turn, arrival.call, arrival.backend, arrival.request, { Outcome::NotRun, known->reason }, "settle");
        return true;
    case RunState::Unknown:
        sendRefusal(turn, arrival.call, arrival.backend, arrival.request, { Outcome::Unknown, known->reason }, "settle");
        return true;
    }
    return true;
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::mayHaveRunBefore(const SidecarCallArrived& arrival) const
{
    if (m_ledger.mayHaveForgotten(*arrival.key))
        return true;
    // A first send needs no check of the start. Its bytes travel on one connection, which belongs to one process and ends with
    // it, and the ingress closes that connection before it sends the attempt again; one that isn't open by then carries no
    // byte any more. So a first send that arrives here has reached no other process, and later sends that reached this one are
    // in the ledger.
    if (!arrival.isResent())
        return false;
    // An earlier send may have run at the process that it was addressed to. If that was another one, its ledger is lost. No age
    // is compared, since it doesn't count the time in transit, and incarnations are compared for equality only, since the time
    // of day may have been set back before a restart. Ingresses of earlier versions don't name the start.
    return arrival.receiverStart != m_backends.startIncarnation();
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::cancel(Turn& turn, SidecarCallId call)
{
    auto entry = m_calls.find(call);
    if (entry == m_calls.end()) {
        ++m_ignoredInputs;
        return;
    }
    auto& admitted = entry->second;
    if (admitted.isCancelled)
        return;
    admitted.isCancelled = true;
    auto backend = admitted.backend;
    switch (admitted.stage) {
    case AdmissionStage::Queued:
        m_ledger.end(call, RunState::NotRun, Reason::CallerGone, turn.now());
        release(call);
        backendChanged(turn, backend);
        return;
    case AdmissionStage::Claiming:
        withdrawClaim(turn, call, { Outcome::NotRun, Reason::CallerGone });
        return;
    case AdmissionStage::Running:
        // The run continues, since its ingress may ask for its outcome over another connection.
        if (admitted.needsClaim() || m_ledger.isInProgress(call))
            return;
        turn.emit(CancelRun { call });
        m_waitTimers.set(call, turn.now() + cancellationGrace);
        return;
    }
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::claimDecided(Turn& turn, const ClaimDecision& decision)
{
    auto entry = m_calls.find(decision.call);
    if (entry == m_calls.end() || entry->second.stage != AdmissionStage::Claiming) {
        ++m_ignoredInputs;
        return;
    }
    auto& admitted = entry->second;
    if (decision.verdict != ClaimVerdict::Granted) {
        handleUngrantedClaim(turn, decision);
        return;
    }
    if (turn.now() >= decision.validUntil) {
        withdrawClaim(turn, decision.call, { Outcome::NotRun, Reason::ClaimUnavailable });
        return;
    }
    if (auto refusalReason = dispatchRefusalFor(admitted, turn.now())) {
        withdrawClaim(turn, decision.call, { Outcome::NotRun, *refusalReason });
        return;
    }
    // The backend server may have announced fewer slots since this request took one.
    if (m_occupancies.at(admitted.backend).running > load(admitted.backend, turn.now()).slots) {
        withdrawClaim(turn, decision.call, { Outcome::NotRun, Reason::Overloaded });
        return;
    }
    const auto* limit = limitOf(admitted.backend, admitted.incarnation);
    if (limit && !limit->allows(turn.now())) {
        withdrawClaim(turn, decision.call, { Outcome::NotRun, Reason::BackendLimited });
        return;
    }
    run(turn, decision.call, admitted);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::runFinished(Turn& turn, SidecarCallId call, const RunReport& reported)
{
    auto entry = m_calls.find(call);
    if (entry == m_calls.end() || entry->second.stage != AdmissionStage::Running) {
        ++m_ignoredInputs;
        return;
    }
    auto admitted = entry->second;
    auto report = reported;
    // Reports of cancelled runs don't carry the elapsed time, but health checking evaluates how long a run was open.
    if (report.result == AttemptResult::Cancelled)
        report.elapsed = turn.now() - admitted.startedAt;
    chargeActualUsage(admitted, report, turn.now());
    updateServiceTime(m_occupancies[admitted.backend], report);
    observeFault(admitted, report, turn.now());
    if (report.reason == Reason::BackendMisdirected && admitted.incarnation == m_occupancies[admitted.backend].incarnation)
        m_occupancies[admitted.backend].misdirectedUntil = turn.now() + misdirectionHold;
    if (report.notice)
        heedNotice(turn, admitted.backend, admitted.incarnation, *report.notice, admitted.startedAt);
    observeCrashes(turn, admitted, report);
    m_observer.runFinished(turn, call, admitted.backend, report);
    release(call);
    if (report.result == AttemptResult::Stalled)
        dropConnections(turn, admitted);
    if (admitted.needsClaim())
        finishClaimed(turn, call, verdictOf(report).outcome);
    if (m_ledger.isInProgress(call))
        recordRunResult(turn, call, verdictOf(report));
    if (!admitted.isCancelled)
        sendOutcome(turn, call, admitted, report);
    backendChanged(turn, admitted.backend);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::probeFinished(Turn& turn, const BackendId& backend, const RunReport& report)
{
    heedProbe(turn, backend, report);
    auto occupancy = m_occupancies.find(backend);
    if (occupancy == m_occupancies.end())
        return;
    if (report.result == AttemptResult::Answered)
        occupancy->second.crashWatch.clearCutsUntil(turn.now() - report.elapsed);
    if (report.result == AttemptResult::NotSent && report.reason == Reason::ConnectFailed)
        recordSuspectedCrashes(turn, backend, occupancy->second.incarnation);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::backendChanged(Turn& turn, const BackendId& backend)
{
    auto occupancy = m_occupancies.find(backend);
    if (occupancy == m_occupancies.end()) {
        const auto* idle = m_backends.find(backend);
        if (idle && idle->phase == BackendPhase::Draining)
            m_backends.drained(turn, backend);
        return;
    }

    const auto* local = m_backends.find(backend);
    bool isNewIncarnation = local && local->announcement.incarnation > occupancy->second.incarnation;
    if (isNewIncarnation || (local && local->hasEndedUnannounced()))
        recordSuspectedCrashes(turn, backend, occupancy->second.incarnation);
    if (isNewIncarnation) {
        refuseQueue(turn, backend, Reason::StaleIncarnation);
        m_occupancies[backend].incarnation = local->announcement.incarnation;
        m_occupancies[backend].misdirectedUntil = {};
    }
    if (auto refusalReason = phaseRefusalFor(local, m_occupancies[backend].incarnation))
        refuseQueue(turn, backend, *refusalReason);
    if (local && local->phase == BackendPhase::Draining && m_occupancies[backend].running == 0)
        m_backends.drained(turn, backend);
    serveQueue(turn, backend);
    removeIfGone(backend);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::leave(Turn&)
{
    m_isLeaving = true;
}

template <ClaimGate Gate, RunObserver Observer>
LoadReport SidecarAdmission<Gate, Observer>::load(const BackendId& backend, Instant now) const
{
    LoadReport report;
    const auto* local = m_backends.find(backend);
    if (local && local->phase == BackendPhase::Serving && !isMisdirected(backend, now))
        report.slots = ColdStartRamp(local->servingSince, profileOf(backend).lifecycle.coldStart, local->announcement.slots).usableSlots(now);
    report.suspicion = m_observer.sidecarSuspicion(backend);
    if (local)
        report.condition = conditionOf(*local, now);
    auto occupancy = m_occupancies.find(backend);
    if (occupancy == m_occupancies.end())
        return report;
    report.running = occupancy->second.running;
    report.queued = occupancy->second.queue.size();
    report.serviceTime = occupancy->second.serviceTime;
    report.faultProbability = occupancy->second.faults.probability(now);
    report.isTrialDue = isTrialDue(occupancy->second, now);
    return report;
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::replay(Turn& turn, const SidecarCallArrived& arrival)
{
    auto kept = m_gate.findKeptAnswer(arrival.request);
    if (kept)
        turn.emit(ReplaySidecarCall { arrival.call, *kept, load(arrival.backend, turn.now()) });
    else
        sendRefusal(turn, arrival.call, arrival.backend, arrival.request, { Outcome::Unknown, Reason::KeyOutcomeUnknown }, "replay");
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<Reason> SidecarAdmission<Gate, Observer>::refusalFor(Turn& turn, const SidecarCallArrived& arrival) const
{
    if (m_isLeaving)
        return Reason::ProcessLeaving;
    const auto* local = m_backends.find(arrival.backend);
    if (auto refusalReason = phaseRefusalFor(local, arrival.incarnation))
        return refusalReason;
    if (isMisdirected(arrival.backend, turn.now()))
        return Reason::StaleIncarnation;
    if (arrival.request.remaining && *arrival.request.remaining <= Duration::zero())
        return Reason::DeadlineExceeded;
    if (m_crashGuard.isRefused(arrival.request.fingerprint, profileOf(arrival.backend).crash, turn.now()))
        return Reason::CrashSuspected;
    return std::nullopt;
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::exceedsRetryShare(const SidecarCallArrived& arrival, Instant now)
{
    const auto& policy = profileOf(arrival.backend).retries;
    if (arrival.arrival == ArrivalKind::First || policy.fleetExtra == 0)
        return false;
    const auto& service = m_backends.find(arrival.backend)->announcement.service;
    auto& share = retryShareOf(service);
    auto size = m_serviceSize(service);
    return !(arrival.arrival == ArrivalKind::Retry ? share.hasRetryLeft(policy, size, now) : share.hasReserveLeft(policy, size, now));
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::reserveRetry(AdmittedCall& admitted, Instant now)
{
    const auto& policy = profileOf(admitted.backend).retries;
    admitted.hasReservedRetry = policy.fleetExtra > 0 && admitted.arrival != ArrivalKind::First;
    const auto& service = admitted.request.service;
    if (admitted.hasReservedRetry)
        retryShareOf(service).spend(policy, m_serviceSize(service), now);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::refundRetry(const AdmittedCall& admitted)
{
    if (admitted.hasReservedRetry)
        retryShareOf(admitted.request.service).refund();
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::countArrival(Turn& turn, const AdmittedCall& admitted)
{
    ++(admitted.arrival == ArrivalKind::First ? m_arrivals.first : admitted.arrival == ArrivalKind::Retry ? m_arrivals.retries
                                                                                                          : m_arrivals.countedAsRetry);
    const auto& policy = profileOf(admitted.backend).retries;
    if (policy.fleetExtra == 0)
        return;
    const auto& service = admitted.request.service;
    auto& share = retryShareOf(service);
    // Calls that running requests make aren't callers' requests, so their first arrivals deposit nothing.
    if (admitted.arrival == ArrivalKind::First && !admitted.request.parent)
        share.countFirstArrival(policy, m_serviceSize(service), turn.now());
    if (admitted.arrival != ArrivalKind::First)
        explain(turn, DecisionKind::RequestCountedAsRetry, admitted.backend, admitted.request, "run", std::string(nameOf(admitted.arrival)) + "; " + std::to_string(share.left()) + " retries are left of a share among " + std::to_string(m_serviceSize(service)) + " backend servers");
}

template <ClaimGate Gate, RunObserver Observer>
const AdmittedCall* SidecarAdmission<Gate, Observer>::findRunning(const RequestId& request) const
{
    auto running = std::ranges::find_if(m_calls, [&](const auto& entry) {
        return entry.second.request.id == request && entry.second.stage == AdmissionStage::Running;
    });
    return running == m_calls.end() ? nullptr : &running->second;
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<uint32_t> SidecarAdmission<Gate, Observer>::priorityOfRunning(const RequestId& request) const
{
    const auto* running = findRunning(request);
    return running ? std::optional(running->priority) : std::nullopt;
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<AccountId> SidecarAdmission<Gate, Observer>::accountOfRunning(const RequestId& request) const
{
    const auto* running = findRunning(request);
    return running ? std::optional(running->request.account) : std::nullopt;
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::isRunningFirstArrival(const RequestId& request) const
{
    return std::ranges::any_of(m_calls, [&](const auto& entry) {
        const auto& admitted = entry.second;
        return admitted.request.id == request && admitted.stage == AdmissionStage::Running && admitted.arrival == ArrivalKind::First;
    });
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::exceedsFaultBound(const BackendId& backend, bool isIdempotent, Instant now) const
{
    auto occupancy = m_occupancies.find(backend);
    if (occupancy == m_occupancies.end())
        return false;
    auto bound = profileOf(backend).health.faultBoundFor(isIdempotent);
    return bound < 1 && occupancy->second.faults.probability(now) >= bound;
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::isTrialDue(const BackendOccupancy& occupancy, Instant now) const
{
    return !(occupancy.trial && m_calls.contains(*occupancy.trial)) && occupancy.faults.isTrialDue(now);
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::beginTrial(const SidecarCallArrived& arrival, Instant now)
{
    auto& occupancy = m_occupancies.at(arrival.backend);
    if (!arrival.isIdempotent || !isTrialDue(occupancy, now))
        return false;
    occupancy.trial = arrival.call;
    return true;
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::nestedCallFailed(const RequestId& request)
{
    for (auto& [call, admitted] : m_calls) {
        if (admitted.request.id == request)
            admitted.hasFailedCall = true;
    }
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<Reason> SidecarAdmission<Gate, Observer>::dispatchRefusalFor(const AdmittedCall& admitted, Instant now) const
{
    if (auto refusalReason = phaseRefusalFor(m_backends.find(admitted.backend), admitted.incarnation))
        return refusalReason;
    if (isMisdirected(admitted.backend, now))
        return Reason::StaleIncarnation;
    if (admitted.deadline <= now)
        return Reason::DeadlineExceeded;
    if (m_crashGuard.isRefused(admitted.request.fingerprint, profileOf(admitted.backend).crash, now))
        return Reason::CrashSuspected;
    if (!admitted.toleratesFault && exceedsFaultBound(admitted.backend, admitted.isIdempotent, now))
        return Reason::BackendSuspected;
    return std::nullopt;
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<Reason> SidecarAdmission<Gate, Observer>::phaseRefusalFor(const LocalBackend* local, Incarnation incarnation) const
{
    if (!local || local->phase == BackendPhase::Gone)
        return Reason::BackendUnknown;
    if (local->announcement.incarnation != incarnation)
        return Reason::StaleIncarnation;
    if (local->phase == BackendPhase::Draining)
        return Reason::BackendDraining;
    if (local->phase == BackendPhase::Warming)
        return Reason::BackendCold;
    return std::nullopt;
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::hasSlotFor(const AdmittedCall& admitted, Instant now) const
{
    const auto& occupancy = m_occupancies.at(admitted.backend);
    if (occupancy.isolatedCall || occupancy.running >= load(admitted.backend, now).slots)
        return false;
    bool mustRunAlone = m_crashGuard.isSuspected(admitted.request.fingerprint, profileOf(admitted.backend).crash, now);
    return !mustRunAlone || occupancy.running == 0;
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<Reason> SidecarAdmission<Gate, Observer>::waitReasonFor(const AdmittedCall& admitted, Instant now) const
{
    if (!hasSlotFor(admitted, now))
        return Reason::BackendBusy;
    const auto* limit = limitOf(admitted.backend, admitted.incarnation);
    return limit && !limit->allows(now) ? std::optional(Reason::BackendLimited) : std::nullopt;
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::isMisdirected(const BackendId& backend, Instant now) const
{
    auto occupancy = m_occupancies.find(backend);
    return occupancy != m_occupancies.end() && now < occupancy->second.misdirectedUntil;
}

template <ClaimGate Gate, RunObserver Observer>
Duration SidecarAdmission<Gate, Observer>::longestWait(const AdmittedCall& admitted) const
{
    auto queueTimeout = profileOf(admitted.backend).capacity.queueTimeout;
    return admitted.longestWait > Duration::zero() ? std::min(queueTimeout, admitted.longestWait) : queueTimeout;
}

template <ClaimGate Gate, RunObserver Observer>
Duration SidecarAdmission<Gate, Observer>::waitForLimit(const AdmittedCall& admitted, Instant now) const
{
    const auto* limit = limitOf(admitted.backend, admitted.incarnation);
    return limit ? limit->waitFor(countAhead(admitted), now) : Duration::zero();
}

template <ClaimGate Gate, RunObserver Observer>
bool SidecarAdmission<Gate, Observer>::isFirstOffer(const SidecarCallArrived& arrival)
{
    auto wholeWait = arrival.request.parent ? arrival.latencyObjective : arrival.latencyObjective / 2;
    return arrival.longestWait >= wholeWait;
}

template <ClaimGate Gate, RunObserver Observer>
size_t SidecarAdmission<Gate, Observer>::countAhead(const AdmittedCall& admitted) const
{
    const auto& queue = m_occupancies.at(admitted.backend).queue;
    return m_takesTurns ? queue.countAheadInTurns(admitted.priority, admitted.request.account) : queue.countAhead(admitted.priority);
}

template <ClaimGate Gate, RunObserver Observer>
FairQueueOffer SidecarAdmission<Gate, Observer>::offerToQueue(SidecarCallId call, const AdmittedCall& admitted, Instant now)
{
    const auto& profile = profileOf(admitted.backend);
    const auto& account = admitted.request.account;
    FairQueueLimits limits { profile.capacity.queueLength, profile.fairness.maximumAccountShare };
    auto& occupancy = m_occupancies.at(admitted.backend);
    // Among tenants, the one with the most waiting requests is the heaviest: recent usage would push out for a while those
    // that usually send more than others.
    if (m_takesTurns)
        return occupancy.queue.offer(call, admitted.priority, account, 0, 1, limits, occupancy.turns.turnOf(account, now));
    auto usage = m_usage.estimate(admitted.request.service, account, now);
    auto cost = static_cast<double>(std::max<Duration>(occupancy.serviceTime, minimumCost).count());
    return occupancy.queue.offer(call, admitted.priority, account, usage, cost, limits);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::recordService(const AdmittedCall& admitted, Instant now)
{
    const auto& account = admitted.request.account;
    auto& occupancy = m_occupancies.at(admitted.backend);
    m_usage.charge(admitted.request.service, account, admitted.charged, now);
    if (!m_takesTurns) {
        occupancy.queue.setUsage(account, m_usage.estimate(admitted.request.service, account, now));
        return;
    }
    occupancy.turns.served(account, now);
    occupancy.queue.setUsage(account, 0, occupancy.turns.turnOf(account, now));
}

template <ClaimGate Gate, RunObserver Observer>
Duration SidecarAdmission<Gate, Observer>::expectedWaitForSlot(const AdmittedCall& admitted) const
{
    const auto& occupancy = m_occupancies.at(admitted.backend);
    auto slots = std::max<Duration::rep>(1, m_backends.find(admitted.backend)->announcement.slots);
    return occupancy.serviceTime * static_cast<Duration::rep>(countAhead(admitted)) / slots;
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::enqueue(Turn& turn, SidecarCallId call, AdmittedCall& admitted)
{
    const auto& profile = profileOf(admitted.backend);
    auto& occupancy = m_occupancies.at(admitted.backend);
    if (expectedWaitForSlot(admitted) > longestWait(admitted)) {
        end(turn, call, { Outcome::NotRun, Reason::QueueFull }, "queue");
        return;
    }
    if (waitForLimit(admitted, turn.now()) > longestWait(admitted)) {
        end(turn, call, { Outcome::NotRun, Reason::BackendLimited }, "queue");
        return;
    }
    auto offer = offerToQueue(call, admitted, turn.now());
    if (offer.displaced)
        end(turn, *offer.displaced, { Outcome::NotRun, Reason::FairShareExceeded }, "queue");
    if (!offer.isAccepted) {
        end(turn, call, { Outcome::NotRun, offer.reason }, "queue");
        return;
    }
    m_waitTimers.set(call, std::min(admitted.deadline, turn.now() + longestWait(admitted)));
    explain(turn, DecisionKind::RequestQueued, admitted.backend, admitted.request, "queue", std::to_string(occupancy.queue.size()) + " of " + std::to_string(profile.capacity.queueLength) + " queue positions are used");
    scheduleRamp(admitted.backend, turn.now());
    scheduleNextUnderLimit(admitted.backend, turn.now());
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::start(Turn& turn, SidecarCallId call, AdmittedCall& admitted)
{
    const auto& profile = profileOf(admitted.backend);
    auto& occupancy = m_occupancies.at(admitted.backend);
    admitted.runsAlone = m_crashGuard.isSuspected(admitted.request.fingerprint, profile.crash, turn.now());
    if (admitted.runsAlone)
        occupancy.isolatedCall = call;
    ++occupancy.running;
    admitted.charged = std::max<Duration>(occupancy.serviceTime, minimumCost);
    recordService(admitted, turn.now());
    if (!admitted.needsClaim()) {
        run(turn, call, admitted);
        return;
    }
    admitted.stage = AdmissionStage::Claiming;
    m_waitTimers.set(call, admitted.deadline);
    m_gate.request(turn, call, admitted.request, profile);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::run(Turn& turn, SidecarCallId call, AdmittedCall& admitted)
{
    const auto& profile = profileOf(admitted.backend);
    m_waitTimers.cancel(call);
    admitted.stage = AdmissionStage::Running;
    admitted.startedAt = turn.now();
    countArrival(turn, admitted);
    if (auto limit = m_limits.find(admitted.backend); limit != m_limits.end() && limit->second.incarnation == admitted.incarnation)
        limit->second.limit.countRequest(turn.now());
    RunCall effect;
    effect.call = call;
    effect.backend = admitted.backend;
    effect.endpoint = m_backends.find(admitted.backend)->announcement.endpoint;
    effect.remaining = admitted.deadline - turn.now();
    effect.progressTimeout = profile.deadlines.progressTimeout;
    effect.needsProvenConnection = !admitted.isIdempotent;
    effect.maximumConnections = profile.capacity.connections;
    effect.idleConnectionTimeout = profile.capacity.idleConnectionTimeout;
    if (admitted.latencyObjective > Duration::zero())
        m_lateTimers.set(call, turn.now() + admitted.latencyObjective);
    m_observer.runStarted(turn, call, admitted.backend);
    turn.emit(std::move(effect));
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::serveQueue(Turn& turn, const BackendId& backend)
{
    auto occupancy = m_occupancies.find(backend);
    if (occupancy == m_occupancies.end())
        return;
    auto& queue = occupancy->second.queue;
    while (auto call = queue.front()) {
        auto& admitted = m_calls.at(*call);
        if (auto refusalReason = dispatchRefusalFor(admitted, turn.now())) {
            end(turn, *call, { Outcome::NotRun, *refusalReason }, "queue");
            continue;
        }
        if (waitReasonFor(admitted, turn.now()))
            break;
        queue.remove(*call);
        m_waitTimers.cancel(*call);
        start(turn, *call, admitted);
    }
    scheduleRamp(backend, turn.now());
    scheduleNextUnderLimit(backend, turn.now());
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::refuseQueue(Turn& turn, const BackendId& backend, Reason reason)
{
    auto& queue = m_occupancies.at(backend).queue;
    while (auto call = queue.front())
        end(turn, *call, { Outcome::NotRun, reason }, "queue");
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::scheduleRamp(const BackendId& backend, Instant now)
{
    m_rampTimers.cancel(backend);
    const auto* local = m_backends.find(backend);
    if (!local || local->phase != BackendPhase::Serving || m_occupancies.at(backend).queue.isEmpty())
        return;
    ColdStartRamp ramp(local->servingSince, profileOf(backend).lifecycle.coldStart, local->announcement.slots);
    if (auto step = ramp.nextStep(now))
        m_rampTimers.set(backend, *step);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::scheduleNextUnderLimit(const BackendId& backend, Instant now)
{
    m_limitTimers.cancel(backend);
    const auto* local = m_backends.find(backend);
    const auto* limit = local ? limitOf(backend, local->announcement.incarnation) : nullptr;
    if (limit && !m_occupancies.at(backend).queue.isEmpty() && !limit->allows(now))
        m_limitTimers.set(backend, now + limit->waitFor(0, now));
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::handleUngrantedClaim(Turn& turn, const ClaimDecision& decision)
{
    auto admitted = m_calls.at(decision.call);
    switch (decision.verdict) {
    case ClaimVerdict::Granted:
    case ClaimVerdict::Unknown:
        end(turn, decision.call, { Outcome::Unknown, Reason::KeyOutcomeUnknown }, "claim");
        break;
    case ClaimVerdict::InProgress:
        // This request doesn't run, but the first one with its key may: the caller must not assume that nothing was
        // done.
        end(turn, decision.call, { Outcome::Unknown, Reason::KeyInProgress }, "claim");
        break;
    case ClaimVerdict::Finished:
        if (decision.keptAnswer) {
            release(decision.call);
            turn.emit(ReplaySidecarCall { decision.call, *decision.keptAnswer, load(admitted.backend, turn.now()) });
        } else if (!decision.outcomeKeeper.isEmpty()) {
            release(decision.call);
            turn.emit(RedirectSidecarCall { decision.call, decision.outcomeKeeper });
        } else {
            end(turn, decision.call, { Outcome::Unknown, Reason::KeyOutcomeUnknown }, "claim");
        }
        break;
    case ClaimVerdict::NotHolder:
    case ClaimVerdict::Settling:
        end(turn, decision.call, { Outcome::NotRun, Reason::ClaimUnavailable }, "claim");
        break;
    case ClaimVerdict::Mismatch:
        end(turn, decision.call, { Outcome::NotRun, Reason::KeyAlreadyUsed }, "claim");
        break;
    }
    backendChanged(turn, admitted.backend);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::withdrawClaim(Turn& turn, SidecarCallId call, Verdict verdict)
{
    auto backend = m_calls.at(call).backend;
    m_gate.finished(turn, call, Outcome::NotRun);
    end(turn, call, verdict, "claim");
    backendChanged(turn, backend);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::finishClaimed(Turn& turn, SidecarCallId call, Outcome outcome)
{
    if (outcome == Outcome::Answered)
        turn.emit(KeepAnswer { call });
    m_gate.finished(turn, call, outcome);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::recordRunResult(Turn& turn, SidecarCallId call, Verdict verdict)
{
    if (verdict.outcome == Outcome::Answered)
        turn.emit(KeepAnswer { call });
    auto state = verdict.outcome == Outcome::Answered ? RunState::Answered
        : verdict.outcome == Outcome::NotRun          ? RunState::NotRun
                                                      : RunState::Unknown;
    m_ledger.end(call, state, verdict.reason, turn.now());
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::chargeActualUsage(const AdmittedCall& admitted, const RunReport& report, Instant now)
{
    if (report.elapsed > admitted.charged)
        m_usage.charge(admitted.request.service, admitted.request.account, report.elapsed - admitted.charged, now);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::recordLateRun(SidecarCallId call, Instant now)
{
    auto entry = m_calls.find(call);
    if (entry == m_calls.end() || entry->second.stage != AdmissionStage::Running)
        return;
    entry->second.isLate = true;
    m_occupancies.at(entry->second.backend).faults.observe(FaultEvidence::Failed, now);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::observeFault(const AdmittedCall& admitted, const RunReport& report, Instant now)
{
    // A cancelled run shows nothing about the backend server: its ingress may have got an answer from another one.
    if (admitted.isLate || report.result == AttemptResult::Cancelled)
        return;
    bool isError = report.result == AttemptResult::Answered && isServerError(report.status);
    if (isError && admitted.hasFailedCall)
        return;
    bool isCut = report.result == AttemptResult::ConnectionLost || report.result == AttemptResult::Malformed;
    bool hasSucceeded = report.result == AttemptResult::Answered && !isError;
    auto evidence = isCut ? FaultEvidence::Cut : hasSucceeded ? FaultEvidence::Succeeded
                                                              : FaultEvidence::Failed;
    m_occupancies.at(admitted.backend).faults.observe(evidence, now);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::refuseInsteadOfQueueing(Turn& turn, SidecarCallId call, const AdmittedCall& admitted, Reason reason)
{
    auto refused = admitted;
    refundRetry(refused);
    m_calls.erase(call);
    m_ledger.end(call, RunState::NotRun, reason, turn.now());
    sendRefusal(turn, call, refused.backend, refused.request, { Outcome::NotRun, reason }, "admit");
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::updateServiceTime(BackendOccupancy& occupancy, const RunReport& report)
{
    // Backend servers that fail fast must not look fast.
    if (verdictOf(report).outcome != Outcome::Answered || isServerError(report.status))
        return;
    if (occupancy.serviceTime == Duration::zero())
        occupancy.serviceTime = report.elapsed;
    else
        occupancy.serviceTime += (report.elapsed - occupancy.serviceTime) / serviceTimeSamples;
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::heedNotice(Turn& turn, const BackendId& backend, Incarnation incarnation, const BackendNotice& notice, Instant sentAt)
{
    const auto* local = m_backends.find(backend);
    if (!local || local->announcement.incarnation != incarnation)
        return;
    auto& limit = ensureLimit(backend, incarnation);
    if (limit.hear(notice.requestLimit, sentAt, turn.now()))
        explainLimit(turn, backend, "its answer", limit);
    if (notice.isLeaving)
        m_backends.retire(turn, backend, incarnation, "its answer says that it leaves");
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::heedProbe(Turn& turn, const BackendId& backend, const RunReport& report)
{
    const auto* local = m_backends.find(backend);
    auto sentAt = turn.now() - report.elapsed;
    bool isOfThisIncarnation = local && local->servingSince <= sentAt;
    // The health path may leave out what all other answers name.
    bool saysSomething = report.notice && *report.notice != BackendNotice {};
    if (isOfThisIncarnation && saysSomething)
        heedNotice(turn, backend, local->announcement.incarnation, *report.notice, sentAt);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::learnLimit(Turn& turn, const SidecarCallArrived& arrival)
{
    if (!arrival.knownLimit)
        return;
    auto& limit = ensureLimit(arrival.backend, arrival.incarnation);
    if (limit.learn(*arrival.knownLimit, turn.now()))
        explainLimit(turn, arrival.backend, "an ingress", limit);
}

template <ClaimGate Gate, RunObserver Observer>
const RequestLimit* SidecarAdmission<Gate, Observer>::limitOf(const BackendId& backend, Incarnation incarnation) const
{
    auto entry = m_limits.find(backend);
    bool isKnown = entry != m_limits.end() && entry->second.incarnation == incarnation;
    return isKnown ? &entry->second.limit : nullptr;
}

template <ClaimGate Gate, RunObserver Observer>
RequestLimit& SidecarAdmission<Gate, Observer>::ensureLimit(const BackendId& backend, Incarnation incarnation)
{
    auto entry = m_limits.find(backend);
    if (entry == m_limits.end()) {
        std::erase_if(m_limits, [this](const auto& known) { return !m_backends.find(known.first); });
        entry = m_limits.emplace(backend, LimitedBackend { incarnation, {} }).first;
    }
    if (entry->second.incarnation != incarnation)
        entry->second = { incarnation, {} };
    return entry->second.limit;
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::explainLimit(Turn& turn, const BackendId& backend, const std::string& source, const RequestLimit& limit) const
{
    auto value = limit.value();
    explain(turn, DecisionKind::BackendLimitChanged, backend, {}, "limit", source + (value ? " names " + std::to_string(*value) + " requests a second" : " names no limit"));
}

template <ClaimGate Gate, RunObserver Observer>
std::optional<BackendCondition> SidecarAdmission<Gate, Observer>::conditionOf(const LocalBackend& local, Instant now) const
{
    const auto& backend = local.announcement.id;
    const auto* limit = limitOf(backend, local.announcement.incarnation);
    if (limit && limit->isHeard() && !limit->wasEverNamed() && !local.isLeavingForGood)
        return std::nullopt;
    BackendCondition condition;
    condition.isLeaving = local.isLeavingForGood;
    condition.incarnation = local.announcement.incarnation;
    condition.isHeard = limit && limit->isHeard();
    if (limit && limit->value()) {
        auto occupancy = m_occupancies.find(backend);
        condition.requestLimit = limit->value();
        condition.limitWait = limit->waitFor(occupancy == m_occupancies.end() ? 0 : occupancy->second.queue.size(), now);
    }
    return condition;
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::observeCrashes(Turn& turn, const AdmittedCall& admitted, const RunReport& report)
{
    auto& occupancy = m_occupancies.at(admitted.backend);
    const auto* local = m_backends.find(admitted.backend);
    if (verdictOf(report).outcome == Outcome::Answered) {
        m_crashGuard.recordAnswer(turn, admitted.request.fingerprint);
        occupancy.crashWatch.clearCutsUntil(admitted.startedAt);
    } else if (report.result == AttemptResult::NotSent && report.reason == Reason::ConnectFailed) {
        recordSuspectedCrashes(turn, admitted.backend, admitted.incarnation);
    } else if (report.result == AttemptResult::ConnectionLost) {
        if (admitted.incarnation < occupancy.incarnation || (local && local->hasEndedUnannounced())) {
            recordCrash(turn, admitted);
        } else {
            occupancy.crashWatch.addCutRun({ admitted.request.fingerprint, admitted.runsAlone }, admitted.startedAt, turn.now());
            scheduleConnectionCheck(admitted.backend, turn.now());
        }
    }
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::scheduleConnectionCheck(const BackendId& backend, Instant now)
{
    auto& occupancy = m_occupancies.at(backend);
    if (m_connectionCheckTimers.contains(backend) || !occupancy.crashWatch.hasSuspects(now))
        return;
    auto due = now + connectionCheckDelay;
    if (occupancy.connectionCheckedAt)
        due = std::max(due, *occupancy.connectionCheckedAt + connectionCheckInterval);
    m_connectionCheckTimers.set(backend, due);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::checkConnection(Turn& turn, const BackendId& backend)
{
    auto occupancy = m_occupancies.find(backend);
    const auto* local = m_backends.find(backend);
    // Another request may have shown meanwhile whether it was a crash.
    if (occupancy == m_occupancies.end() || !local || !occupancy->second.crashWatch.hasSuspects(turn.now()))
        return;
    occupancy->second.connectionCheckedAt = turn.now();
    turn.emit(CheckConnection { backend, local->announcement.incarnation, local->announcement.endpoint });
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::connectionRefused(Turn& turn, const BackendId& backend, Incarnation incarnation)
{
    auto occupancy = m_occupancies.find(backend);
    if (occupancy != m_occupancies.end() && occupancy->second.incarnation == incarnation)
        recordSuspectedCrashes(turn, backend, incarnation);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::recordSuspectedCrashes(Turn& turn, const BackendId& backend, Incarnation incarnation)
{
    const auto& policy = profileOf(backend).crash;
    for (const auto& suspect : m_occupancies.at(backend).crashWatch.takeSuspects(turn.now()))
        m_crashGuard.recordVictim(turn, { suspect.fingerprint, backend, incarnation, suspect.ranAlone }, policy);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::recordCrash(Turn& turn, const AdmittedCall& admitted)
{
    m_crashGuard.recordVictim(turn, { admitted.request.fingerprint, admitted.backend, admitted.incarnation, admitted.runsAlone }, profileOf(admitted.backend).crash);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::dropConnections(Turn& turn, const AdmittedCall& admitted)
{
    const auto* local = m_backends.find(admitted.backend);
    if (!local)
        return;
    turn.emit(DropConnections { local->announcement.endpoint });
    explain(turn, DecisionKind::CohortDropped, admitted.backend, admitted.request, "run", "a connection made no progress for " + std::to_string(profileOf(admitted.backend).deadlines.progressTimeout.count()) + " us while other connections did");
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::release(SidecarCallId call)
{
    auto entry = m_calls.find(call);
    auto& occupancy = m_occupancies.at(entry->second.backend);
    if (entry->second.stage == AdmissionStage::Queued)
        occupancy.queue.remove(call);
    else
        --occupancy.running;
    if (entry->second.stage != AdmissionStage::Running)
        refundRetry(entry->second);
    if (occupancy.isolatedCall == call)
        occupancy.isolatedCall.reset();
    m_waitTimers.cancel(call);
    m_lateTimers.cancel(call);
    m_calls.erase(entry);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::end(Turn& turn, SidecarCallId call, Verdict verdict, const std::string& step)
{
    auto admitted = m_calls.at(call);
    release(call);
    m_ledger.end(call, verdict.outcome == Outcome::NotRun ? RunState::NotRun : RunState::Unknown, verdict.reason, turn.now());
    if (!admitted.isCancelled)
        sendRefusal(turn, call, admitted.backend, admitted.request, verdict, step);
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::sendOutcome(Turn& turn, SidecarCallId call, const AdmittedCall& admitted, const RunReport& report)
{
    auto verdict = verdictOf(report);
    if (verdict.outcome == Outcome::Answered)
        turn.emit(AnswerSidecarCall { call, report.elapsed, load(admitted.backend, turn.now()) });
    else
        sendRefusal(turn, call, admitted.backend, admitted.request, verdict, "run");
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::sendRefusal(Turn& turn, SidecarCallId call, const BackendId& backend, const RequestInfo& request, Verdict verdict, const std::string& step)
{
    turn.emit(RefuseSidecarCall { call, verdict.outcome, verdict.reason, step, backend.value(), load(backend, turn.now()) });
    auto kind = verdict.outcome == Outcome::NotRun ? DecisionKind::RequestRefused : DecisionKind::RequestUnknown;
    explain(turn, kind, backend, request, step, std::string(nameOf(verdict.reason)));
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::explain(Turn& turn, DecisionKind kind, const BackendId& backend, const RequestInfo& request, const std::string& step, std::string evidence) const
{
    DecisionEvent event;
    event.kind = kind;
    event.step = step;
    event.peer = backend.value();
    event.service = request.service;
    event.backend = backend;
    event.request = request.id;
    if (const auto* local = m_backends.find(backend)) {
        event.profile = local->announcement.profile;
        event.revision = m_profiles.revision(event.profile);
    }
    event.evidence = std::move(evidence);
    turn.recordDecision(std::move(event));
}

template <ClaimGate Gate, RunObserver Observer>
void SidecarAdmission<Gate, Observer>::removeIfGone(const BackendId& backend)
{
    const auto* local = m_backends.find(backend);
    const auto& occupancy = m_occupancies.at(backend);
    bool isGone = !local || local->phase == BackendPhase::Gone;
    if (!isGone || occupancy.running > 0)
        return;
    m_rampTimers.cancel(backend);
    m_limitTimers.cancel(backend);
    m_connectionCheckTimers.cancel(backend);
    m_occupancies.erase(backend);
}

template <ClaimGate Gate, RunObserver Observer>
const Profile& SidecarAdmission<Gate, Observer>::profileOf(const BackendId& backend) const
{
    const auto* local = m_backends.find(backend);
    return m_profiles.profile(local ? local->announcement.profile : ProfileName {});
}

}
