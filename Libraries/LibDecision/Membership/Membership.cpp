#include <LibDecision/Membership/Membership.h>

#include <LibDecision/Membership/RecordSize.h>

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    constexpr Duration probeInterval = std::chrono::seconds(1);
    constexpr size_t indirectProbes = 3;
    constexpr uint32_t maximumLocalHealthMultiplier = 3;
    // If a timer fires at least this late, the process is assumed to have been paused.
    constexpr Duration pauseThreshold = std::chrono::seconds(1);

    constexpr size_t maximumProbeRumorBytes = 4 * 1024;
    constexpr size_t maximumGossipRumorBytes = 16 * 1024;
    constexpr size_t gossipFanout = 3;
    // In a fleet of up to this many members, the origin of a rumor broadcasts it to every member. That takes one
    // message per member, whereas an epidemic takes one per transmission. Members that miss the broadcast get the rumor
    // with a probe.
    constexpr size_t maximumBroadcastFleetSize = 128;
    constexpr Duration gossipInterval = std::chrono::milliseconds(60);
    // A rumor that was never sent waits at most this long after the last gossip message, so that the rumors of a burst
    // share messages.
    constexpr Duration gossipSpacing = std::chrono::milliseconds(20);
    constexpr double gossipBytesPerSecond = 16.0 * 1024;
    constexpr double maximumGossipAllowance = 256.0 * 1024;
    // For this long after its own record changed, or another process sent an outdated one, a process adds it to its pings
    // and acks.
    constexpr Duration ownRecordAnnouncementPeriod = std::chrono::seconds(30);

    constexpr size_t seedsPerJoin = 3;
    constexpr size_t maximumSeeds = 128;
    constexpr Duration firstJoinBackoff = std::chrono::milliseconds(250);
    constexpr Duration maximumJoinBackoff = std::chrono::seconds(15);
    constexpr Duration reconnectInterval = std::chrono::seconds(10);

    // A process that started less than this long ago syncs more often, because it may have missed rumors that were
    // disseminated before other members knew it.
    constexpr Duration recentStartPeriod = std::chrono::seconds(30);
    constexpr Duration startupSyncInterval = std::chrono::seconds(4);
    constexpr Duration convergedSyncInterval = std::chrono::seconds(60);
    constexpr Duration divergedSyncInterval = std::chrono::seconds(20);
    // Limit on the bytes of its own records that a process sends in one sync, except in its first. Further differing
    // buckets wait for the next sync.
    constexpr size_t maximumSessionBytes = 48 * 1024;
    constexpr uint32_t maximumDigestTries = 4;
    constexpr Duration syncAnswerTimeout = std::chrono::seconds(2);
    // A bucket that changed less than this long ago is left out of a sync: its rumors are still being disseminated.
    constexpr Duration settlingTime = std::chrono::seconds(15);
    constexpr size_t maximumSyncBytes = 50 * 1024;
    constexpr size_t bucketsPerSync = 16;

    // Scales a duration by a random factor within plus or minus 20 %.
    Duration jittered(Duration duration, std::mt19937_64& random)
    {
        std::uniform_real_distribution<double> factors(0.8, 1.2);
        return std::chrono::duration_cast<Duration>(duration * factors(random));
    }

    const std::vector<Rumor>& rumorsOf(const MessageBody& body)
    {
        static const std::vector<Rumor> none;
        return std::visit([](const auto& message) -> const std::vector<Rumor>& {
            if constexpr (requires { message.rumors; }) {
                return message.rumors;
            } else if constexpr (requires { message.records; }) {
                return message.records;
            } else {
                return none;
            }
        },
            body);
    }

    std::string describe(const MemberRecord& record)
    {
        return "incarnation " + std::to_string(record.incarnation.value()) + " in zone " + record.zone.value() + " at " + record.control.toString();
    }

}

Membership::Membership(MembershipOptions options)
    : m_members(options.self)
{
    addSeeds(options.seeds);
}

void Membership::start(Turn& turn)
{
    m_startedAt = turn.now();
    m_announcedAt = turn.now();
    m_gossipAllowanceUpdatedAt = turn.now();
    m_gossipAllowance = maximumGossipAllowance;
    turn.spread(self(), Urgency::Immediate);
    m_timers.set(Timer::Probe, turn.now() + jittered(probeInterval, turn.random()));
    m_timers.set(Timer::Sync, turn.now() + jittered(startupSyncInterval, turn.random()));
    m_timers.set(Timer::Reconnect, turn.now() + jittered(reconnectInterval, turn.random()));
    m_joinBackoff = firstJoinBackoff;
    join(turn);
}

std::optional<Instant> Membership::nextTimer() const
{
    auto next = earliest(m_timers.next(), m_probes.nextTimer());
    next = earliest(next, m_paths.nextProbe());
    return earliest(next, m_members.nextTimer());
}

void Membership::handleTimer(Turn& turn)
{
    detectPause(turn);
    for (auto timer : m_timers.takeDue(turn.now()))
        handle(turn, timer);
    handleDueProbes(turn);
    for (const auto& peer : m_paths.takeDueProbes(turn.now()))
        startProbe(turn, peer);
    handleExpiredSuspicions(turn);
    m_members.removeExpiredDead(turn.now());
    m_records.expire(turn.now());
}

void Membership::detectPause(Turn& turn)
{
    auto due = nextTimer();
    if (!due || turn.now() - *due < pauseThreshold)
        return;
    // Acks and refutations that arrived during the pause are not processed yet, so neither overdue probes nor overdue
    // suspicions may count as failures.
    m_probes.abandonAll();
    m_members.extendSuspicions(turn.now());
}

void Membership::handle(Turn& turn, Timer timer)
{
    switch (timer) {
    case Timer::Probe:
        m_timers.set(Timer::Probe, turn.now() + jittered(probeInterval, turn.random()));
        return probeNext(turn);
    case Timer::Gossip:
        return gossip(turn);
    case Timer::Join:
        return join(turn);
    case Timer::Sync:
        return beginSync(turn);
    case Timer::SyncRetry:
        return retrySync(turn);
    case Timer::Reconnect:
        m_timers.set(Timer::Reconnect, turn.now() + jittered(reconnectInterval, turn.random()));
        return reconnect(turn);
    }
}

std::vector<Rumor> Membership::receive(Turn& turn, const Message& message)
{
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += estimatedSize(message.body);
    m_members.recordContact(turn.now(), message.from);
    auto newRumors = takeNewRumors(turn, message);
    std::visit([&](const auto& body) {
        if constexpr (requires { handle(turn, message, body); })
            handle(turn, message, body);
    },
        message.body);
    return newRumors;
}

std::vector<Rumor> Membership::takeNewRumors(Turn& turn, const Message& message)
{
    m_fetchedRecords.clear();
    m_receivedRecords.clear();
    auto isFetched = m_isCatchingUp && std::holds_alternative<SyncRecords>(message.body);
    std::vector<Rumor> newRumors;
    for (const auto& rumor : rumorsOf(message.body)) {
        auto hash = contentHash(rumor);
        if (isKnown(rumor, hash))
            continue;
        m_receivedRecords.insert(hash);
        if (isFetched)
            m_fetchedRecords.insert(hash);
        if (const auto* member = std::get_if<MemberRecord>(&rumor)) {
            apply(turn, *member);
        } else {
            newRumors.push_back(rumor);
        }
    }
    return newRumors;
}

bool Membership::isKnown(const Rumor& rumor, uint64_t hash)
{
    auto key = keyOf(rumor);
    if (m_dissemination.noteDuplicate(key, hash) || m_records.holds(key, hash))
        return true;
    return isTombstone(rumor) && !m_records.contains(key);
}

void Membership::spread(Turn& turn, const std::vector<SpreadRumor>& rumors)
{
    for (const auto& [rumor, urgency] : rumors) {
        auto hash = contentHash(rumor);
        if (isReconciled(rumor))
            m_records.put(turn.now(), rumor, hash);
        if (m_fetchedRecords.contains(hash))
            continue;
        bool isBroadcast = usesBroadcast() && urgency == Urgency::Immediate;
        m_dissemination.add(rumor, isBroadcast && (m_receivedRecords.contains(hash) || queueForBroadcast(rumor)) ? Urgency::Piggyback : urgency);
    }
    m_fetchedRecords.clear();
    m_receivedRecords.clear();
    if (m_dissemination.hasUnsentUrgent() || !m_broadcastRumors.empty())
        scheduleGossip(turn);
}

bool Membership::queueForBroadcast(const Rumor& rumor)
{
    auto bytes = estimatedSize(rumor);
    if (m_broadcastBytes + bytes > maximumGossipRumorBytes)
        return false;
    m_broadcastRumors.push_back(rumor);
    m_broadcastBytes += bytes;
    return true;
}

// Probing.

void Membership::probeNext(Turn& turn)
{
    if (auto target = m_schedule.next(m_members.peers(), turn.random()))
        startProbe(turn, *target);
}

void Membership::startProbe(Turn& turn, const InstanceId& target)
{
    if (!m_probes.isProbing(target) && m_members.find(target))
        sendPing(turn, target, m_probes.begin(turn.now(), target, 1 + m_localHealthMultiplier));
}

void Membership::sendPing(Turn& turn, const InstanceId& target, uint64_t sequence)
{
    send(turn, target, Ping { sequence, rumorsFor(turn, target) });
}

std::vector<Rumor> Membership::rumorsFor(Turn& turn, const InstanceId& receiver)
{
    auto rumors = m_dissemination.takeForProbe(m_members.peers().size() + 1, maximumProbeRumorBytes);
    const auto* member = m_members.find(receiver);
    if (member && (member->record.state == MemberState::Suspect || member->record.state == MemberState::Dead))
        rumors.emplace_back(member->record);
    if (turn.now() - m_announcedAt < ownRecordAnnouncementPeriod)
        rumors.emplace_back(self());
    return rumors;
}

void Membership::handleDueProbes(Turn& turn)
{
    for (const auto& probe : m_probes.takeDue(turn.now())) {
        if (probe.step == ProbeStep::SendIndirectPings) {
            sendIndirectPings(turn, probe);
        } else {
            concludeProbe(turn, probe);
        }
    }
}

void Membership::sendIndirectPings(Turn& turn, const DueProbe& probe)
{
    const auto* target = m_members.find(probe.target);
    if (!target || target->record.state == MemberState::Dead)
        return;
    // The direct ping is repeated, since a single message may be lost.
    sendPing(turn, probe.target, probe.sequence);
    auto helpers = m_members.peers().draw(indirectProbes + 1, turn.random());
    std::erase_if(helpers, [&](const InstanceId& helper) { return helper == probe.target || !isReachable(helper); });
    if (helpers.size() > indirectProbes)
        helpers.resize(indirectProbes);
    for (const auto& helper : helpers)
        send(turn, helper, IndirectPing { probe.sequence, probe.target, target->record.control });
}

void Membership::concludeProbe(Turn& turn, const DueProbe& probe)
{
    const auto* target = m_members.find(probe.target);
    if (!target || target->record.state == MemberState::Dead)
        return;
    auto isAnsweredIndirectly = probe.step == ProbeStep::AnsweredIndirectly;
    pathFailed(turn, probe.target, !isAnsweredIndirectly);
    if (isAnsweredIndirectly)
        return;
    m_localHealthMultiplier = std::min(m_localHealthMultiplier + 1, maximumLocalHealthMultiplier);
    if (target->record.state == MemberState::Leaving) {
        m_members.startSuspicion(turn.now(), probe.target);
    } else if (auto suspect = m_members.recordAfter(probe.target, MemberEvent::SuspectHeard)) {
        apply(turn, *suspect);
    }
}

void Membership::pathFailed(Turn& turn, const InstanceId& peer, bool isUnanswered)
{
    auto isLost = isUnanswered ? m_paths.allProbesFailed(turn.now(), peer) : m_paths.directProbeFailed(turn.now(), peer);
    if (!isLost)
        return;
    auto evidence = isUnanswered ? "neither direct nor indirect probes were answered" : "only indirect probes were answered, twice in a row";
    turn.recordDecision({ .kind = DecisionKind::PathLost, .step = "probe", .peer = peer.value(), .evidence = evidence });
}

void Membership::probeAnswered(Turn& turn, const InstanceId& peer)
{
    m_localHealthMultiplier -= std::min(m_localHealthMultiplier, 1u);
    if (m_paths.probeAnswered(peer))
        turn.recordDecision({ .kind = DecisionKind::PathRestored, .step = "probe", .peer = peer.value(), .evidence = "a direct probe was answered" });
}

void Membership::handleExpiredSuspicions(Turn& turn)
{
    for (const auto& instance : m_members.takeExpiredSuspicions(turn.now())) {
        const auto* member = m_members.find(instance);
        if (!member)
            continue;
        // Only contact within the timeout that just expired prolongs the suspicion. Counting all contact since the member
        // became suspect kept a killed process suspect forever if one message from it had arrived before.
        auto hadContact = member->lastContactAt > member->suspicionBeganAt;
        if (hadContact && member->record.state == MemberState::Suspect) {
            m_members.startSuspicion(turn.now(), instance);
            startProbe(turn, instance);
            continue;
        }
        auto event = member->record.state == MemberState::Leaving ? MemberEvent::Left : MemberEvent::SuspicionExpired;
        if (auto dead = m_members.recordAfter(instance, event))
            apply(turn, *dead);
    }
}

void Membership::handle(Turn& turn, const Message& message, const Ping& ping)
{
    send(turn, message.from, message.fromControl, Ack { ping.sequence, rumorsFor(turn, message.from) });
}

void Membership::handle(Turn& turn, const Message& message, const Ack& ack)
{
    auto answered = m_probes.takeAnswer(turn.now(), ack.sequence, message.from);
    if (!answered)
        return;
    if (const auto* member = find(message.from))
        m_distances.record(member->zone, answered->roundTrip);
    probeAnswered(turn, message.from);
    if (answered->relay)
        send(turn, answered->relay->requester, answered->relay->requesterControl, IndirectAck { answered->relay->sequence, message.from });
}

void Membership::handle(Turn& turn, const Message& message, const IndirectPing& ping)
{
    if (ping.target == self().instance)
        return;
    auto sequence = m_probes.beginRelay(turn.now(), ping.target, { message.from, message.fromControl, ping.sequence });
    if (sequence)
        send(turn, ping.target, ping.targetControl, Ping { *sequence, rumorsFor(turn, ping.target) });
}

void Membership::handle(Turn&, const Message&, const IndirectAck& ack)
{
    m_probes.noteIndirectAnswer(ack.sequence, ack.target);
}

void Membership::handle(Turn&, const Message&, const Gossip&)
{
}

void Membership::sendFailed(Turn& turn, const Endpoint& endpoint)
{
    const auto* member = m_members.findByControl(endpoint);
    if (!member || member->record.instance == self().instance)
        return;
    if (m_probes.isProbing(member->record.instance)) {
        m_probes.expireDirectPing(turn.now(), member->record.instance);
    } else {
        probeNow(turn, member->record.instance);
    }
}

void Membership::probeNow(Turn& turn, const InstanceId& instance)
{
    const auto* member = m_members.find(instance);
    if (!member || member->record.state == MemberState::Dead || instance == self().instance)
        return;
    if (!m_paths.isLost(instance))
        startProbe(turn, instance);
}

// Member records.

bool Membership::apply(Turn& turn, const MemberRecord& record)
{
    if (record.instance == self().instance) {
        handleOwnRecord(turn, record);
        return false;
    }
    auto wasPeer = m_members.peers().contains(record.instance);
    auto change = m_members.merge(turn.now(), record);
    if (!change.wasApplied)
        return false;
    if (record.state == MemberState::Dead) {
        m_paths.forget(record.instance);
    } else if (!wasPeer) {
        m_schedule.add(record.instance, turn.random());
    }
    explainChange(turn, record, change.before);
    // Suspicions and refutations decide whether a process is declared dead, so they must get through even if paths are
    // cut.
    bool isRefutation = record.state == MemberState::Alive && (change.before == MemberState::Suspect || change.before == MemberState::Alive);
    bool isContested = record.state == MemberState::Suspect || isRefutation;
    turn.spread(record, isContested ? Urgency::Epidemic : Urgency::Immediate);
    return true;
}

void Membership::handleOwnRecord(Turn& turn, const MemberRecord& received)
{
    const auto& own = self();
    if (received.incarnation < own.incarnation) {
        // The sender missed the refutation or the restart. Unless it is told again, it takes this process for dead even
        // though the two exchange messages.
        if (received.state != MemberState::Alive)
            m_announcedAt = turn.now();
        return;
    }
    if (received == own)
        return;
    auto isOlderState = received.incarnation == own.incarnation && received.state == MemberState::Alive && own.state == MemberState::Leaving;
    if (isOlderState)
        return;
    auto refuted = own;
    refuted.incarnation = received.incarnation.next();
    m_members.merge(turn.now(), refuted);
    m_announcedAt = turn.now();
    turn.spread(refuted, Urgency::Epidemic);
    auto evidence = "received its own record as " + std::string(nameOf(received.state)) + " in incarnation " + std::to_string(received.incarnation.value());
    turn.recordDecision({ .kind = DecisionKind::MemberRefuted, .step = "refute", .peer = own.instance.value(), .evidence = evidence });
}

void Membership::explainChange(Turn& turn, const MemberRecord& record, std::optional<MemberState> before)
{
    auto kind = DecisionKind::MemberJoined;
    switch (record.state) {
    case MemberState::Alive:
        if (before == MemberState::Alive)
            return;
        if (before == MemberState::Suspect)
            kind = DecisionKind::MemberRefuted;
        break;
    case MemberState::Suspect:
        kind = DecisionKind::MemberSuspected;
        break;
    case MemberState::Leaving:
        kind = DecisionKind::Leaving;
        break;
    case MemberState::Dead:
        kind = before == MemberState::Leaving ? DecisionKind::MemberLeft : DecisionKind::MemberDead;
        break;
    }
    auto evidence = std::string(nameOf(record.state)) + " after " + (before ? std::string(nameOf(*before)) : "unknown") + ", " + describe(record);
    turn.recordDecision({ .kind = kind, .step = "membership", .peer = record.instance.value(), .evidence = evidence });
}

void Membership::leave(Turn& turn)
{
    auto record = self();
    record.state = MemberState::Leaving;
    m_members.merge(turn.now(), record);
    m_announcedAt = turn.now();
    turn.spread(record, Urgency::Immediate);
}

const MemberRecord* Membership::find(const InstanceId& instance) const
{
    const auto* member = m_members.find(instance);
    return member ? &member->record : nullptr;
}

bool Membership::isReachable(const InstanceId& instance) const
{
    const auto* member = m_members.find(instance);
    return member && member->record.state != MemberState::Dead && !m_paths.isLost(instance);
}

// Urgent rumors.

void Membership::scheduleGossip(Turn& turn)
{
    auto earliestGossip = m_lastGossip + gossipSpacing;
    if (turn.now() >= earliestGossip)
        return gossip(turn);
    m_timers.set(Timer::Gossip, earliestGossip);
}

void Membership::gossip(Turn& turn)
{
    auto refill = gossipBytesPerSecond * std::chrono::duration<double>(turn.now() - m_gossipAllowanceUpdatedAt).count();
    m_gossipAllowance = std::min(m_gossipAllowance + refill, maximumGossipAllowance);
    m_gossipAllowanceUpdatedAt = turn.now();
    m_timers.set(Timer::Gossip, turn.now() + gossipInterval);
    auto targets = drawGossipTargets(turn);
    if (targets.empty())
        return;

    auto members = m_members.peers().size() + 1;
    if (m_gossipAllowance > 0 && !m_broadcastRumors.empty()) {
        sendGossip(turn, reachablePeers(), std::exchange(m_broadcastRumors, {}));
        m_broadcastBytes = 0;
    }
    auto rumors = m_gossipAllowance > 0
        ? m_dissemination.takeUrgent(members, targets.size(), maximumGossipRumorBytes)
        : m_dissemination.takeUrgentProfiles(members, targets.size(), maximumGossipRumorBytes);
    sendGossip(turn, targets, rumors);

    if (!m_dissemination.hasUrgent() && m_broadcastRumors.empty()) {
        m_timers.cancel(Timer::Gossip);
    } else if (m_dissemination.hasUnsentUrgent()) {
        m_timers.set(Timer::Gossip, turn.now() + gossipSpacing);
    }
}

bool Membership::usesBroadcast() const
{
    return m_members.peers().size() < maximumBroadcastFleetSize;
}

std::vector<InstanceId> Membership::reachablePeers() const
{
    auto peers = m_members.peers().all();
    std::erase_if(peers, [&](const InstanceId& peer) { return m_paths.isLost(peer); });
    return peers;
}

void Membership::sendGossip(Turn& turn, const std::vector<InstanceId>& targets, const std::vector<Rumor>& rumors)
{
    if (rumors.empty())
        return;
    m_lastGossip = turn.now();
    auto bytesBefore = m_counters.bytesSent;
    for (const auto& target : targets)
        send(turn, target, Gossip { rumors });
    m_gossipAllowance -= static_cast<double>(m_counters.bytesSent - bytesBefore);
}

std::vector<InstanceId> Membership::drawGossipTargets(Turn& turn)
{
    // One target in this process's zone keeps some of the traffic local; the others are drawn from the whole fleet, so
    // that rumors reach other zones and regions with the first hop.
    auto targets = m_members.zonePeers().draw(1, turn.random());
    for (auto& peer : m_members.peers().draw(gossipFanout, turn.random())) {
        if (targets.size() < gossipFanout && std::ranges::find(targets, peer) == targets.end())
            targets.push_back(std::move(peer));
    }
    std::erase_if(targets, [&](const InstanceId& target) { return m_paths.isLost(target); });
    return targets;
}

// Joining.

void Membership::addSeeds(const std::vector<Endpoint>& seeds)
{
    for (const auto& seed : seeds) {
        auto isKnown = std::ranges::find(m_seeds, seed) != m_seeds.end();
        if (!isKnown && seed != self().control && m_seeds.size() < maximumSeeds)
            m_seeds.push_back(seed);
    }
}

void Membership::addSeeds(Turn& turn, const std::vector<Endpoint>& seeds)
{
    addSeeds(seeds);
    if (m_members.peers().isEmpty())
        return;
    // A seed that is unknown to a process with peers belongs to another fleet, or has just started.
    for (const auto& seed : seeds) {
        if (seed != self().control && !m_members.findByControl(seed))
            send(turn, {}, seed, Join { self() });
    }
}

void Membership::join(Turn& turn)
{
    if (!m_members.peers().isEmpty())
        return;
    m_timers.set(Timer::Join, turn.now() + jittered(m_joinBackoff, turn.random()));
    if (m_seeds.empty())
        return;
    m_joinBackoff = std::min(m_joinBackoff * 2, maximumJoinBackoff);
    std::vector<Endpoint> chosen;
    std::ranges::sample(m_seeds, std::back_inserter(chosen), seedsPerJoin, turn.random());
    for (const auto& seed : chosen)
        send(turn, {}, seed, Join { self() });
}

void Membership::handle(Turn& turn, const Message& message, const Join& join)
{
    if (join.member.instance == self().instance || join.member.instance != message.from)
        return;
    apply(turn, join.member);
    const auto* known = m_members.find(join.member.instance);
    if (known && known->record != join.member)
        send(turn, message.from, message.fromControl, Gossip { { known->record } });
    send(turn, message.from, message.fromControl, SyncDigest { m_records.digest(), false });
}

void Membership::reconnect(Turn& turn)
{
    // After a network partition, the two sides consider each other's members dead. Probing dead members and joining
    // through seeds lets them find each other again.
    for (const auto& peer : m_members.dead().draw(1, turn.random()))
        startProbe(turn, peer);
    // A process that lost all its peers joins as at its start. The dead members that it knows may be gone for good.
    if (m_members.peers().isEmpty() && !m_timers.contains(Timer::Join)) {
        m_joinBackoff = firstJoinBackoff;
        return join(turn);
    }
    if (auto seed = drawUnknownSeed(turn))
        send(turn, {}, *seed, Join { self() });
}

std::optional<Endpoint> Membership::drawUnknownSeed(Turn& turn) const
{
    std::vector<Endpoint> unknown;
    std::ranges::copy_if(m_seeds, std::back_inserter(unknown), [&](const Endpoint& seed) {
        const auto* member = m_members.findByControl(seed);
        return !member || member->record.state == MemberState::Dead;
    });
    if (unknown.empty() || m_members.peers().isEmpty())
        return std::nullopt;
    std::uniform_int_distribution<size_t> positions(0, unknown.size() - 1);
    return unknown[positions(turn.random())];
}

// Anti-entropy.

void Membership::beginSync(Turn& turn)
{
    m_timers.set(Timer::Sync, turn.now() + jittered(isRecentlyStarted(turn) ? startupSyncInterval : convergedSyncInterval, turn.random()));
    if (m_sync.isActive())
        return;
    m_digestTries = 0;
    sendDigest(turn);
}

void Membership::sendDigest(Turn& turn)
{
    auto peer = drawSyncPeer(turn);
    if (!peer || ++m_digestTries > maximumDigestTries)
        return;
    m_awaitsDigest = true;
    m_timers.set(Timer::SyncRetry, turn.now() + syncAnswerTimeout);
    send(turn, peer->instance, peer->control, SyncDigest { m_records.digest(), true });
}

std::optional<SyncPeer> Membership::drawSyncPeer(Turn& turn) const
{
    constexpr size_t candidates = 3;
    for (const auto& peer : m_members.peers().draw(candidates, turn.random())) {
        if (isReachable(peer))
            return SyncPeer { peer, m_members.find(peer)->record.control };
    }
    return std::nullopt;
}

void Membership::handle(Turn& turn, const Message& message, const SyncDigest& digest)
{
    if (digest.wantsAnswer) {
        // An empty digest means that nothing differs. A process that is catching up doesn't answer, because it lacks
        // records itself.
        if (!m_isCatchingUp)
            send(turn, message.from, message.fromControl, SyncDigest { m_records.matches(digest.bucketHashes) ? std::vector<uint64_t> {} : m_records.digest(), false });
        return;
    }
    if (m_sync.isActive())
        return;
    m_awaitsDigest = false;
    m_timers.cancel(Timer::SyncRetry);
    auto settledSince = isRecentlyStarted(turn) ? std::nullopt : std::optional(turn.now() - settlingTime);
    auto buckets = m_records.differingBuckets(digest.bucketHashes, settledSince);
    m_syncFoundDifference = !buckets.empty();
    if (!m_isCatchingUp)
        limitSessionSize(turn, buckets);
    m_sync.begin({ message.from, message.fromControl }, buckets);
    continueSync(turn);
}

bool Membership::isRecentlyStarted(const Turn& turn) const
{
    return m_isCatchingUp || turn.now() - m_startedAt < recentStartPeriod;
}

void Membership::limitSessionSize(Turn& turn, std::vector<uint32_t>& buckets) const
{
    auto firstBackend = std::ranges::lower_bound(buckets, AntiEntropy::firstBackendBucket);
    std::shuffle(firstBackend, buckets.end(), turn.random());
    size_t bytes = 0;
    auto end = std::ranges::find_if(buckets, [&](uint32_t bucket) {
        bytes += m_records.bytesOf(bucket);
        return bytes > maximumSessionBytes;
    });
    // Keeps at least one bucket, so that every sync makes progress.
    if (end == buckets.begin() && end != buckets.end())
        ++end;
    buckets.erase(end, buckets.end());
}

void Membership::continueSync(Turn& turn)
{
    if (!m_sync.hasBuckets())
        return finishSync(turn);
    std::vector<Rumor> records;
    size_t bytes = 0;
    while (m_sync.hasBuckets() && m_sync.batch().size() < bucketsPerSync && bytes < maximumSyncBytes) {
        auto bucket = m_sync.takeBucket();
        bytes += m_records.bytesOf(bucket);
        m_records.appendRecords(bucket, records);
    }
    m_timers.set(Timer::SyncRetry, turn.now() + syncAnswerTimeout);
    sendRecords(turn, m_sync.peer(), m_sync.batch(), records, true);
}

void Membership::sendRecords(Turn& turn, const SyncPeer& peer, std::vector<uint32_t> buckets, const std::vector<Rumor>& records, bool wantsAnswer)
{
    // Only the last part lists the buckets, which marks the end of the batch.
    SyncRecords part;
    size_t bytes = 0;
    for (const auto& record : records) {
        auto size = estimatedSize(record);
        if (!part.records.empty() && bytes + size > maximumSyncBytes) {
            send(turn, peer.instance, peer.control, std::exchange(part, {}));
            bytes = 0;
        }
        part.records.push_back(record);
        bytes += size;
    }
    part.buckets = std::move(buckets);
    part.wantsAnswer = wantsAnswer;
    send(turn, peer.instance, peer.control, std::move(part));
}

void Membership::handle(Turn& turn, const Message& message, const SyncRecords& records)
{
    if (!records.wantsAnswer) {
        if (!records.buckets.empty() && m_sync.finishBatch(records.buckets)) {
            m_timers.cancel(Timer::SyncRetry);
            continueSync(turn);
        }
        return;
    }
    if (records.buckets.size() > bucketsPerSync || std::ranges::any_of(records.buckets, [](uint32_t bucket) { return bucket >= AntiEntropy::bucketCount; }))
        return;
    std::vector<Rumor> own;
    for (auto bucket : records.buckets)
        m_records.appendRecords(bucket, own);
    std::unordered_set<uint64_t> known;
    std::ranges::transform(records.records, std::inserter(known, known.end()), contentHash);
    std::erase_if(own, [&](const Rumor& record) { return known.contains(contentHash(record)); });
    sendRecords(turn, { message.from, message.fromControl }, records.buckets, own, false);
}

void Membership::retrySync(Turn& turn)
{
    if (m_awaitsDigest)
        return sendDigest(turn);
    auto peer = drawSyncPeer(turn);
    if (peer && m_sync.retryWith(*peer))
        return continueSync(turn);
    m_sync.abandon();
}

void Membership::finishSync(Turn& turn)
{
    m_isCatchingUp = false;
    if (!isRecentlyStarted(turn))
        m_timers.set(Timer::Sync, turn.now() + jittered(m_syncFoundDifference ? divergedSyncInterval : convergedSyncInterval, turn.random()));
}

void Membership::send(Turn& turn, const InstanceId& peer, const Endpoint& to, MessageBody body)
{
    ++m_counters.messagesSent;
    m_counters.bytesSent += estimatedSize(body);
    turn.emit(SendMessage { to, peer, std::move(body) });
}

void Membership::send(Turn& turn, const InstanceId& peer, MessageBody body)
{
    send(turn, peer, m_members.find(peer)->record.control, std::move(body));
}

}
