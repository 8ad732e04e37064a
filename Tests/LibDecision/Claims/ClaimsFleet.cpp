#include "ClaimsFleet.h"

#include <algorithm>

namespace ClaimsTest {

namespace {

    constexpr Duration callerDeadline = 1s;
    constexpr Duration platformTimeout = 1s;
    constexpr Duration leaveBound = 10s;
    const ServiceName service("collection-desk");
    const AccountId account("vratka");

    size_t indexOf(const InstanceId& instance)
    {
        return std::stoul(instance.value());
    }

}

Profile ClaimsFleet::profile()
{
    Profile profile;
    profile.name = ProfileName("test");
    profile.deadlines.maximumDeadline = callerDeadline;
    profile.idempotency.resendWindow = 4s;
    profile.idempotency.claimLease = 3s;
    return profile;
}

ClaimsFleet::ClaimsFleet(uint64_t seed, std::vector<Fault> faults)
    : m_random(seed)
    , m_processes(processCount)
{
    m_profiles.put({ profile(), { profile().name } });
    for (size_t index = 0; index < processCount; ++index) {
        m_processes[index].index = index;
        m_processes[index].instance = InstanceId(std::to_string(index));
        m_processes[index].clockOffset = randomBetween(0s, 1h);
        m_processes[index].clockDriftPpm = static_cast<int64_t>(m_random() % 20'001) - 10'000;
        m_members.push_back({ m_processes[index].instance });
    }
    for (size_t index = 0; index < processCount; ++index)
        startProcess(index);
    for (const auto& fault : faults)
        at(m_now + fault.at, [this, fault] { begin(fault); });
}

void ClaimsFleet::at(Instant instant, std::function<void()> action)
{
    m_events.emplace(instant, std::move(action));
}

Duration ClaimsFleet::randomBetween(Duration low, Duration high)
{
    return low + Duration(static_cast<Duration::rep>(m_random() % static_cast<uint64_t>((high - low).count() + 1)));
}

bool ClaimsFleet::chance(double probability)
{
    return std::uniform_real_distribution<double>()(m_random) < probability;
}

void ClaimsFleet::runUntil(Instant end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

MemberRecord ClaimsFleet::recordOf(const Process& process, MemberState state) const
{
    MemberRecord record;
    record.instance = process.instance;
    record.incarnation = process.incarnation;
    record.control = { "127.0.0.1", static_cast<uint16_t>(1000 + process.index) };
    record.state = state;
    return record;
}

void ClaimsFleet::startProcess(size_t index)
{
    auto& process = m_processes[index];
    process.incarnation = Incarnation(++m_lastIncarnation);
    process.isUp = true;
    process.isLeaving = false;
    process.pausedUntil = m_now;
    process.lastTag = {};
    process.calls.clear();
    auto self = recordOf(process, MemberState::Alive);
    std::vector<InstanceId> sidecars;
    for (const auto& other : m_processes)
        sidecars.push_back(other.instance);
    process.peers = std::make_unique<FakePeers>(self);
    process.backends = std::make_unique<FakeBackends>(sidecars, service);
    process.claims = std::make_unique<FakeClaims>(self, *process.peers, *process.backends, m_profiles);
    onProcess(index, process.incarnation, [](Process& started, Turn& turn) { started.claims->start(turn); });
    for (const auto& member : m_members) {
        if (member.instance != self.instance)
            process.peers->put(member);
    }
    spreadMember(self);
    // Simulates the first full sync, which brings the known holders.
    onProcessLater(process, randomBetween(100ms, 3s), [this](Process& joiner, Turn& turn) {
        for (const auto& other : m_processes) {
            for (uint32_t partition = 0; other.isUp && partition < partitionsPerService; ++partition) {
                if (const auto* holder = other.claims->partitionManager().directory().find({ service, partition }))
                    joiner.claims->apply(turn, *holder);
            }
        }
    });
}

Instant ClaimsFleet::localTime(const Process& process) const
{
    auto real = m_now.time_since_epoch().count();
    return Instant(process.clockOffset + Duration(real + real * process.clockDriftPpm / 1'000'000));
}

// A paused process handles everything that arrived during the pause when it resumes, in any order.
void ClaimsFleet::onProcess(size_t index, Incarnation incarnation, Step step)
{
    auto& process = m_processes[index];
    if (!process.isUp || process.incarnation != incarnation)
        return;
    if (m_now < process.pausedUntil) {
        at(process.pausedUntil + randomBetween(0s, 2ms), [this, index, incarnation, step = std::move(step)] { onProcess(index, incarnation, step); });
        return;
    }
    Turn turn(localTime(process), m_random, process.lastTag);
    step(process, turn);
    applyEffects(process, turn);
    armTimer(process);
}

void ClaimsFleet::onProcessLater(const Process& process, Duration delay, Step step)
{
    later(delay, [this, index = process.index, incarnation = process.incarnation, step = std::move(step)] { onProcess(index, incarnation, step); });
}

void ClaimsFleet::armTimer(Process& process)
{
    auto next = process.claims->nextTimer();
    if (!next)
        return;
    auto generation = ++process.timerGeneration;
    auto wait = std::max(Duration(1ms), *next - localTime(process));
    later(wait, [this, index = process.index, incarnation = process.incarnation, generation] {
        if (generation != m_processes[index].timerGeneration)
            return;
        onProcess(index, incarnation, [](Process& woken, Turn& turn) {
            auto due = woken.claims->nextTimer();
            if (due && *due <= turn.now())
                woken.claims->handleTimer(turn);
        });
    });
}

void ClaimsFleet::begin(const Fault& fault)
{
    auto countFor = [this, &fault](int& counter) {
        ++counter;
        later(fault.length, [&counter] { --counter; });
    };
    switch (fault.kind) {
    case FaultKind::Pause:
        return pause(fault.first, fault.length);
    case FaultKind::Kill:
        return kill(fault.first, fault.length);
    case FaultKind::Leave:
        return leave(fault.first, fault.length);
    case FaultKind::CutOneWay:
        return cut(fault.first, fault.second, fault.length);
    case FaultKind::Partition:
        return isolate(fault.first, fault.second, fault.length);
    case FaultKind::FalseDeath: {
        auto& observer = m_processes[fault.first];
        if (fault.first == fault.second)
            return;
        observer.peers->put(recordOf(m_processes[fault.second], MemberState::Dead));
        return later(fault.length, [this, fault] { m_processes[fault.first].peers->put(m_members[fault.second]); });
    }
    case FaultKind::BadNetwork:
        return countFor(m_badNetworks);
    case FaultKind::PlatformDown:
        return countFor(m_platformDown);
    case FaultKind::PlatformRepliesLost:
        return countFor(m_platformRepliesLost);
    case FaultKind::PlatformSlow:
        return countFor(m_platformSlow);
    case FaultKind::PlatformRolledBack:
        m_platform.takeSnapshot();
        return later(fault.length, [this] { m_platform.restoreSnapshot(m_now); });
    }
}

void ClaimsFleet::pause(size_t index, Duration length)
{
    auto& process = m_processes[index];
    process.pausedUntil = std::max(process.pausedUntil, m_now + length);
}

void ClaimsFleet::kill(size_t index, Duration downTime)
{
    if (!std::exchange(m_processes[index].isUp, false))
        return;
    spreadMember(recordOf(m_processes[index], MemberState::Dead));
    restartLater(index, downTime);
}

void ClaimsFleet::leave(size_t index, Duration downTime)
{
    auto& process = m_processes[index];
    if (!process.isUp || std::exchange(process.isLeaving, true))
        return;
    process.peers->put(recordOf(process, MemberState::Leaving));
    spreadMember(recordOf(process, MemberState::Leaving));
    onProcess(index, process.incarnation, [](Process& leaver, Turn& turn) { leaver.claims->leave(turn); });
    awaitIdle(index, process.incarnation, std::max(m_now, process.pausedUntil) + leaveBound, downTime);
}

void ClaimsFleet::awaitIdle(size_t index, Incarnation incarnation, Instant deadline, Duration downTime)
{
    auto& process = m_processes[index];
    if (!process.isUp || process.incarnation != incarnation)
        return;
    deadline = std::max(deadline, process.pausedUntil + leaveBound);
    bool isDone = process.claims->isIdle() && process.calls.empty();
    if (!isDone && m_now < deadline)
        return later(50ms, [this, index, incarnation, deadline, downTime] { awaitIdle(index, incarnation, deadline, downTime); });
    m_stuckLeavers += isDone ? 0 : 1;
    kill(index, downTime);
}

void ClaimsFleet::restartLater(size_t index, Duration downTime)
{
    later(std::max<Duration>(downTime, 100ms), [this, index] { startProcess(index); });
}

// Each process learns of a change after a random delay of its own.
void ClaimsFleet::spreadMember(const MemberRecord& member)
{
    m_members[indexOf(member.instance)] = member;
    for (const auto& process : m_processes) {
        if (process.instance == member.instance)
            continue;
        later(randomBetween(50ms, 2s), [this, index = process.index, member] {
            auto& peers = *m_processes[index].peers;
            const auto* known = peers.find(member.instance);
            if (!known || known->incarnation <= member.incarnation)
                peers.put(member);
        });
    }
}

void ClaimsFleet::cut(size_t from, size_t to, Duration length)
{
    m_cuts.emplace(from, to);
    // Both ends detect the lost path after up to 1 s without replies.
    auto setPathState = [this, from, to](bool isReachable) {
        m_processes[from].peers->setReachable(m_processes[to].instance, isReachable);
        m_processes[to].peers->setReachable(m_processes[from].instance, isReachable);
    };
    later(std::min<Duration>(length, 1s), [setPathState] { setPathState(false); });
    later(length, [this, from, to, setPathState] {
        m_cuts.erase(m_cuts.find({ from, to }));
        setPathState(true);
    });
}

void ClaimsFleet::isolate(size_t first, size_t second, Duration length)
{
    std::vector<size_t> isolated { first, second };
    m_isolated.insert(isolated.begin(), isolated.end());
    later(length, [this, isolated] {
        for (auto index : isolated)
            m_isolated.erase(m_isolated.find(index));
    });
    // Each side considers the other dead until some time after the partition heals.
    for (size_t observer = 0; observer < processCount; ++observer) {
        for (size_t seen = 0; seen < processCount; ++seen) {
            if (areConnected(observer, seen))
                continue;
            later(randomBetween(500ms, 2s), [this, observer, seen] { m_processes[observer].peers->put(recordOf(m_processes[seen], MemberState::Dead)); });
            later(length + randomBetween(2s, 4s), [this, observer, seen] { m_processes[observer].peers->put(m_members[seen]); });
        }
    }
}

bool ClaimsFleet::areConnected(size_t first, size_t second) const
{
    return m_isolated.contains(first) == m_isolated.contains(second);
}

void ClaimsFleet::applyEffects(Process& process, Turn& turn)
{
    for (const auto& decision : process.claims->takeDecisions())
        decided(process, turn, decision);
    for (const auto& effect : turn.takeEffects()) {
        if (const auto* message = std::get_if<SendMessage>(&effect))
            deliver(process, *message);
        if (const auto* call = std::get_if<CallPlatform>(&effect))
            callPlatform(process, *call);
    }
    for (const auto& rumor : turn.takeRumors())
        spread(process, rumor);
}

void ClaimsFleet::deliver(const Process& from, const SendMessage& sent)
{
    auto to = indexOf(sent.peer);
    bool isLost = !areConnected(from.index, to) || m_cuts.contains({ from.index, to }) || (m_badNetworks > 0 && chance(0.2));
    if (isLost)
        return;
    Message message { from.instance, from.incarnation, recordOf(from, MemberState::Alive).control, sent.body };
    int copies = m_badNetworks > 0 && chance(0.3) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        auto delay = m_badNetworks > 0 && chance(0.3) ? randomBetween(1ms, 8s) : randomBetween(500us, 3ms);
        later(delay, [this, to, message] {
            auto receive = [message](Process& receiver, Turn& turn) {
                receiver.claims->receive(turn, message);
                const auto* gossip = std::get_if<Gossip>(&message.body);
                for (size_t index = 0; gossip && index < gossip->rumors.size(); ++index)
                    receiver.claims->apply(turn, std::get<ClaimHolder>(gossip->rumors[index]));
            };
            onProcess(to, m_processes[to].incarnation, receive);
        });
    }
}

void ClaimsFleet::callPlatform(const Process& process, const CallPlatform& call)
{
    auto reply = std::make_shared<PlatformReply>();
    auto transitTime = m_platformSlow > 0 ? randomBetween(1ms, 5s) : randomBetween(500us, 3ms);
    bool isLost = m_platformRepliesLost > 0 && chance(0.5);
    bool isCutOff = m_isolated.contains(process.index);
    later(transitTime, [this, reply, call, isCutOff] {
        if (m_platformDown == 0 && !isCutOff)
            *reply = m_platform.perform(m_now, call.operation);
    });
    auto replyAt = transitTime + (m_platformSlow > 0 ? randomBetween(1ms, 2s) : randomBetween(500us, 3ms));
    bool isAnswered = replyAt < platformTimeout && !isLost;
    onProcessLater(process, isAnswered ? replyAt : platformTimeout, [reply, isAnswered, tag = call.tag](Process& caller, Turn& turn) {
        PlatformReply seen = isAnswered ? *reply : PlatformReply();
        seen.tag = tag;
        caller.claims->handleReply(turn, seen);
    });
}

void ClaimsFleet::spread(const Process& from, const SpreadRumor& rumor)
{
    for (const auto& process : m_processes) {
        auto delay = randomBetween(1ms, rumor.urgency != Urgency::Piggyback ? 200ms : 2s);
        if (process.index != from.index)
            later(delay, [this, index = process.index, from = from.index, rumor] { receiveRumor(index, from, rumor); });
    }
}

// A paused or isolated process misses rumors. Anti-entropy delivers them some time after the pause ends and the path is
// restored.
void ClaimsFleet::receiveRumor(size_t index, size_t from, const SpreadRumor& rumor)
{
    auto& process = m_processes[index];
    if (m_now < process.pausedUntil || !areConnected(index, from))
        return at(std::max(m_now, process.pausedUntil) + randomBetween(1s, 5s), [this, index, from, rumor] { receiveRumor(index, from, rumor); });
    onProcess(index, process.incarnation, [rumor](Process& receiver, Turn& turn) { receiver.claims->apply(turn, std::get<ClaimHolder>(rumor.rumor)); });
}

size_t ClaimsFleet::newKey()
{
    // All keys fall into two partitions, so that faults hit partitions with traffic.
    auto drawKey = [this] { return IdempotencyKey("key-" + std::to_string(m_random())); };
    auto key = drawKey();
    while (partitionOf(service, account, key).partition > 1)
        key = drawKey();
    m_keys.push_back({ key });
    return m_keys.size() - 1;
}

void ClaimsFleet::addKey(Instant from, size_t sends)
{
    auto key = newKey();
    for (size_t count = 0; count < sends; ++count) {
        at(from + randomBetween(0s, 7s), [this, key] {
            auto firstReportedAt = m_keys[key].firstReportedAt;
            if (!firstReportedAt || m_now <= *firstReportedAt + profile().idempotency.resendWindow)
                send(key, m_random() % processCount);
        });
    }
}

size_t ClaimsFleet::send(size_t key, size_t sidecar)
{
    auto attempt = m_attempts.size();
    m_attempts.push_back({ key, sidecar, m_now });
    m_keys[key].attempts.push_back(attempt);
    if (!m_processes[sidecar].isUp) {
        reportToCaller(attempt, CallerResult::NotRun);
        return attempt;
    }
    auto transitTime = randomBetween(500us, 3ms);
    later(transitTime, [this, attempt, transitTime] { arrive(attempt, callerDeadline - transitTime); });
    later(callerDeadline, [this, attempt] { reportToCaller(attempt, CallerResult::Unknown); });
    return attempt;
}

void ClaimsFleet::arrive(size_t attempt, Duration remaining)
{
    auto sidecar = m_attempts[attempt].sidecar;
    onProcess(sidecar, m_processes[sidecar].incarnation, [this, attempt, remaining](Process& process, Turn& turn) {
        if (process.isLeaving)
            return reportToCaller(attempt, CallerResult::NotRun);
        SidecarCallId call(++process.lastCall);
        process.calls[call] = attempt;
        RequestInfo request;
        request.id = RequestId("request-" + std::to_string(attempt));
        request.service = service;
        request.account = account;
        request.key = m_keys[m_attempts[attempt].key].key;
        request.remaining = remaining;
        request.fingerprint = { 1, 1 };
        process.claims->request(turn, call, request, profile());
    });
}

void ClaimsFleet::decided(Process& process, Turn& turn, const ClaimDecision& decision)
{
    auto attempt = process.calls.at(decision.call);
    if (decision.verdict == ClaimVerdict::Granted) {
        // The request waits for a free slot at the backend server.
        onProcessLater(process, randomBetween(0ms, 100ms), [this, decision](Process& sidecar, Turn& later) { startRun(sidecar, later, decision.call, decision.validUntil); });
        return;
    }
    process.calls.erase(decision.call);
    process.claims->finished(turn, decision.call, Outcome::NotRun);
    if (decision.verdict == ClaimVerdict::NotHolder || decision.verdict == ClaimVerdict::Settling)
        return reportToCaller(attempt, CallerResult::NotRun);
    if (decision.verdict == ClaimVerdict::Finished)
        return replay(attempt, decision.outcomeKeeper);
    reportToCaller(attempt, CallerResult::Unknown);
}

void ClaimsFleet::startRun(Process& process, Turn& turn, SidecarCallId call, Instant validUntil)
{
    auto attempt = process.calls.at(call);
    bool isRefused = chance(m_refusalShare);
    if (turn.now() >= validUntil || isRefused) {
        process.calls.erase(call);
        process.claims->finished(turn, call, Outcome::NotRun);
        return reportToCaller(attempt, CallerResult::NotRun);
    }
    // The process may be paused between this check and the write to the backend server.
    onProcessLater(process, randomBetween(0us, 300us), [this, call](Process& sidecar, Turn&) { runAtBackend(sidecar, call); });
}

void ClaimsFleet::runAtBackend(Process& process, SidecarCallId call)
{
    auto& attempt = m_attempts[process.calls.at(call)];
    ++attempt.runs;
    ++m_keys[attempt.key].runs;
    auto outcome = chance(0.1) ? Outcome::Unknown : Outcome::Answered;
    if (outcome == Outcome::Answered)
        ++m_keys[attempt.key].answers;
    onProcessLater(process, randomBetween(1ms, 30ms), [this, call, outcome](Process& sidecar, Turn& turn) { endRun(sidecar, turn, call, outcome); });
}

void ClaimsFleet::endRun(Process& process, Turn& turn, SidecarCallId call, Outcome outcome)
{
    auto attempt = process.calls.at(call);
    process.calls.erase(call);
    process.claims->finished(turn, call, outcome);
    reportToCaller(attempt, outcome == Outcome::Answered ? CallerResult::Answered : CallerResult::Unknown);
}

void ClaimsFleet::replay(size_t attempt, const InstanceId& keeper)
{
    auto& process = m_processes[indexOf(keeper)];
    RequestInfo request;
    request.service = service;
    request.account = account;
    request.key = m_keys[m_attempts[attempt].key].key;
    request.fingerprint = { 1, 1 };
    bool isKept = process.isUp && process.claims->findKeptAnswer(request);
    reportToCaller(attempt, isKept ? CallerResult::Replayed : CallerResult::Unknown);
}

void ClaimsFleet::reportToCaller(size_t number, CallerResult result)
{
    auto& attempt = m_attempts[number];
    if (attempt.result != CallerResult::Pending)
        return;
    attempt.result = result;
    auto& key = m_keys[attempt.key];
    if (result != CallerResult::NotRun && !key.firstReportedAt)
        key.firstReportedAt = m_now;
}

}
