#include <LibDecision/Membership/Membership.h>

#include <LibDecision/Membership/RecordSize.h>

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    constexpr Duration probeInterval = std::chrono::seconds(1);
    constexpr size_t indirectProbes = 3;
    constexpr uint32_t maximumOwnDoubt = 3;
    // A timer that fires later than this means that the process was paused.
    constexpr Duration pauseThreshold = std::chrono::seconds(1);

    constexpr size_t maximumProbeRumorBytes = 4 * 1024;
    constexpr size_t maximumGossipRumorBytes = 16 * 1024;
    constexpr size_t gossipFanout = 3;
    // In a fleet of up to so many members, who has news tells every member itself. That takes one message a member, where
    // an epidemic takes one for each of its sends. Those that missed it hear of it from probes.
    constexpr size_t largestDirectFleet = 128;
    constexpr Duration gossipInterval = std::chrono::milliseconds(60);
    // News that was never sent waits at most this long after the last message, so that bursts share messages.
    constexpr Duration gossipSpacing = std::chrono::milliseconds(20);
    constexpr double gossipBytesPerSecond = 16.0 * 1024;
    constexpr double maximumGossipAllowance = 256.0 * 1024;
    // A process whose record is new adds it to its pings for this long.
    constexpr Duration ownRecordAnnouncement = std::chrono::seconds(30);

    constexpr size_t seedsPerJoin = 3;
    constexpr size_t maximumSeeds = 128;
    constexpr Duration firstJoinBackoff = std::chrono::milliseconds(250);
    constexpr Duration maximumJoinBackoff = std::chrono::seconds(15);
    constexpr Duration reconnectInterval = std::chrono::seconds(10);

    // A process that started lately may have missed what spread while nobody knew it.
    constexpr Duration youth = std::chrono::seconds(30);
    constexpr Duration youngSyncInterval = std::chrono::seconds(4);
    constexpr Duration quietSyncInterval = std::chrono::seconds(60);
    constexpr Duration busySyncInterval = std::chrono::seconds(20);
    // Own records that one sync sends, unless it is the process's first. Whatever else differs waits for the next sync.
    constexpr size_t maximumSessionBytes = 48 * 1024;
    constexpr uint32_t maximumDigestTries = 4;
    constexpr Duration syncAnswerTimeout = std::chrono::seconds(2);
    // A bucket that changed within this time is left out of a sync: its rumors are still on their way.
    constexpr Duration settlingTime = std::chrono::seconds(15);
    constexpr size_t maximumSyncBytes = 50 * 1024;
    constexpr size_t bucketsPerSync = 16;

    // Spreads timers over plus or minus a fifth.
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
    m_gossipAllowanceAt = turn.now();
    m_gossipAllowance = maximumGossipAllowance;
    turn.spread(self(), Urgency::Immediate);
    m_timers.set(Timer::Probe, turn.now() + jittered(probeInterval, turn.random()));
    m_timers.set(Timer::Sync, turn.now() + jittered(youngSyncInterval, turn.random()));
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
    notePause(turn);
    for (auto timer : m_timers.takeDue(turn.now()))
        handle(turn, timer);
    handleDueProbes(turn);
    for (const auto& peer : m_paths.takeDueProbes(turn.now()))
        startProbe(turn, peer);
    handleExpiredSuspicions(turn);
    m_members.forgetOldDead(turn.now());
    m_records.expire(turn.now());
}

void Membership::notePause(Turn& turn)
{
    auto due = nextTimer();
    if (!due || turn.now() - *due < pauseThreshold)
        return;
    // Answers and refutations came while nobody listened, so nothing that is late may be judged.
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
    m_members.noteHeard(turn.now(), message.from);
    auto news = takeNews(turn, message);
    std::visit([&](const auto& body) {
        if constexpr (requires { handle(turn, message, body); })
            handle(turn, message, body);
    },
        message.body);
    return news;
}

std::vector<Rumor> Membership::takeNews(Turn& turn, const Message& message)
{
    m_fetchedRecords.clear();
    m_heardRecords.clear();
    auto isFetched = m_isCatchingUp && std::holds_alternative<SyncRecords>(message.body);
    std::vector<Rumor> news;
    for (const auto& rumor : rumorsOf(message.body)) {
        auto hash = contentHash(rumor);
        if (isKnown(rumor, hash))
            continue;
        m_heardRecords.insert(hash);
        if (isFetched)
            m_fetchedRecords.insert(hash);
        if (const auto* member = std::get_if<MemberRecord>(&rumor)) {
            apply(turn, *member);
        } else {
            news.push_back(rumor);
        }
    }
    return news;
}

bool Membership::isKnown(const Rumor& rumor, uint64_t hash)
{
    auto key = keyOf(rumor);
    if (m_dissemination.noteDuplicate(key, hash) || m_records.holds(key, hash))
        return true;
    return isFinal(rumor) && !m_records.contains(key);
}

void Membership::spread(Turn& turn, const std::vector<SpreadRumor>& rumors)
{
    for (const auto& [rumor, urgency] : rumors) {
        auto hash = contentHash(rumor);
        if (isReconciled(rumor))
            m_records.put(turn.now(), rumor, hash);
        if (m_fetchedRecords.contains(hash))
            continue;
        bool isToldToAll = isDirect() && urgency == Urgency::Immediate;
        m_dissemination.add(rumor, isToldToAll && (m_heardRecords.contains(hash) || tellAll(rumor)) ? Urgency::Piggyback : urgency);
    }
    m_fetchedRecords.clear();
    m_heardRecords.clear();
    if (m_dissemination.hasUnsentUrgent() || !m_newsForAll.empty())
        gossipSoon(turn);
}

bool Membership::tellAll(const Rumor& rumor)
{
    auto bytes = estimatedSize(rumor);
    if (m_newsForAllBytes + bytes > maximumGossipRumorBytes)
        return false;
    m_newsForAll.push_back(rumor);
    m_newsForAllBytes += bytes;
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
        sendPing(turn, target, m_probes.begin(turn.now(), target, 1 + m_ownDoubt));
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
    if (turn.now() - m_announcedAt < ownRecordAnnouncement)
        rumors.emplace_back(self());
    return rumors;
}

void Membership::handleDueProbes(Turn& turn)
{
    for (const auto& probe : m_probes.takeDue(turn.now())) {
        if (probe.step == ProbeStep::AskOthers) {
            askOthers(turn, probe);
        } else {
            judge(turn, probe);
        }
    }
}

void Membership::askOthers(Turn& turn, const DueProbe& probe)
{
    const auto* target = m_members.find(probe.target);
    if (!target || target->record.state == MemberState::Dead)
        return;
    // One message may be lost by chance.
    sendPing(turn, probe.target, probe.sequence);
    auto helpers = m_members.peers().draw(indirectProbes + 1, turn.random());
    std::erase_if(helpers, [&](const InstanceId& helper) { return helper == probe.target || !isReachable(helper); });
    if (helpers.size() > indirectProbes)
        helpers.resize(indirectProbes);
    for (const auto& helper : helpers)
        send(turn, helper, IndirectPing { probe.sequence, probe.target, target->record.control });
}

void Membership::judge(Turn& turn, const DueProbe& probe)
{
    const auto* target = m_members.find(probe.target);
    if (!target || target->record.state == MemberState::Dead)
        return;
    auto isReached = probe.step == ProbeStep::AnsweredIndirectly;
    pathFailed(turn, probe.target, !isReached);
    if (isReached)
        return;
    m_ownDoubt = std::min(m_ownDoubt + 1, maximumOwnDoubt);
    if (target->record.state == MemberState::Leaving) {
        m_members.startSuspicion(turn.now(), probe.target);
    } else if (auto suspect = m_members.recordAfter(probe.target, MemberEvent::SuspectHeard)) {
        apply(turn, *suspect);
    }
}

void Membership::pathFailed(Turn& turn, const InstanceId& peer, bool nobodyReachesIt)
{
    auto isLost = nobodyReachesIt ? m_paths.everybodyFailed(turn.now(), peer) : m_paths.probeFailed(turn.now(), peer);
    if (!isLost)
        return;
    auto evidence = nobodyReachesIt ? "neither this process nor those that it asked got an answer" : "only other processes got an answer, twice in a row";
    turn.explain({ .kind = DecisionKind::PathLost, .step = "probe", .peer = peer.value(), .evidence = evidence });
}

void Membership::probeAnswered(Turn& turn, const InstanceId& peer)
{
    m_ownDoubt -= std::min(m_ownDoubt, 1u);
    if (m_paths.probeAnswered(peer))
        turn.explain({ .kind = DecisionKind::PathRestored, .step = "probe", .peer = peer.value(), .evidence = "a direct probe was answered" });
}

void Membership::handleExpiredSuspicions(Turn& turn)
{
    for (const auto& instance : m_members.takeExpiredSuspicions(turn.now())) {
        const auto* member = m_members.find(instance);
        if (!member)
            continue;
        auto isHeard = member->heardAt > member->changedAt;
        if (isHeard && member->record.state == MemberState::Suspect) {
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
    auto answered = m_probes.takeAnswer(ack.sequence, message.from);
    if (!answered)
        return;
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
        m_probes.hasten(turn.now(), member->record.instance);
    } else {
        doubtPath(turn, member->record.instance);
    }
}

void Membership::doubtPath(Turn& turn, const InstanceId& instance)
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
        considerOwnRecord(turn, record);
        return false;
    }
    auto wasPeer = m_members.peers().contains(record.instance);
    auto change = m_members.merge(turn.now(), record);
    if (!change.isNews)
        return false;
    if (record.state == MemberState::Dead) {
        m_paths.forget(record.instance);
    } else if (!wasPeer) {
        m_schedule.add(record.instance, turn.random());
    }
    explainChange(turn, record, change.before);
    // Accusations and refutations decide whether a process counts as dead, whatever paths are cut.
    bool isRefutation = record.state == MemberState::Alive && (change.before == MemberState::Suspect || change.before == MemberState::Alive);
    bool isContested = record.state == MemberState::Suspect || isRefutation;
    turn.spread(record, isContested ? Urgency::Epidemic : Urgency::Immediate);
    return true;
}

void Membership::considerOwnRecord(Turn& turn, const MemberRecord& heard)
{
    const auto& own = self();
    if (heard.incarnation < own.incarnation || heard == own)
        return;
    auto isOlderState = heard.incarnation == own.incarnation && heard.state == MemberState::Alive && own.state == MemberState::Leaving;
    if (isOlderState)
        return;
    auto refuted = own;
    refuted.incarnation = heard.incarnation.next();
    m_members.merge(turn.now(), refuted);
    m_announcedAt = turn.now();
    turn.spread(refuted, Urgency::Epidemic);
    auto evidence = "heard itself called " + std::string(nameOf(heard.state)) + " in incarnation " + std::to_string(heard.incarnation.value());
    turn.explain({ .kind = DecisionKind::MemberRefuted, .step = "refute", .peer = own.instance.value(), .evidence = evidence });
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
    turn.explain({ .kind = kind, .step = "membership", .peer = record.instance.value(), .evidence = evidence });
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

void Membership::gossipSoon(Turn& turn)
{
    auto earliestGossip = m_lastGossip + gossipSpacing;
    if (turn.now() >= earliestGossip)
        return gossip(turn);
    m_timers.set(Timer::Gossip, earliestGossip);
}

void Membership::gossip(Turn& turn)
{
    auto refill = gossipBytesPerSecond * std::chrono::duration<double>(turn.now() - m_gossipAllowanceAt).count();
    m_gossipAllowance = std::min(m_gossipAllowance + refill, maximumGossipAllowance);
    m_gossipAllowanceAt = turn.now();
    m_timers.set(Timer::Gossip, turn.now() + gossipInterval);
    auto targets = drawGossipTargets(turn);
    if (targets.empty())
        return;

    auto members = m_members.peers().size() + 1;
    if (m_gossipAllowance > 0 && !m_newsForAll.empty()) {
        sendGossip(turn, reachablePeers(), std::exchange(m_newsForAll, {}));
        m_newsForAllBytes = 0;
    }
    auto rumors = m_gossipAllowance > 0
        ? m_dissemination.takeUrgent(members, targets.size(), maximumGossipRumorBytes)
        : m_dissemination.takeUrgentProfiles(members, targets.size(), maximumGossipRumorBytes);
    sendGossip(turn, targets, rumors);

    if (!m_dissemination.hasUrgent() && m_newsForAll.empty()) {
        m_timers.cancel(Timer::Gossip);
    } else if (m_dissemination.hasUnsentUrgent()) {
        m_timers.set(Timer::Gossip, turn.now() + gossipSpacing);
    }
}

bool Membership::isDirect() const
{
    return m_members.peers().size() < largestDirectFleet;
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
    // One target in the own zone keeps some of the traffic near; the others are drawn from the whole fleet, so that
    // news crosses zones and regions with its first hop.
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
    // Halves of a fleet that lost each other hold each other for dead and find each other again by this.
    for (const auto& peer : m_members.dead().draw(1, turn.random()))
        startProbe(turn, peer);
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
    m_timers.set(Timer::Sync, turn.now() + jittered(isYoung(turn) ? youngSyncInterval : quietSyncInterval, turn.random()));
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
        // An empty digest says that nothing differs. A process that knows little yet can't help others.
        if (!m_isCatchingUp)
            send(turn, message.from, message.fromControl, SyncDigest { m_records.matches(digest.bucketHashes) ? std::vector<uint64_t> {} : m_records.digest(), false });
        return;
    }
    if (m_sync.isActive())
        return;
    m_awaitsDigest = false;
    m_timers.cancel(Timer::SyncRetry);
    auto settledSince = isYoung(turn) ? std::nullopt : std::optional(turn.now() - settlingTime);
    auto buckets = m_records.differingBuckets(digest.bucketHashes, settledSince);
    m_syncFoundDifference = !buckets.empty();
    if (!m_isCatchingUp)
        boundSession(turn, buckets);
    m_sync.begin({ message.from, message.fromControl }, buckets);
    continueSync(turn);
}

bool Membership::isYoung(const Turn& turn) const
{
    return m_isCatchingUp || turn.now() - m_startedAt < youth;
}

void Membership::boundSession(Turn& turn, std::vector<uint32_t>& buckets) const
{
    auto firstBackend = std::ranges::lower_bound(buckets, AntiEntropy::firstBackendBucket);
    std::shuffle(firstBackend, buckets.end(), turn.random());
    size_t bytes = 0;
    auto end = std::ranges::find_if(buckets, [&](uint32_t bucket) {
        bytes += m_records.bytesOf(bucket);
        return bytes > maximumSessionBytes;
    });
    // At least one bucket, so that every sync makes progress.
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
    // Only the last part names the buckets; it ends the batch.
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
    if (!isYoung(turn))
        m_timers.set(Timer::Sync, turn.now() + jittered(m_syncFoundDifference ? busySyncInterval : quietSyncInterval, turn.random()));
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
