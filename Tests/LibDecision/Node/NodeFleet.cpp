#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

#include <algorithm>

namespace Testing {

namespace {

    constexpr uint64_t firstIncarnation = 1'000'000;
    constexpr Duration connectTimeout = 200ms;
    constexpr Duration platformDelay = 3ms;
    constexpr Duration platformTimeout = 2s;
    constexpr Duration leaveTimeout = 20s;

    size_t indexOf(const BackendId& id) { return std::stoul(id.value().substr(std::string("backend-").size())); }

    const std::vector<std::string> zones { "agadir", "taroudant", "tiznit" };

}

NodeFleet::NodeFleet(uint64_t seed, size_t nodes, NodeFleetOptions options)
    : m_options(std::move(options))
    , m_fleet(seed)
    , m_generations(nodes)
{
    m_fleet.onEffect = [this](size_t node, const Effect& effect) {
        std::visit([&](const auto& typed) { carryOut(node, typed); }, effect);
    };
    if (m_options.routes)
        m_platform.publishRoutes(m_options.routes);
    for (size_t node = 0; node < nodes; ++node)
        startNode(node);
}

MemberRecord NodeFleet::recordOf(size_t node) const
{
    MemberRecord record;
    record.instance = InstanceId("node-" + std::to_string(node));
    record.incarnation = Incarnation(firstIncarnation + m_generations[node] * 1000 - (m_setBack.contains(node) ? m_setBack.at(node) : 0));
    record.zone = ZoneName(zones[node % zones.size()]);
    record.region = RegionName("souss-massa");
    record.control = { "127.0.0.1", static_cast<uint16_t>(2000 + node) };
    record.callers = { "127.0.0.1", static_cast<uint16_t>(1000 + node) };
    return record;
}

void NodeFleet::startNode(size_t node)
{
    ++m_generations[node];
    NodeOptions options;
    options.self = recordOf(node);
    if (m_options.knowsSeeds)
        options.seeds = { { "127.0.0.1", 2000 }, { "127.0.0.1", 2001 } };
    options.randomSeed = m_fleet.random()();
    options.leaveTimeout = leaveTimeout;
    options.routing = m_options.routing;
    options.defaultProfile = m_options.defaultProfile;
    options.tenants = m_options.tenants;
    m_fleet.start(options.self, std::make_unique<Node>(options));
}

size_t NodeFleet::addBackend(const std::string& service, size_t node)
{
    auto index = m_backends.size();
    FakeBackend backend;
    backend.id = BackendId("backend-" + std::to_string(index));
    backend.service = ServiceName(service);
    backend.node = node;
    m_backends.push_back(backend);
    announce(index);
    return index;
}

BackendAnnouncement NodeFleet::announcementOf(const FakeBackend& backend) const
{
    BackendAnnouncement announcement;
    announcement.id = backend.id;
    announcement.service = backend.service;
    announcement.profile = ProfileName("test");
    announcement.endpoint = { "127.0.0.1", static_cast<uint16_t>(9000 + indexOf(backend.id)) };
    announcement.incarnation = backend.incarnation;
    announcement.slots = backend.slots;
    announcement.phase = backend.isDraining ? BackendPhase::Draining : BackendPhase::Serving;
    return announcement;
}

void NodeFleet::announce(size_t index)
{
    auto& backend = m_backends[index];
    if (backend.isUp) {
        // If its sidecar has died, the backend server registers with the next process under a new incarnation.
        if (!m_fleet.isRunning(backend.node) && !m_options.areBackendsTied) {
            backend.node = (backend.node + 1) % m_fleet.size();
            backend.incarnation = backend.incarnation.next();
        }
        if (m_fleet.isRunning(backend.node))
            m_fleet.deliver(backend.node, BackendAnnounced { announcementOf(backend) });
    }
    m_fleet.callLater(m_options.announcementInterval, [this, index] { announce(index); });
}

RequestInfo NodeFleet::makeRequest(const std::string& service, Method method, std::optional<std::string> key)
{
    RequestInfo info;
    info.id = RequestId("request-" + std::to_string(++m_lastRequest));
    info.service = ServiceName(service);
    info.method = method;
    info.path = "/thing";
    info.account = AccountId("account-" + std::to_string(m_lastRequest % 7));
    info.fingerprint = { 1, m_lastRequest };
    if (key) {
        info.key = IdempotencyKey(*key);
        info.account = AccountId("keyed");
        info.fingerprint = { 2, std::hash<std::string> {}(*key) };
    }
    return info;
}

size_t NodeFleet::send(size_t node, RequestInfo info, const std::string& keyDigest)
{
    CallId call(++m_lastCall);
    m_requestByCall[{ node, call }] = m_requests.size();
    CallerRequest request;
    request.info = info;
    request.ingress = node;
    request.sentAt = m_fleet.now();
    request.isIngressLost = !m_fleet.isRunning(node);
    m_requestById[info.id] = m_requests.size();
    m_requests.push_back(request);
    auto authority = info.service.value() + ".example";
    m_fleet.deliver(node, CallArrived { call, std::move(info), authority, {}, keyDigest });
    return m_requests.size() - 1;
}

void NodeFleet::callerGone(size_t number)
{
    m_requests[number].isCallerGone = true;
    for (const auto& [key, request] : m_requestByCall) {
        if (request == number)
            m_fleet.deliver(key.first, CallerDisconnected { key.second });
    }
}

size_t NodeFleet::nodeOf(const InstanceId& instance) const
{
    return std::stoul(instance.value().substr(5));
}

void NodeFleet::kill(size_t node)
{
    if (!m_fleet.isRunning(node))
        return;
    m_fleet.kill(node);
    ++m_generations[node];
    for (auto& request : m_requests) {
        if (request.ingress == node && request.callerOutcome == CallerOutcome::Pending)
            request.isIngressLost = true;
    }
    failForwardedCallsOf(node);
    std::erase_if(m_openSends, [&](const auto& send) { return std::get<size_t>(send.first) == node; });
}

void NodeFleet::restart(size_t node)
{
    if (!m_fleet.isRunning(node))
        startNode(node);
}

void NodeFleet::restartInThePast(size_t node)
{
    if (m_fleet.isRunning(node))
        return;
    // A restart raises the incarnation by 2000, since each start and each end of a process counts as a generation. The
    // remainder keeps it from meeting an earlier one.
    m_setBack[node] += 2503;
    startNode(node);
}

size_t NodeFleet::addNode()
{
    m_generations.push_back(0);
    startNode(m_generations.size() - 1);
    return m_generations.size() - 1;
}

void NodeFleet::restorePlatform()
{
    m_platform.restoreSnapshot(m_fleet.now());
    for (const auto& pending : std::exchange(m_pendingWatches, {})) {
        PlatformReply lost;
        lost.tag = pending.call.tag;
        if (m_generations[pending.node] == pending.generation)
            m_fleet.deliver(pending.node, PlatformReplied { lost });
    }
}

void NodeFleet::leave(size_t node)
{
    if (m_fleet.isRunning(node))
        m_fleet.deliver(node, LeaveRequested {});
}

void NodeFleet::pause(size_t node, Duration length)
{
    if (!m_fleet.isRunning(node))
        return;
    m_fleet.pause(node);
    resumeLater(node, length);
}

void NodeFleet::suspend(size_t node, Duration length)
{
    if (!m_fleet.isRunning(node) || m_fleet.isPaused(node))
        return;
    m_fleet.suspend(node);
    resumeLater(node, length);
}

void NodeFleet::publish(std::shared_ptr<const RouteTable> routes)
{
    m_platform.publishRoutes(std::move(routes));
    answerWatches();
}

void NodeFleet::resumeLater(size_t node, Duration length)
{
    m_fleet.callLater(length, [this, node, generation = m_generations[node]] {
        if (m_fleet.isRunning(node) && m_generations[node] == generation)
            m_fleet.resume(node);
    });
}

void NodeFleet::drain(size_t index)
{
    auto& backend = m_backends[index];
    backend.isDraining = true;
    backend.drainingSince = m_fleet.now();
    if (m_fleet.isRunning(backend.node))
        m_fleet.deliver(backend.node, BackendAnnounced { announcementOf(backend) });
}

void NodeFleet::withdraw(size_t index)
{
    const auto& backend = m_backends[index];
    m_fleet.deliver(backend.node, BackendWithdrawn { backend.id, backend.incarnation });
}

void NodeFleet::failForwardedCallsOf(size_t node)
{
    // The processes at the other ends of the connections see them close.
    for (auto entry = m_forwardedCalls.begin(); entry != m_forwardedCalls.end();) {
        auto forwarded = entry->second;
        if (entry->first.first == node) {
            report(forwarded, { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut }, networkDelay(), {});
            entry = m_forwardedCalls.erase(entry);
            continue;
        }
        if (forwarded.ingress == node)
            m_fleet.deliverLater(entry->first.first, networkDelay(), SidecarCallCancelled { SidecarCallId(entry->first.second) });
        ++entry;
    }
    for (auto& [key, run] : m_runs) {
        if (key.first == node)
            run.isCancelled = true;
    }
    std::erase_if(m_keptAnswers, [&](const auto& kept) { return kept.first.first == node; });
}

Duration NodeFleet::transitTime()
{
    auto delay = networkDelay();
    if (slowTransits > 0 && happens(slowTransits))
        delay += Duration(std::uniform_int_distribution<int64_t>(0, longestTransit.count())(m_fleet.random()));
    return delay;
}

bool NodeFleet::isClosed(const ForwardedCall& forwarded) const
{
    auto open = m_openSends.find(attemptOf(forwarded));
    return open == m_openSends.end() || open->second != forwarded.send;
}

void NodeFleet::closeEarlierSend(const AttemptKey& attempt)
{
    if (m_openSends.erase(attempt) == 0)
        return;
    auto earlier = std::ranges::find_if(m_forwardedCalls, [&](const auto& entry) { return attemptOf(entry.second) == attempt; });
    if (earlier == m_forwardedCalls.end())
        return;
    if (!isCut(earlier->second.ingress, earlier->second.sidecar))
        m_fleet.deliverLater(earlier->second.sidecar, networkDelay(), SidecarCallCancelled { SidecarCallId(earlier->first.second) });
    m_forwardedCalls.erase(earlier);
}

void NodeFleet::carryOut(size_t node, const ForwardCall& effect)
{
    auto request = m_requests[m_requestByCall.at({ node, effect.call })].info;
    request.remaining = effect.remaining;
    request.parent = effect.parent;
    request.account = effect.account;
    request.fingerprint = effect.fingerprint;
    auto sidecar = nodeOf(effect.sidecar);
    ForwardedCall forwarded { node, m_generations[node], effect.call, effect.attempt, effect.sidecar, sidecar, m_fleet.now(), request, ++m_lastSend };
    closeEarlierSend(attemptOf(forwarded));
    m_openSends[attemptOf(forwarded)] = forwarded.send;
    if (sidecar == node) {
        arrive(forwarded, effect);
        return;
    }

    if (!effect.forwarder.isEmpty()) {
        m_fleet.callLater(transitTime(), [this, forwarded, effect] { forwardOrder(forwarded, effect, nodeOf(effect.forwarder)); });
        return;
    }
    bool isUnreachable = isCut(node, sidecar) || !m_fleet.isRunning(sidecar);
    if (isUnreachable) {
        auto wait = m_fleet.isRunning(sidecar) ? std::min(connectTimeout, effect.remaining) : networkDelay();
        report(forwarded, { .result = AttemptResult::NotSent, .reason = Reason::ConnectFailed }, wait, {});
        return;
    }
    if (slowTransits > 0)
        m_fleet.callLater(transitTime(), [this, forwarded, effect] { connect(forwarded, effect); });
    else
        connect(forwarded, effect);
}

// A forwarding process learns late or never that the ingress has closed its connection, so the order arrives in any case.
void NodeFleet::forwardOrder(const ForwardedCall& forwarded, const ForwardCall& effect, size_t forwarder)
{
    bool isForwarding = m_fleet.isRunning(forwarder) && !isCut(forwarded.ingress, forwarder) && !isCut(forwarder, forwarded.sidecar);
    if (!isForwarding || !m_fleet.isRunning(forwarded.sidecar)) {
        report(forwarded, { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut }, networkDelay(), {});
        return;
    }
    m_fleet.callLater(transitTime(), [this, forwarded, effect, forwarder] {
        if (m_fleet.isRunning(forwarder))
            arrive(forwarded, effect, forwarder);
        else
            report(forwarded, { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut }, networkDelay(), {});
    });
}

void NodeFleet::connect(const ForwardedCall& forwarded, const ForwardCall& effect)
{
    // A connection that is closed before it is open carries no byte.
    if (isClosed(forwarded))
        return;
    if (!m_fleet.isRunning(forwarded.sidecar)) {
        report(forwarded, { .result = AttemptResult::NotSent, .reason = Reason::ConnectFailed }, networkDelay(), {});
        return;
    }
    // An open connection belongs to one process: what is still on its way when that process ends is lost.
    m_fleet.callLater(transitTime(), [this, forwarded, effect, generation = m_generations[forwarded.sidecar]] {
        if (m_generations[forwarded.sidecar] == generation)
            arrive(forwarded, effect);
        else
            report(forwarded, { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut }, networkDelay(), {});
    });
}

void NodeFleet::arrive(ForwardedCall forwarded, const ForwardCall& effect, std::optional<size_t> forwarder)
{
    forwarded.forwarder = forwarder;
    if (!m_fleet.isRunning(forwarded.sidecar)) {
        report(forwarded, { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut }, networkDelay(), {});
        return;
    }
    SidecarCallArrived arrived;
    arrived.call = SidecarCallId(++m_lastSidecarCall);
    arrived.backend = effect.backend;
    arrived.incarnation = effect.incarnation;
    arrived.request = forwarded.request;
    arrived.isIdempotent = effect.isIdempotent;
    arrived.isReplayOnly = effect.isReplayOnly;
    arrived.latencyObjective = effect.latencyObjective;
    arrived.priority = effect.priority;
    arrived.longestWait = effect.longestWait;
    arrived.isOnlyForFreeSlot = effect.isOnlyForFreeSlot;
    arrived.isLastResort = effect.isLastResort;
    arrived.arrival = effect.arrival;
    arrived.knownLimit = effect.knownLimit;
    arrived.firstSentAgo = effect.firstSentAgo;
    arrived.receiverStart = effect.receiverStart;
    if (effect.requiresDeduplication)
        arrived.key = RunKey { InstanceId("node-" + std::to_string(forwarded.ingress)), Incarnation(forwarded.ingressGeneration), effect.attempt };
    m_arrivedRequests[{ forwarded.sidecar, arrived.call.value() }] = forwarded.request;
    if (isClosed(forwarded)) {
        // The bytes on a connection arrive although the ingress has closed it, and its end after them.
        m_fleet.deliverLater(forwarded.sidecar, Duration::zero(), arrived);
        m_fleet.deliverLater(forwarded.sidecar, networkDelay(), SidecarCallCancelled { arrived.call });
        return;
    }
    m_forwardedCalls[{ forwarded.sidecar, arrived.call.value() }] = forwarded;

    // The attempt ends at the deadline if its answer was lost on a cut network path.
    SidecarKey key { forwarded.sidecar, arrived.call.value() };
    m_fleet.callLater(effect.remaining, [this, key] {
        auto entry = m_forwardedCalls.extract(key);
        if (!entry)
            return;
        report(entry.mapped(), { .result = AttemptResult::TimedOut, .reason = Reason::DeadlineExceeded }, Duration::zero(), {});
        m_fleet.deliver(key.first, SidecarCallCancelled { SidecarCallId(key.second) });
    });
    // Deferred, because a driver passes in inputs only after it has carried out the current list of effects.
    m_fleet.deliverLater(forwarded.sidecar, Duration::zero(), std::move(arrived));
}

void NodeFleet::carryOut(size_t node, const CancelAttempt& effect)
{
    closeEarlierSend({ node, effect.call, effect.attempt });
}

void NodeFleet::report(const ForwardedCall& forwarded, AttemptReport report, Duration delay, RequestId answerOf)
{
    report.elapsed = m_fleet.now() + delay - forwarded.sentAt;
    // An ingress hears nothing of a connection that it has closed.
    m_fleet.callLater(delay, [this, forwarded, report, answerOf = std::move(answerOf)] {
        if (isClosed(forwarded) || m_generations[forwarded.ingress] != forwarded.ingressGeneration)
            return;
        m_openSends.erase(attemptOf(forwarded));
        m_attemptAnswers[{ forwarded.call, forwarded.attempt }] = answerOf;
        m_fleet.deliver(forwarded.ingress, AttemptFinished { forwarded.call, forwarded.attempt, report, forwarded.sidecarName });
    });
}

void NodeFleet::finishForwardedCall(size_t node, SidecarCallId call, AttemptReport attemptReport, RequestId answerOf)
{
    auto entry = m_forwardedCalls.find({ node, call.value() });
    if (entry == m_forwardedCalls.end())
        return;
    // An answer on a cut network path is lost; the attempt ends at its deadline.
    auto answered = entry->second.forwarder.value_or(entry->second.ingress);
    bool isLost = (node != answered && isCut(node, answered)) || (answered != entry->second.ingress && isCut(answered, entry->second.ingress));
    if (isLost)
        return;
    auto forwarded = entry->second;
    m_forwardedCalls.erase(entry);
    report(forwarded, attemptReport, node == forwarded.ingress ? Duration::zero() : transitTime(), std::move(answerOf));
}

void NodeFleet::carryOut(size_t node, const AnswerSidecarCall& effect)
{
    SidecarKey key { node, effect.call.value() };
    auto forwarded = m_forwardedCalls.find(key);
    auto notice = m_runNotices.extract(key);
    if (notice && forwarded != m_forwardedCalls.end())
        m_attemptNotices[{ forwarded->second.call, forwarded->second.attempt }] = notice.mapped();
    finishForwardedCall(node, effect.call, { .result = AttemptResult::Answered, .status = 200, .serviceTime = effect.serviceTime, .hasLoad = true, .load = effect.load },
        m_runAnswers[{ node, effect.call.value() }]);
}

void NodeFleet::carryOut(size_t node, const ReplaySidecarCall& effect)
{
    auto kept = m_keptAnswers.find({ node, effect.keptAnswer.value() });
    if (kept == m_keptAnswers.end())
        finishForwardedCall(node, effect.call, { .result = AttemptResult::OutcomeUnknown, .reason = Reason::KeyOutcomeUnknown }, {});
    else
        finishForwardedCall(node, effect.call, { .result = AttemptResult::Answered, .status = 200, .hasLoad = true, .load = effect.load }, kept->second);
}

void NodeFleet::carryOut(size_t node, const RebindSidecarCall& effect)
{
    auto forwarded = m_forwardedCalls.extract({ node, effect.call.value() });
    if (forwarded.empty())
        return;
    m_forwardedCalls.erase({ node, effect.runningCall.value() });
    forwarded.key() = { node, effect.runningCall.value() };
    m_forwardedCalls.insert(std::move(forwarded));
}

void NodeFleet::carryOut(size_t node, const RedirectSidecarCall& effect)
{
    finishForwardedCall(node, effect.call, { .result = AttemptResult::Redirected, .reason = Reason::KeyOutcomeUnknown, .outcomeKeeper = effect.outcomeKeeper }, {});
}

void NodeFleet::carryOut(size_t node, const RefuseSidecarCall& effect)
{
    auto result = effect.outcome == Outcome::NotRun ? AttemptResult::RefusedNotRun : AttemptResult::OutcomeUnknown;
    finishForwardedCall(node, effect.call, { .result = result, .reason = effect.reason, .hasLoad = true, .load = effect.load }, {});
}

void NodeFleet::carryOut(size_t node, const KeepAnswer& effect)
{
    m_keptAnswers[{ node, effect.call.value() }] = m_runAnswers[{ node, effect.call.value() }];
}

void NodeFleet::carryOut(size_t node, const ForgetAnswer& effect)
{
    m_keptAnswers.erase({ node, effect.call.value() });
}

void NodeFleet::carryOut(size_t node, const RunCall& effect)
{
    auto index = indexOf(effect.backend);
    auto& backend = m_backends[index];
    SidecarKey key { node, effect.call.value() };
    auto request = m_arrivedRequests.at(key);
    auto& run = m_runs[key] = { node, m_generations[node], index, backend.incarnation, false, request };
    if (!backend.isUp) {
        m_fleet.callLater(networkDelay(), [this, key] { finishRun(key, AttemptResult::NotSent, 0); });
        return;
    }

    countArrival(run, backend.service);
    if (happens(backend.simulatedFaults.shedShare)) {
        m_fleet.callLater(1ms, [this, key] { finishRun(key, AttemptResult::RefusedNotRun, 503, Reason::BackendShedding); });
        return;
    }
    if (happens(backend.simulatedFaults.misdirectedShare)) {
        m_fleet.callLater(1ms, [this, key] { finishRun(key, AttemptResult::RefusedNotRun, 421, Reason::BackendMisdirected); });
        return;
    }
    ++m_requests[m_requestById.at(request.id)].runs;
    if (request.key)
        ++m_runsByKey[request.service.value() + "/" + request.key->value()];
    backend.lastRunAt = m_fleet.now();
    backend.maximumRunning = std::max(backend.maximumRunning, ++backend.running);
    if (backend.simulatedFaults.crashFingerprint && backend.simulatedFaults.crashFingerprint == request.fingerprint.low) {
        m_fleet.callLater(1ms, [this, index] { crash(index); });
        return;
    }
    if (backend.simulatedFaults.isStuck) {
        m_fleet.callLater(effect.remaining, [this, key] { finishRun(key, AttemptResult::TimedOut, 0); });
        return;
    }

    auto mean = static_cast<double>(backend.serviceTime.count()) * backend.simulatedFaults.slowFactor;
    Duration length(static_cast<int64_t>(mean * std::lognormal_distribution<double>(0, 0.3)(m_fleet.random())));
    auto result = happens(backend.simulatedFaults.cutShare) ? AttemptResult::ConnectionLost : AttemptResult::Answered;
    if (length > effect.remaining)
        result = AttemptResult::TimedOut;
    uint16_t status = happens(backend.simulatedFaults.errorShare) ? 500 : 200;
    if (result == AttemptResult::Answered && status == 200 && happens(backend.callShare)) {
        m_fleet.callLater(effect.remaining, [this, key] { finishRun(key, AttemptResult::TimedOut, 0); });
        m_fleet.callLater(length, [this, key, backend] { makeCall(key, backend); });
        return;
    }
    m_fleet.callLater(std::min(length, effect.remaining), [this, key, result, status] { finishRun(key, result, result == AttemptResult::Answered ? status : 0); });
}

void NodeFleet::countArrival(Run& run, const ServiceName& backendService)
{
    auto& request = m_requests[m_requestById.at(run.request.id)];
    run.isRepeat = request.arrivals > 0 || request.isCallOfRepeat;
    ++request.arrivals;
    m_arrivals.push_back({ backendService, run.backend, request.ingress, m_generations[request.ingress], request.sentAt, m_fleet.now(), run.isRepeat, run.request.fingerprint });
}

void NodeFleet::makeCall(SidecarKey key, const FakeBackend& backend)
{
    auto run = m_runs.find(key);
    if (run == m_runs.end() || !m_fleet.isRunning(backend.node))
        return;
    auto info = makeRequest(backend.calledService.value(), Method::Get);
    info.id = RequestId(run->second.request.id.value() + "." + info.id.value());
    info.parent = run->second.request.id;
    info.remaining = 500ms;
    bool isRepeat = run->second.isRepeat;
    auto call = send(backend.node, std::move(info));
    m_requests[call].isCallOfRepeat = isRepeat;
    m_requests[call].waitingRun = key;
}

void NodeFleet::finishRun(SidecarKey key, AttemptResult result, uint16_t status, Reason reason)
{
    auto run = m_runs.find(key);
    if (run == m_runs.end())
        return;
    auto& backend = m_backends[run->second.backend];
    if (result != AttemptResult::NotSent && backend.incarnation == run->second.incarnation && backend.running > 0)
        --backend.running;
    RunReport report { result, status, reason, 20ms };
    if (result == AttemptResult::Answered || result == AttemptResult::RefusedNotRun)
        report.notice = backend.simulatedFaults.notice;
    if (result == AttemptResult::Answered)
        m_runAnswers[key] = run->second.request.id;
    if (result == AttemptResult::Answered && backend.simulatedFaults.notice != BackendNotice {})
        m_runNotices[key] = { run->second.backend, backend.simulatedFaults.notice };
    if (!run->second.isCancelled && m_generations[key.first] == run->second.generation)
        m_fleet.deliver(key.first, RunFinished { SidecarCallId(key.second), report });
    m_runs.erase(key);
}

void NodeFleet::carryOut(size_t node, const CancelRun& effect)
{
    auto run = m_runs.find({ node, effect.call.value() });
    if (run == m_runs.end())
        return;
    // The backend server continues the run, but its answer is discarded.
    run->second.isCancelled = true;
    m_fleet.deliverLater(node, Duration::zero(), RunFinished { effect.call, { AttemptResult::Cancelled, 0, Reason::CallerGone } });
}

void NodeFleet::crash(size_t index)
{
    auto& backend = m_backends[index];
    backend.isUp = false;
    backend.running = 0;
    ++backend.crashes;
    std::vector<SidecarKey> interruptedRuns;
    for (const auto& [key, run] : m_runs) {
        if (run.backend == index)
            interruptedRuns.push_back(key);
    }
    for (const auto& key : interruptedRuns)
        finishRun(key, AttemptResult::ConnectionLost, 0);
    m_fleet.callLater(m_options.backendDownTime, [this, index] {
        m_backends[index].isUp = true;
        m_backends[index].incarnation = m_backends[index].incarnation.next();
        if (m_fleet.isRunning(m_backends[index].node))
            m_fleet.deliver(m_backends[index].node, BackendAnnounced { announcementOf(m_backends[index]) });
    });
}

void NodeFleet::carryOut(size_t node, const ProbeBackend& effect)
{
    auto index = indexOf(effect.backend);
    const auto& backend = m_backends[index];
    RunReport report;
    report.status = 200;
    report.elapsed = 5ms;
    if (!backend.isUp)
        report = { AttemptResult::NotSent, 0, Reason::ConnectFailed, 1ms };
    m_fleet.deliverLater(node, report.elapsed, ProbeFinished { effect.backend, report });
}

void NodeFleet::carryOut(size_t node, const CheckConnection& effect)
{
    if (!m_backends[indexOf(effect.backend)].isUp)
        m_fleet.deliverLater(node, 1ms, ConnectionRefused { effect.backend, effect.incarnation });
}

void NodeFleet::carryOut(size_t node, const AnswerCall& effect)
{
    auto notice = m_attemptNotices.find({ effect.call, effect.attempt });
    if (notice != m_attemptNotices.end())
        m_passedOnNotices.push_back({ notice->second.backend, node, m_generations[node], m_fleet.now(), notice->second.said });
    recordOutcome(node, effect.call, CallerOutcome::Answered, Reason::None, m_attemptAnswers[{ effect.call, effect.attempt }]);
}

void NodeFleet::carryOut(size_t node, const RefuseCall& effect)
{
    m_requests[m_requestByCall.at({ node, effect.call })].retryAfter = effect.retryAfter;
    recordOutcome(node, effect.call, effect.outcome == Outcome::NotRun ? CallerOutcome::NotRun : CallerOutcome::Unknown, effect.reason, {});
}

void NodeFleet::recordOutcome(size_t node, CallId call, CallerOutcome callerOutcome, Reason reason, RequestId answerOf)
{
    auto& request = m_requests[m_requestByCall.at({ node, call })];
    ++request.outcomeCount;
    request.callerOutcome = callerOutcome;
    request.reason = reason;
    request.answerOf = std::move(answerOf);
    request.outcomeAt = m_fleet.now();
    m_abortedByLeaving += callerOutcome == CallerOutcome::Unknown && reason == Reason::ProcessLeaving ? 1 : 0;
    if (request.waitingRun) {
        uint16_t status = callerOutcome == CallerOutcome::Answered ? 200 : 500;
        m_fleet.callLater(Duration::zero(), [this, key = *request.waitingRun, status] { finishRun(key, AttemptResult::Answered, status); });
    }
}

void NodeFleet::carryOut(size_t, const RecordDecision& effect)
{
    ++m_decisions[effect.event.kind];
}

void NodeFleet::carryOut(size_t node, const Leave&)
{
    m_left.insert(node);
    for (const auto& [key, forwarded] : m_forwardedCalls)
        m_abortedByLeaving += key.first == node || forwarded.ingress == node ? 1 : 0;
    m_fleet.callLater(Duration::zero(), [this, node] { kill(node); });
}

void NodeFleet::carryOut(size_t node, const CallPlatform& effect)
{
    Duration wait { 0 };
    if (const auto* watch = std::get_if<WatchPrefix>(&effect.operation))
        wait = watch->wait;
    if (const auto* watch = std::get_if<WatchRoutes>(&effect.operation))
        wait = watch->wait;
    platformReply(node, m_generations[node], effect, m_fleet.now() + wait);
    if (wait > Duration::zero())
        m_fleet.callLater(wait, [this] { answerWatches(); });
}

void NodeFleet::platformReply(size_t node, uint32_t generation, const CallPlatform& call, Instant end)
{
    PlatformReply lost;
    lost.tag = call.tag;
    lost.status = PlatformStatus::NoAnswer;
    auto deliver = [&](PlatformReply reply, Duration delay) {
        if (m_generations[node] == generation)
            m_fleet.deliverLater(node, delay, PlatformReplied { std::move(reply) });
    };
    if (isPlatformDown || nodesWithSilentStore.contains(node))
        return deliver(lost, platformTimeout);
    if (nodesTurnedAway.contains(node))
        return deliver(lost, platformDelay);
    confirmations += std::holds_alternative<ConfirmRoutes>(call.operation) ? 1 : 0;
    if (m_platform.mustWait(call.operation) && m_fleet.now() < end) {
        m_pendingWatches.push_back({ node, generation, call, end });
        return;
    }

    auto writesBefore = m_platform.writes();
    auto reply = m_platform.perform(m_fleet.now(), call.operation);
    reply.tag = call.tag;
    if (happens(lostPlatformReplies))
        deliver(lost, platformTimeout);
    else
        deliver(std::move(reply), platformDelay);
    if (m_platform.writes() > writesBefore)
        answerWatches();
}

void NodeFleet::answerWatches()
{
    for (const auto& pending : std::exchange(m_pendingWatches, {}))
        platformReply(pending.node, pending.generation, pending.call, pending.end);
}

}
