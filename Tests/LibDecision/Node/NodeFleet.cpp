#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

namespace Testing {

namespace {

    constexpr Duration announcementInterval = 3s;
    constexpr Duration connectTimeout = 200ms;
    constexpr Duration platformDelay = 3ms;
    constexpr Duration platformTimeout = 2s;
    constexpr Duration crashedTime = 2s;
    constexpr Duration leaveTimeout = 20s;

    const std::vector<std::string> zones { "agadir", "taroudant", "tiznit" };

}

NodeFleet::NodeFleet(uint64_t seed, size_t nodes)
    : m_fleet(seed)
    , m_lives(nodes)
{
    m_fleet.onEffect = [this](size_t node, const Effect& effect) {
        std::visit([&](const auto& typed) { carryOut(node, typed); }, effect);
    };
    for (size_t node = 0; node < nodes; ++node)
        startNode(node);
}

MemberRecord NodeFleet::recordOf(size_t node) const
{
    MemberRecord record;
    record.instance = InstanceId("node-" + std::to_string(node));
    record.incarnation = Incarnation(1 + m_lives[node] * 1000);
    record.zone = ZoneName(zones[node % zones.size()]);
    record.region = RegionName("souss-massa");
    record.control = { "127.0.0.1", static_cast<uint16_t>(2000 + node) };
    record.callers = { "127.0.0.1", static_cast<uint16_t>(1000 + node) };
    return record;
}

void NodeFleet::startNode(size_t node)
{
    ++m_lives[node];
    NodeOptions options;
    options.self = recordOf(node);
    options.seeds = { { "127.0.0.1", 2000 }, { "127.0.0.1", 2001 } };
    options.randomSeed = m_fleet.random()();
    options.leaveTimeout = leaveTimeout;
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
    announcement.endpoint = { "127.0.0.1", 9000 };
    announcement.incarnation = backend.incarnation;
    announcement.slots = backend.slots;
    announcement.phase = backend.isDraining ? BackendPhase::Draining : BackendPhase::Serving;
    return announcement;
}

void NodeFleet::announce(size_t index)
{
    auto& backend = m_backends[index];
    if (backend.isUp) {
        // A backend server whose process is gone turns to the next one, as a new incarnation.
        if (!m_fleet.isRunning(backend.node)) {
            backend.node = (backend.node + 1) % m_fleet.size();
            backend.incarnation = backend.incarnation.next();
        }
        m_fleet.deliver(backend.node, BackendAnnounced { announcementOf(backend) });
    }
    m_fleet.callLater(announcementInterval, [this, index] { announce(index); });
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

size_t NodeFleet::send(size_t node, RequestInfo info)
{
    CallId call(++m_lastCall);
    m_requestByCall[{ node, call }] = m_requests.size();
    CallerRequest request;
    request.info = info;
    request.ingress = node;
    request.sentAt = m_fleet.now();
    request.isIngressLost = !m_fleet.isRunning(node);
    m_requests.push_back(request);
    m_fleet.deliver(node, CallArrived { call, std::move(info) });
    return m_requests.size() - 1;
}

void NodeFleet::callerGone(size_t number)
{
    m_requests[number].isCallerGone = true;
    for (const auto& [key, request] : m_requestByCall) {
        if (request == number)
            m_fleet.deliver(key.first, CallerGone { key.second });
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
    ++m_lives[node];
    for (auto& request : m_requests) {
        if (request.ingress == node && request.told == CallerTold::Nothing)
            request.isIngressLost = true;
    }
    loseLinksOf(node);
}

void NodeFleet::restart(size_t node)
{
    if (!m_fleet.isRunning(node))
        startNode(node);
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
    m_fleet.callLater(length, [this, node, life = m_lives[node]] {
        if (m_fleet.isRunning(node) && m_lives[node] == life)
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

void NodeFleet::loseLinksOf(size_t node)
{
    // Connections of a process that died break at the other end.
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        auto link = entry->second;
        if (entry->first.first == node) {
            report(link, { .result = AttemptResult::Cut, .reason = Reason::AnswerCut }, networkDelay(), {});
            entry = m_links.erase(entry);
            continue;
        }
        if (link.ingress == node)
            m_fleet.deliverLater(entry->first.first, networkDelay(), SidecarCallCancelled { SidecarCallId(entry->first.second) });
        ++entry;
    }
    for (auto& [key, run] : m_runs) {
        if (key.first == node)
            run.isCancelled = true;
    }
    std::erase_if(m_keptAnswers, [&](const auto& kept) { return kept.first.first == node; });
}

void NodeFleet::carryOut(size_t node, const ForwardCall& effect)
{
    auto request = m_requests[m_requestByCall.at({ node, effect.call })].info;
    request.remaining = effect.remaining;
    auto sidecar = nodeOf(effect.sidecar);
    Link link { node, m_lives[node], effect.call, effect.attempt, effect.sidecar, sidecar, m_fleet.now(), request };
    if (sidecar == node) {
        arrive(link, effect);
        return;
    }

    bool isUnreachable = isCut(node, sidecar) || !m_fleet.isRunning(sidecar);
    if (isUnreachable) {
        auto wait = m_fleet.isRunning(sidecar) ? std::min(connectTimeout, effect.remaining) : networkDelay();
        report(link, { .result = AttemptResult::NotSent, .reason = Reason::ConnectFailed }, wait, {});
        return;
    }
    m_fleet.callLater(networkDelay(), [this, link, effect] { arrive(link, effect); });
}

void NodeFleet::arrive(Link link, const ForwardCall& effect)
{
    if (!m_fleet.isRunning(link.sidecar)) {
        report(link, { .result = AttemptResult::Cut, .reason = Reason::AnswerCut }, networkDelay(), {});
        return;
    }
    SidecarCallArrived arrived;
    arrived.call = SidecarCallId(++m_lastSidecarCall);
    arrived.backend = effect.backend;
    arrived.incarnation = effect.incarnation;
    arrived.request = link.request;
    arrived.isIdempotent = effect.isIdempotent;
    arrived.isReplayOnly = effect.isReplayOnly;
    m_links[{ link.sidecar, arrived.call.value() }] = link;

    // Nobody waits longer than the deadline for an answer that a cut link swallowed.
    SidecarKey key { link.sidecar, arrived.call.value() };
    m_fleet.callLater(effect.remaining, [this, key] {
        auto entry = m_links.extract(key);
        if (!entry)
            return;
        report(entry.mapped(), { .result = AttemptResult::TimedOut, .reason = Reason::DeadlineExceeded }, Duration::zero(), {});
        m_fleet.deliver(key.first, SidecarCallCancelled { SidecarCallId(key.second) });
    });
    // The shell hands the input in once the effects at hand are carried out.
    m_fleet.deliverLater(link.sidecar, Duration::zero(), std::move(arrived));
}

void NodeFleet::carryOut(size_t node, const CancelAttempt& effect)
{
    for (auto entry = m_links.begin(); entry != m_links.end(); ++entry) {
        const auto& link = entry->second;
        if (link.ingress != node || link.call != effect.call || link.attempt != effect.attempt)
            continue;
        if (!isCut(node, link.sidecar))
            m_fleet.deliverLater(link.sidecar, networkDelay(), SidecarCallCancelled { SidecarCallId(entry->first.second) });
        m_links.erase(entry);
        return;
    }
}

void NodeFleet::report(const Link& link, AttemptReport report, Duration delay, RequestId answerOf)
{
    m_attemptAnswers[{ link.call, link.attempt }] = std::move(answerOf);
    report.elapsed = m_fleet.now() + delay - link.sentAt;
    if (m_lives[link.ingress] == link.ingressLife)
        m_fleet.deliverLater(link.ingress, delay, AttemptFinished { link.call, link.attempt, report, link.sidecarName });
}

void NodeFleet::endLink(size_t node, SidecarCallId call, AttemptReport attemptReport, RequestId answerOf)
{
    auto entry = m_links.find({ node, call.value() });
    if (entry == m_links.end())
        return;
    // An answer on a cut link never arrives; the deadline ends the wait.
    if (node != entry->second.ingress && isCut(node, entry->second.ingress))
        return;
    auto link = entry->second;
    m_links.erase(entry);
    report(link, attemptReport, node == link.ingress ? Duration::zero() : networkDelay(), std::move(answerOf));
}

void NodeFleet::carryOut(size_t node, const AnswerSidecarCall& effect)
{
    endLink(node, effect.call, { .result = AttemptResult::Answered, .status = 200, .serviceTime = effect.serviceTime, .hasLoad = true, .load = effect.load },
        m_runAnswers[{ node, effect.call.value() }]);
}

void NodeFleet::carryOut(size_t node, const ReplaySidecarCall& effect)
{
    auto kept = m_keptAnswers.find({ node, effect.keptAnswer.value() });
    if (kept == m_keptAnswers.end())
        endLink(node, effect.call, { .result = AttemptResult::PeerUnknown, .reason = Reason::KeyOutcomeUnknown }, {});
    else
        endLink(node, effect.call, { .result = AttemptResult::Answered, .status = 200, .hasLoad = true, .load = effect.load }, kept->second);
}

void NodeFleet::carryOut(size_t node, const AdoptSidecarCall& effect)
{
    auto link = m_links.extract({ node, effect.call.value() });
    if (link.empty())
        return;
    m_links.erase({ node, effect.underway.value() });
    link.key() = { node, effect.underway.value() };
    m_links.insert(std::move(link));
}

void NodeFleet::carryOut(size_t node, const RedirectSidecarCall& effect)
{
    endLink(node, effect.call, { .result = AttemptResult::Redirected, .reason = Reason::KeyOutcomeUnknown, .outcomeKeeper = effect.keeper }, {});
}

void NodeFleet::carryOut(size_t node, const RefuseSidecarCall& effect)
{
    auto result = effect.outcome == Outcome::NotRun ? AttemptResult::RefusedNotRun : AttemptResult::PeerUnknown;
    endLink(node, effect.call, { .result = result, .reason = effect.reason, .hasLoad = true, .load = effect.load }, {});
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
    auto index = std::stoul(effect.backend.value().substr(8));
    auto& backend = m_backends[index];
    SidecarKey key { node, effect.call.value() };
    auto link = m_links.find(key);
    auto request = link == m_links.end() ? RequestInfo {} : link->second.request;
    m_runs[key] = { node, m_lives[node], index, backend.incarnation, false, request };
    if (!backend.isUp || link == m_links.end()) {
        m_fleet.callLater(networkDelay(), [this, key] { finishRun(key, AttemptResult::NotSent, 0); });
        return;
    }

    for (auto& caller : m_requests)
        caller.runs += caller.info.id == request.id ? 1 : 0;
    if (request.key)
        ++m_runsByKey[request.service.value() + "/" + request.key->value()];
    backend.lastRunAt = m_fleet.now();
    backend.mostRunning = std::max(backend.mostRunning, ++backend.running);
    if (backend.trouble.crashFingerprint && backend.trouble.crashFingerprint == request.fingerprint.low) {
        m_fleet.callLater(1ms, [this, index] { crash(index); });
        return;
    }
    if (backend.trouble.isStuck) {
        m_fleet.callLater(effect.remaining, [this, key] { finishRun(key, AttemptResult::TimedOut, 0); });
        return;
    }

    auto mean = static_cast<double>(backend.serviceTime.count()) * backend.trouble.slowFactor;
    Duration length(static_cast<int64_t>(mean * std::lognormal_distribution<double>(0, 0.3)(m_fleet.random())));
    auto result = happens(backend.trouble.cutShare) ? AttemptResult::Cut : AttemptResult::Answered;
    if (length > effect.remaining)
        result = AttemptResult::TimedOut;
    uint16_t status = happens(backend.trouble.errorShare) ? 500 : 200;
    m_fleet.callLater(std::min(length, effect.remaining), [this, key, result, status] { finishRun(key, result, result == AttemptResult::Answered ? status : 0); });
}

void NodeFleet::finishRun(SidecarKey key, AttemptResult result, uint16_t status)
{
    auto run = m_runs.find(key);
    if (run == m_runs.end())
        return;
    auto& backend = m_backends[run->second.backend];
    if (result != AttemptResult::NotSent && backend.incarnation == run->second.incarnation && backend.running > 0)
        --backend.running;
    if (result == AttemptResult::Answered)
        m_runAnswers[key] = run->second.request.id;
    if (!run->second.isCancelled && m_lives[key.first] == run->second.life)
        m_fleet.deliver(key.first, RunFinished { SidecarCallId(key.second), { result, status, Reason::None, 20ms } });
    m_runs.erase(key);
}

void NodeFleet::carryOut(size_t node, const CancelRun& effect)
{
    auto run = m_runs.find({ node, effect.call.value() });
    if (run == m_runs.end())
        return;
    // The backend server goes on for a while; nobody hears of its answer.
    run->second.isCancelled = true;
    m_fleet.deliverLater(node, Duration::zero(), RunFinished { effect.call, { AttemptResult::Cancelled, 0, Reason::CallerGone } });
}

void NodeFleet::crash(size_t index)
{
    auto& backend = m_backends[index];
    backend.isUp = false;
    backend.running = 0;
    ++backend.crashes;
    std::vector<SidecarKey> cut;
    for (const auto& [key, run] : m_runs) {
        if (run.backend == index)
            cut.push_back(key);
    }
    for (const auto& key : cut)
        finishRun(key, AttemptResult::Cut, 0);
    m_fleet.callLater(crashedTime, [this, index] {
        m_backends[index].isUp = true;
        m_backends[index].incarnation = m_backends[index].incarnation.next();
        if (m_fleet.isRunning(m_backends[index].node))
            m_fleet.deliver(m_backends[index].node, BackendAnnounced { announcementOf(m_backends[index]) });
    });
}

void NodeFleet::carryOut(size_t node, const ProbeBackend& effect)
{
    auto index = std::stoul(effect.backend.value().substr(8));
    const auto& backend = m_backends[index];
    RunReport report;
    report.status = 200;
    report.elapsed = 5ms;
    if (!backend.isUp)
        report = { AttemptResult::NotSent, 0, Reason::ConnectFailed, 1ms };
    m_fleet.deliverLater(node, report.elapsed, ProbeFinished { effect.backend, report });
}

void NodeFleet::carryOut(size_t node, const AnswerCall& effect)
{
    tell(node, effect.call, CallerTold::Answered, Reason::None, m_attemptAnswers[{ effect.call, effect.attempt }]);
}

void NodeFleet::carryOut(size_t node, const RefuseCall& effect)
{
    tell(node, effect.call, effect.outcome == Outcome::NotRun ? CallerTold::NotRun : CallerTold::Unknown, effect.reason, {});
}

void NodeFleet::tell(size_t node, CallId call, CallerTold told, Reason reason, RequestId answerOf)
{
    auto& request = m_requests[m_requestByCall.at({ node, call })];
    ++request.timesTold;
    request.told = told;
    request.reason = reason;
    request.answerOf = std::move(answerOf);
    request.toldAt = m_fleet.now();
}

void NodeFleet::carryOut(size_t, const Explain& effect)
{
    ++m_decisions[effect.event.kind];
}

void NodeFleet::carryOut(size_t node, const Leave&)
{
    m_left.insert(node);
    for (const auto& [key, link] : m_links)
        m_cutByLeaving += key.first == node || link.ingress == node ? 1 : 0;
    m_fleet.callLater(Duration::zero(), [this, node] { kill(node); });
}

void NodeFleet::carryOut(size_t node, const CallPlatform& effect)
{
    const auto* watch = std::get_if<WatchPrefix>(&effect.operation);
    platformReply(node, m_lives[node], effect, m_fleet.now() + (watch ? watch->wait : Duration::zero()));
}

void NodeFleet::platformReply(size_t node, uint32_t life, const CallPlatform& call, Instant end)
{
    PlatformReply lost;
    lost.tag = call.tag;
    lost.status = PlatformStatus::NoAnswer;
    auto deliver = [&](PlatformReply reply, Duration delay) {
        if (m_lives[node] == life)
            m_fleet.deliverLater(node, delay, PlatformReplied { std::move(reply) });
    };
    if (isPlatformDown)
        return deliver(lost, platformTimeout);
    if (m_platform.mustWait(call.operation) && m_fleet.now() < end) {
        m_waiting.push_back({ node, life, call, end });
        m_fleet.callLater(end - m_fleet.now(), [this] { answerWatches(); });
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
    for (const auto& waiting : std::exchange(m_waiting, {}))
        platformReply(waiting.node, waiting.life, waiting.call, waiting.end);
}

}
