#pragma once

#include <LibDecision/Calls/CallTable.h>

#include <algorithm>
#include <utility>

// Definitions of the members of the class template in CallTable.h.
namespace Decision {

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
CallTable<Routing, Observer, Directory>::CallTable(Routing& routing, Observer& observer, CrashGuard& crashGuard, const Directory& directory, const ProfileRegistry& profiles, CallTableOptions options)
    : m_routing(routing)
    , m_observer(observer)
    , m_crashGuard(crashGuard)
    , m_directory(directory)
    , m_profiles(profiles)
    , m_chart(loadChart<RequestState, RequestEvent>(ChartFile::Request))
    , m_limit(options.concurrentCalls)
{
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::handleTimer(Turn& turn)
{
    for (auto id : m_timers.takeDue(turn.now())) {
        auto& call = m_calls.at(id);
        if (call.state == RequestState::Routing)
            routeAgain(turn, id, call);
        else if (call.deadline <= turn.now())
            expire(turn, id, call);
        else if (canResend(call, turn.now()))
            resend(turn, id, call);
        else if (m_endsAt)
            armTimer(id, call, turn.now());
        else
            replaceAttempt(turn, id, call);
    }
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::arrive(Turn& turn, const CallArrived& arrival)
{
    if (m_calls.contains(arrival.call)) {
        ++m_lateReports;
        return;
    }
    const auto& profile = profileOf(arrival.request.service);
    CallRecord record;
    record.request = arrival.request;
    record.state = m_chart.initial();
    record.arrivedAt = turn.now();
    record.terms = termsOf(arrival, profile);
    record.deadline = turn.now() + std::min(arrival.request.remaining.value_or(profile.deadlines.defaultDeadline), record.terms.timeout);
    auto refusal = refusalFor(arrival, profile, turn.now());
    if (!refusal && !m_limit.acquire(arrival.request.account))
        refusal = Reason::Overloaded;
    if (refusal) {
        record.lastReason = *refusal;
        sendRefusal(turn, arrival.call, record, Outcome::NotRun);
        return;
    }
    auto& call = m_calls.emplace(arrival.call, std::move(record)).first->second;
    routeFirst(turn, arrival.call, call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
CallTerms CallTable<Routing, Observer, Directory>::termsOf(const CallArrived& arrival, const Profile& profile) const
{
    if (arrival.terms)
        return *arrival.terms;
    CallTerms terms;
    terms.isIdempotent = profile.isIdempotent(arrival.request.method, arrival.request.path);
    terms.timeout = profile.deadlines.maximumDeadline;
    terms.latencyObjective = profile.deadlines.maximumDeadline;
    terms.maximumAttempts = profile.retries.maximumAttempts;
    return terms;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::refuse(Turn& turn, const CallArrived& arrival, Reason reason, Duration retryAfter)
{
    CallRecord record;
    record.request = arrival.request;
    record.lastReason = reason;
    record.retryAfter = retryAfter;
    sendRefusal(turn, arrival.call, record, Outcome::NotRun);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::callerGone(Turn& turn, CallId id)
{
    auto entry = m_calls.find(id);
    if (entry == m_calls.end())
        return;
    auto& call = entry->second;
    if (call.state == RequestState::Attempting)
        abandonAttempt(turn, id, call, AttemptResult::Cancelled);
    transition(call, RequestEvent::CallerGone);
    remove(id);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::attemptFinished(Turn& turn, const AttemptFinished& finished)
{
    auto entry = m_calls.find(finished.call);
    if (entry == m_calls.end() || entry->second.attempt != finished.attempt) {
        ++m_lateReports;
        return;
    }
    auto& call = entry->second;
    bool isConnectionLost = !finished.report.hasLoad && verdictOf(finished.report) != AttemptVerdict::Deliver;
    bool mayHaveArrived = verdictOf(finished.report) == AttemptVerdict::MayHaveRun || call.resends > 0;
    if (isConnectionLost && mayHaveArrived && canResend(call, turn.now())) {
        m_timers.set(finished.call, std::min(call.deadline, turn.now() + resendDelay));
        return;
    }
    recordAttemptEnd(turn, finished.call, call, finished.report);
    // An earlier send of the attempt may have run, and neither a connection that failed nor a refusal of the order itself says
    // that it hasn't. Only a sidecar that knows the attempt or was its first receiver can.
    bool isOrderRefused = finished.report.reason == Reason::BadRequest;
    if (call.resends > 0 && verdictOf(finished.report) != AttemptVerdict::Deliver && (isConnectionLost || isOrderRefused)) {
        call.mayHaveRun = true;
        recordArrival(call);
        conclude(turn, finished.call, call);
        return;
    }
    handleVerdict(turn, finished.call, call, finished.report);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::leave(Turn&)
{
    m_isLeaving = true;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::endAll(Turn& turn)
{
    std::vector<CallId> ids;
    std::ranges::transform(m_calls, std::back_inserter(ids), [](const auto& entry) { return entry.first; });
    std::ranges::sort(ids);
    for (auto id : ids) {
        auto& call = m_calls.at(id);
        if (call.state == RequestState::Attempting)
            abandonAttempt(turn, id, call, AttemptResult::Cancelled);
        call.lastReason = Reason::ProcessLeaving;
        conclude(turn, id, call);
    }
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
std::optional<Reason> CallTable<Routing, Observer, Directory>::refusalFor(const CallArrived& arrival, const Profile& profile, Instant now) const
{
    if (m_isLeaving)
        return Reason::ProcessLeaving;
    if (arrival.request.remaining && *arrival.request.remaining <= Duration::zero())
        return Reason::DeadlineExceeded;
    if (m_crashGuard.isRefused(arrival.request.fingerprint, profile.crash, now))
        return Reason::CrashSuspected;
    return std::nullopt;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::routeFirst(Turn& turn, CallId id, CallRecord& call)
{
    // Calls that running requests make aren't callers' requests and don't add to the budget.
    if (!call.request.parent)
        m_services[call.request.service].budget.countFirstAttempt(profileOf(call.request.service).retries, turn.now());
    auto choice = choose(turn, call, call.lastReason);
    if (choice)
        send(turn, id, call, *choice);
    else
        waitOrConclude(turn, id, call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
bool CallTable<Routing, Observer, Directory>::reroute(Turn& turn, CallId id, CallRecord& call)
{
    if (call.reroutes >= profileOf(call.request.service).retries.reroutes || turn.now() >= call.deadline)
        return false;
    ++call.reroutes;
    --call.attempts;
    std::erase(call.tried, call.backend->id);
    call.refusedBy.push_back(call.backend->id);
    transition(call, RequestEvent::RetryAllowed);
    Reason reason = Reason::None;
    auto choice = choose(turn, call, reason);
    bool hasRefusedBefore = choice && std::ranges::find(call.refusedBy, choice->backend.id) != call.refusedBy.end();
    if (choice && !hasRefusedBefore) {
        send(turn, id, call, *choice);
        return true;
    }
    // What refused the attempt says nothing about the other backend servers.
    if (reason == Reason::BackendLimited)
        call.lastReason = reason;
    else if (call.lastReason == Reason::BackendLimited)
        call.lastReason = Reason::BackendBusy;
    waitOrConclude(turn, id, call);
    return true;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::waitOrConclude(Turn& turn, CallId id, CallRecord& call)
{
    // The limits of all backend servers let the request through too late, so waiting would only keep its caller.
    if (call.lastReason == Reason::BackendLimited || !scheduleRouting(turn, id, call))
        conclude(turn, id, call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
bool CallTable<Routing, Observer, Directory>::scheduleRouting(Turn& turn, CallId id, CallRecord& call)
{
    if (endsBeforeAnswer(call, turn.now()))
        return false;
    auto until = std::min(call.deadline, call.arrivedAt + profileOf(call.request.service).capacity.callerWait);
    // Under overload, a request that can't be answered in time any more is refused, so that its caller can come back. One
    // that waits for any backend server to appear, as after a restart, takes nobody's place.
    bool isOverloaded = call.lastReason == Reason::BackendBusy || !call.refusedBy.empty();
    if (isOverloaded)
        until = std::min(until, turn.now() + remainingWait(call, turn.now()));
    if (turn.now() + routingInterval >= until)
        return false;
    call.refusedBy.clear();
    m_timers.set(id, turn.now() + routingInterval);
    return true;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
Duration CallTable<Routing, Observer, Directory>::remainingWait(const CallRecord& call, Instant now) const
{
    // About half of the latency objective is for the run. A call of a running request may wait longer, since the work of
    // that request would be lost.
    auto wait = call.request.parent ? call.terms.latencyObjective : call.terms.latencyObjective / 2;
    return std::max(Duration::zero(), call.arrivedAt + wait - now);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::routeAgain(Turn& turn, CallId id, CallRecord& call)
{
    auto choice = choose(turn, call, call.lastReason);
    if (choice)
        send(turn, id, call, *choice);
    else
        waitOrConclude(turn, id, call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
std::optional<RouteChoice> CallTable<Routing, Observer, Directory>::choose(Turn& turn, const CallRecord& call, Reason& reason)
{
    if (endsBeforeAnswer(call, turn.now())) {
        reason = Reason::ProcessLeaving;
        return std::nullopt;
    }
    RouteRequest request;
    request.service = call.request.service;
    request.isIdempotent = call.terms.isIdempotent;
    request.key = call.request.key;
    request.latencyObjective = call.terms.latencyObjective;
    request.longestWait = remainingWait(call, turn.now());
    request.goesFirst = call.request.parent.has_value();
    request.excluded = call.tried;
    request.refusedBy = call.refusedBy;
    request.excluded.insert(request.excluded.end(), call.refusedBy.begin(), call.refusedBy.end());
    return m_routing.choose(turn, request, reason);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::send(Turn& turn, CallId id, CallRecord& call, const RouteChoice& choice)
{
    ForwardCall effect;
    effect.sidecar = choice.sidecar;
    effect.sidecarControl = choice.sidecarControl;
    effect.backend = choice.backend.id;
    effect.incarnation = choice.backend.incarnation;
    const auto& profile = profileOf(call.request.service);
    effect.longestWait = remainingWait(call, turn.now());
    if (m_endsAt)
        effect.longestWait = std::max<Duration>(1ms, std::min(effect.longestWait, *m_endsAt - turn.now() - expectedDuration(call)));
    effect.isOnlyForFreeSlot = call.reroutes < std::min(maximumFreeSlotAttempts, profile.retries.reroutes) && !choice.isFull;
    effect.isLastResort = choice.isLastResort;
    effect.arrival = nextArrival(call);
    effect.knownLimit = choice.knownLimit;
    effect.latencyObjective = call.terms.latencyObjective;
    effect.priority = call.terms.priority;
    effect.receiverStart = choice.backend.sidecarIncarnation;
    call.backend = choice.backend;
    call.tried.push_back(choice.backend.id);
    forward(turn, id, call, std::move(effect));
    m_routing.attemptStarted(turn, choice.backend.id);
    m_observer.attemptStarted(turn, id, choice.backend);
    explain(turn, call.attempts == 1 ? DecisionKind::RequestRouted : DecisionKind::RequestRetried, call, "route", choice.evidence);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::forward(Turn& turn, CallId id, CallRecord& call, ForwardCall effect)
{
    auto remaining = call.deadline - turn.now();
    m_lastAttempt = m_lastAttempt.next();
    ++call.attempts;
    call.attempt = m_lastAttempt;
    call.attemptStartedAt = turn.now();
    call.isAttemptSuspected = m_crashGuard.isSuspected(call.request.fingerprint, profileOf(call.request.service).crash, turn.now());
    transition(call, RequestEvent::Sent);
    effect.call = id;
    effect.attempt = call.attempt;
    effect.attemptNumber = call.attempts;
    effect.remaining = remaining - std::min<Duration>(answerMargin, remaining / 10);
    effect.progressTimeout = profileOf(call.request.service).deadlines.progressTimeout;
    effect.isIdempotent = call.terms.isIdempotent;
    effect.requiresDeduplication = canResend(call, turn.now());
    effect.parent = call.request.parent;
    effect.account = call.request.account;
    effect.fingerprint = call.request.fingerprint;
    effect.isFromTenant = !call.terms.tenant.isEmpty();
    call.forwarded = effect;
    call.resends = 0;
    turn.emit(std::move(effect));
    armTimer(id, call, turn.now());
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::redirect(Turn& turn, CallId id, CallRecord& call, const InstanceId& keeper)
{
    // The first request with this key ran, so the outcome is unknown unless its kept answer is found.
    call.mayHaveRun = true;
    call.lastReason = Reason::KeyOutcomeUnknown;
    auto control = m_routing.controlOf(keeper);
    if (!control || turn.now() >= call.deadline) {
        conclude(turn, id, call);
        return;
    }
    ForwardCall effect;
    effect.sidecar = keeper;
    effect.sidecarControl = *control;
    effect.backend = call.backend->id;
    effect.incarnation = call.backend->incarnation;
    effect.isReplayOnly = true;
    call.backend.reset();
    transition(call, RequestEvent::RetryAllowed);
    forward(turn, id, call, std::move(effect));
    explain(turn, DecisionKind::RequestRetried, call, "redirect", "the answer of the key's first request is kept by " + keeper.value());
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::armTimer(CallId id, const CallRecord& call, Instant now)
{
    auto due = call.deadline;
    bool maySendElsewhere = !m_endsAt && call.terms.isIdempotent && !call.isReplay() && mayRetry(call, now);
    if (maySendElsewhere) {
        auto timeout = timeoutOf(call).timeout(call.deadline - now);
        due = std::min(due, now + timeout.value_or(call.deadline - now));
    }
    // A silent connection is detected only by the missing answer.
    if (canResend(call, now))
        due = std::min(due, now + silenceLimit(call));
    m_timers.set(id, due);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
AttemptTimeout& CallTable<Routing, Observer, Directory>::timeoutOf(const CallRecord& call)
{
    auto& timeouts = m_services[call.request.service].timeouts;
    return timeouts.try_emplace(call.terms.route, AttemptTimeout(call.terms.latencyObjective)).first->second;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::recordAttemptEnd(Turn& turn, CallId id, CallRecord& call, const AttemptReport& report)
{
    m_timers.cancel(id);
    if (call.isReplay())
        return;
    call.lastReason = reasonOf(report);
    call.lastStatus = report.status;
    call.lastPeer = call.backend->id.value();
    if (report.result == AttemptResult::ConnectionLost || report.reason == Reason::AnswerCut)
        m_crashGuard.recordCut(turn, { call.request.fingerprint, call.backend->id, call.backend->incarnation, call.isAttemptSuspected });
    if (report.result == AttemptResult::Answered || report.result == AttemptResult::TimedOut)
        timeoutOf(call).observe(turn.now() - call.attemptStartedAt);
    if (report.result == AttemptResult::Answered)
        m_crashGuard.recordAnswer(turn, call.request.fingerprint);
    m_routing.attemptFinished(turn, call.backend->id, report);
    m_observer.attemptFinished(turn, id, *call.backend, report);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::handleVerdict(Turn& turn, CallId id, CallRecord& call, const AttemptReport& report)
{
    auto verdict = verdictOf(report);
    if (verdict == AttemptVerdict::Deliver || (call.isReplay() && verdict == AttemptVerdict::ServerFailed)) {
        answer(turn, id, call);
        return;
    }
    if (call.isReplay()) {
        conclude(turn, id, call);
        return;
    }
    switch (verdict) {
    case AttemptVerdict::Deliver:
    case AttemptVerdict::ServerFailed:
        call.mayHaveRun = true;
        recordArrival(call);
        call.failedAttempt = call.attempt;
        call.failedStatus = report.status;
        if (!call.terms.isIdempotent || !retry(turn, id, call, RetryKind::Rerun))
            answer(turn, id, call);
        return;
    case AttemptVerdict::NotRun:
        if (report.reason == Reason::RetryBudgetExhausted && ++call.budgetRefusals >= maximumRetryShareRefusals) {
            conclude(turn, id, call);
            return;
        }
        if (isRefusalByBackend(report.reason))
            recordArrival(call);
        if (report.reason != Reason::BackendShedding && reroute(turn, id, call))
            return;
        retryOrConclude(turn, id, call, kindAfterRefusal(call, report));
        return;
    case AttemptVerdict::NotRunPermanent:
        conclude(turn, id, call);
        return;
    case AttemptVerdict::MayHaveRun:
        call.mayHaveRun = true;
        recordArrival(call);
        if (call.terms.isIdempotent)
            retryOrConclude(turn, id, call, RetryKind::Rerun);
        else
            conclude(turn, id, call);
        return;
    case AttemptVerdict::Redirect:
        redirect(turn, id, call, report.outcomeKeeper);
        return;
    }
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::recordArrival(CallRecord& call)
{
    call.mayHaveArrived = true;
    call.replacesCancelledAttempt = false;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
ArrivalKind CallTable<Routing, Observer, Directory>::nextArrival(const CallRecord& call)
{
    if (call.replacesCancelledAttempt)
        return ArrivalKind::CountedAsRetry;
    if (call.mayHaveArrived)
        return ArrivalKind::Retry;
    return call.terms.isCountedAsRetry ? ArrivalKind::CountedAsRetry : ArrivalKind::First;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
RetryKind CallTable<Routing, Observer, Directory>::kindAfterRefusal(const CallRecord& call, const AttemptReport& report) const
{
    // A fleet-wide limit counts every arrival at a backend server, including those that it rejects.
    bool countsArrivals = profileOf(call.request.service).retries.fleetExtra > 0;
    return countsArrivals && isRefusalByBackend(report.reason) ? RetryKind::Rerun : RetryKind::Reroute;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
Duration CallTable<Routing, Observer, Directory>::expectedDuration(const CallRecord& call)
{
    auto usual = timeoutOf(call).usual();
    return usual > Duration::zero() ? usual : std::min<Duration>(AttemptTimeout::initial, call.terms.latencyObjective / 2);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
bool CallTable<Routing, Observer, Directory>::endsBeforeAnswer(const CallRecord& call, Instant now)
{
    return m_endsAt && now + expectedDuration(call) > *m_endsAt;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
bool CallTable<Routing, Observer, Directory>::mayRetry(const CallRecord& call, Instant now)
{
    const auto& profile = profileOf(call.request.service);
    if (call.attempts >= call.terms.maximumAttempts || now >= call.deadline)
        return false;
    if (endsBeforeAnswer(call, now))
        return false;
    return !m_crashGuard.isRefused(call.request.fingerprint, profile.crash, now);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
bool CallTable<Routing, Observer, Directory>::retry(Turn& turn, CallId id, CallRecord& call, RetryKind kind)
{
    if (!mayRetry(call, turn.now()))
        return false;
    Reason reason = Reason::None;
    auto choice = choose(turn, call, reason);
    if (!choice)
        return false;
    auto& budget = m_services[call.request.service].budget;
    if (!budget.take(kind, profileOf(call.request.service).retries, turn.now())) {
        explain(turn, DecisionKind::RequestRefused, call, "retry", std::string(nameOf(Reason::RetryBudgetExhausted)));
        return false;
    }
    transition(call, RequestEvent::RetryAllowed);
    send(turn, id, call, *choice);
    return true;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
bool CallTable<Routing, Observer, Directory>::canResend(const CallRecord& call, Instant now) const
{
    return !call.terms.isIdempotent && !call.isReplay() && profileOf(call.request.service).retries.settles && now < call.deadline;
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::resend(Turn& turn, CallId id, CallRecord& call)
{
    ++call.resends;
    auto effect = call.forwarded;
    effect.remaining = call.deadline - turn.now();
    effect.firstSentAgo = turn.now() - call.attemptStartedAt;
    // The direct way has just failed or is silent, so every other send takes it.
    bool isForwarded = profileOf(call.request.service).retries.settlesThroughPeers && call.resends % 2 == 1;
    auto forwarder = isForwarded ? m_routing.drawForwarder(turn, call.request.service, effect.sidecar) : std::nullopt;
    if (forwarder) {
        effect.forwarder = forwarder->instance;
        effect.forwarderControl = forwarder->control;
    }
    turn.emit(std::move(effect));
    std::string way = forwarder ? " through " + forwarder->instance.value() : "";
    explain(turn, DecisionKind::RequestSettled, call, "settle", "sent again" + way + " " + std::to_string((turn.now() - call.attemptStartedAt) / 1ms) + " ms after the attempt was first sent");
    armTimer(id, call, turn.now());
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
Duration CallTable<Routing, Observer, Directory>::silenceLimit(const CallRecord& call)
{
    Duration limit = call.terms.latencyObjective;
    // An answer that is asked for only at the objective is late in any case.
    if (profileOf(call.request.service).retries.settlesThroughPeers)
        limit = std::clamp<Duration>(silenceFactor * expectedDuration(call), limit / 2, limit);
    return std::max<Duration>(limit, resendDelay);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::retryOrConclude(Turn& turn, CallId id, CallRecord& call, RetryKind kind)
{
    if (!retry(turn, id, call, kind))
        conclude(turn, id, call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::replaceAttempt(Turn& turn, CallId id, CallRecord& call)
{
    // The attempt is cancelled only if another backend server can take the request at once; otherwise its answer may
    // still come.
    Reason reason = Reason::None;
    auto choice = mayRetry(call, turn.now()) ? choose(turn, call, reason) : std::nullopt;
    bool isElsewhere = choice && choice->backend.id != call.backend->id && !choice->isFull && !choice->isLastResort;
    if (!isElsewhere || !m_services[call.request.service].budget.take(RetryKind::Replacement, profileOf(call.request.service).retries, turn.now())) {
        armTimer(id, call, turn.now());
        return;
    }
    abandonAttempt(turn, id, call, AttemptResult::TimedOut);
    call.replacesCancelledAttempt = true;
    transition(call, RequestEvent::RetryAllowed);
    send(turn, id, call, *choice);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::expire(Turn& turn, CallId id, CallRecord& call)
{
    abandonAttempt(turn, id, call, AttemptResult::TimedOut);
    call.lastReason = Reason::DeadlineExceeded;
    conclude(turn, id, call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::abandonAttempt(Turn& turn, CallId id, CallRecord& call, AttemptResult result)
{
    turn.emit(CancelAttempt { id, call.attempt });
    AttemptReport report;
    report.result = result;
    report.elapsed = turn.now() - call.attemptStartedAt;
    recordAttemptEnd(turn, id, call, report);
    call.mayHaveRun = true;
    recordArrival(call);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::answer(Turn& turn, CallId id, CallRecord& call)
{
    answerFrom(turn, id, call, call.attempt, call.lastStatus);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::answerFrom(Turn& turn, CallId id, CallRecord& call, AttemptId attempt, uint16_t status)
{
    transition(call, RequestEvent::Answered);
    turn.emit(AnswerCall { id, attempt });
    if (isServerError(status))
        recordNestedFailure(call);
    auto kind = isServerError(status) ? DecisionKind::RequestFailed : DecisionKind::RequestAnswered;
    explain(turn, kind, call, "answer", "status " + std::to_string(status) + " after " + std::to_string((turn.now() - call.arrivedAt) / 1ms) + " ms, attempt " + std::to_string(call.attempts));
    remove(id);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::conclude(Turn& turn, CallId id, CallRecord& call)
{
    if (call.failedAttempt) {
        answerFrom(turn, id, call, *call.failedAttempt, call.failedStatus);
        return;
    }
    transition(call, call.mayHaveRun ? RequestEvent::OutcomeLost : RequestEvent::Refused);
    sendRefusal(turn, id, call, call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
    remove(id);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::sendRefusal(Turn& turn, CallId id, const CallRecord& call, Outcome outcome)
{
    recordNestedFailure(call);
    std::string step = call.attempts == 0 ? "route" : "attempt " + std::to_string(call.attempts);
    turn.emit(RefuseCall { id, outcome, call.lastReason, step, call.lastPeer, retryAfterOf(call, turn.now()) });
    auto kind = outcome == Outcome::NotRun ? DecisionKind::RequestRefused : DecisionKind::RequestUnknown;
    explain(turn, kind, call, step, std::string(nameOf(call.lastReason)));
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
Duration CallTable<Routing, Observer, Directory>::retryAfterOf(const CallRecord& call, Instant now) const
{
    if (call.retryAfter > Duration::zero())
        return call.retryAfter;
    if (call.lastReason == Reason::BackendLimited)
        return std::clamp<Duration>(m_routing.limitWait(call.request.service, now), shortestLimitHint, longestLimitHint);
    return isTransient(call.lastReason) ? retryAfterHint : Duration::zero();
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::recordNestedFailure(const CallRecord& call)
{
    if (call.request.parent)
        m_failedParents.push_back(*call.request.parent);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::transition(CallRecord& call, RequestEvent event)
{
    call.state = m_chart.next(call.state, event);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::remove(CallId id)
{
    auto entry = m_calls.find(id);
    m_limit.release(entry->second.request.account);
    m_timers.cancel(id);
    m_calls.erase(entry);
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
void CallTable<Routing, Observer, Directory>::explain(Turn& turn, DecisionKind kind, const CallRecord& call, const std::string& step, std::string evidence) const
{
    DecisionEvent event;
    event.kind = kind;
    event.step = step;
    event.peer = call.backend ? call.backend->sidecar.value() : call.lastPeer;
    event.service = call.request.service;
    event.backend = call.backend ? call.backend->id : BackendId {};
    event.request = call.request.id;
    event.profile = m_directory.profileOf(call.request.service);
    event.revision = m_profiles.revision(event.profile);
    event.evidence = std::move(evidence);
    turn.recordDecision(std::move(event));
}

template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory>
const Profile& CallTable<Routing, Observer, Directory>::profileOf(const ServiceName& service) const
{
    return m_profiles.profile(m_directory.profileOf(service));
}

}
