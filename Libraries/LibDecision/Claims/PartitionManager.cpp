#include <LibDecision/Claims/PartitionManager.h>

#include <LibDecision/Claims/ClaimRequester.h>

#include <algorithm>
#include <numeric>

namespace Decision {

namespace {

    using namespace std::chrono_literals;

    // Rumors of every holder reach a process within this time after its start or after it regained or lost its lease.
    constexpr Duration holderDiscoveryTime = 10s;
    // Interval at which expired claims are removed.
    constexpr Duration sweepInterval = 5s;
    // Upper bound of the claims that one process keeps. Requests with further new keys are refused.
    constexpr size_t maximumClaims = 200'000;
    // Upper bound of the requests that wait for the hold on one partition.
    constexpr size_t maximumWaitingRequests = 256;
    // Added to the maximum deadline, to allow for the delivery of the outcome to the holder.
    constexpr Duration outcomeDelay = 5s;
    // A leaving process abandons its releases and handovers after this time.
    constexpr Duration maximumLeaveTime = 5s;
    constexpr Duration leaveRetryInterval = 500ms;

    Duration retentionOf(const Profile& profile)
    {
        return claimRetention(profile, profile.deadlines.maximumDeadline);
    }

    ClaimReply notHolderReply(const ProcessIncarnation& requester, uint64_t sequence)
    {
        return { sequence, requester.incarnation, ClaimVerdict::NotHolder };
    }

    PartitionId partitionOf(const ClaimRequest& request)
    {
        return { request.service, request.partition };
    }

    ClaimVerdict verdictOf(ClaimState state)
    {
        switch (state) {
        case ClaimState::Running:
            return ClaimVerdict::InProgress;
        case ClaimState::Finished:
            return ClaimVerdict::Finished;
        case ClaimState::Unknown:
            return ClaimVerdict::Unknown;
        case ClaimState::Freed:
            break;
        }
        return ClaimVerdict::Granted;
    }

    DecisionEvent eventFor(DecisionKind kind, const PartitionId& id, const InstanceId& peer, std::string evidence)
    {
        DecisionEvent event;
        event.kind = kind;
        event.step = "claim";
        event.peer = peer.value();
        event.service = id.service;
        event.evidence = "partition " + std::to_string(id.partition) + ": " + std::move(evidence);
        return event;
    }

    std::string milliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    }

}

PartitionManager::PartitionManager(const ProcessIncarnation& self)
    : m_self(self)
    , m_partitionChart(loadChart<HoldState, HoldEvent>(ChartFile::Partition))
    , m_claimChart(loadChart<ClaimState, ClaimEvent>(ChartFile::Claim))
{
}

void PartitionManager::start(Instant now)
{
    m_holdersKnownAt = now + holderDiscoveryTime;
}

PartitionManager::Entry& PartitionManager::entryFor(const PartitionId& id, const Profile& profile)
{
    auto [position, isNew] = m_partitions.try_emplace(id, Entry { PartitionHold(id, m_partitionChart, m_claimChart) });
    auto& entry = position->second;
    // The lease of a hold can't change while the hold exists or is being acquired.
    if (isNew || entry.hold.state() == HoldState::Free)
        entry.leaseTime = profile.idempotency.claimLease;
    entry.retention = retentionOf(profile);
    m_leases.try_emplace(entry.leaseTime, m_self.instance, entry.leaseTime);
    return entry;
}

HoldContext PartitionManager::contextOf(const PartitionId& id, const Entry& entry)
{
    return { m_self, leaseOf(entry), m_directory.epochOf(id), entry.retention, m_holdersKnownAt, m_inbox };
}

// Records which partition the pending platform call belongs to.
void PartitionManager::trackCall(const PartitionId& id, const Entry& entry)
{
    if (entry.hold.pendingTag() != PlatformTag())
        m_calls.insert_or_assign(entry.hold.pendingTag(), id);
}

std::optional<ClaimReply> PartitionManager::answer(Turn& turn, const IncomingClaimRequest& incoming, const Profile& profile, bool isOwnerGone)
{
    auto id = partitionOf(incoming.request);
    if (isLeaving() || id.partition >= partitionsPerService)
        return notHolderReply(incoming.process, incoming.request.sequence);

    auto& entry = entryFor(id, profile);
    if (!m_nextSweep)
        m_nextSweep = turn.now() + sweepInterval;
    if (!entry.hold.isHeld(turn.now(), leaseOf(entry)))
        return answerWithoutHold(turn, id, entry, incoming);
    return answerAsHolder(turn, id, entry, incoming, profile, isOwnerGone);
}

std::optional<ClaimReply> PartitionManager::answerWithoutHold(Turn& turn, const PartitionId& id, Entry& entry, const IncomingClaimRequest& incoming)
{
    tryToHold(turn, id, entry);
    bool waitsForLease = entry.hold.canAttempt(turn.now()) && leaseOf(entry).isPending();
    if ((!entry.hold.isAcquiring() && !waitsForLease) || entry.waitingRequests.size() >= maximumWaitingRequests)
        return reply(turn.now(), entry, incoming, ClaimVerdict::NotHolder);
    entry.waitingRequests.push_back(incoming);
    return std::nullopt;
}

void PartitionManager::tryToHold(Turn& turn, const PartitionId& id, Entry& entry)
{
    if (!entry.hold.canAttempt(turn.now()))
        return;
    auto& lease = leaseOf(entry);
    lease.ensure(turn);
    if (!lease.isValid(turn.now()))
        return;
    entry.isHandoverPending = false;
    entry.hold.tryAcquire(turn, contextOf(id, entry));
    trackCall(id, entry);
}

ClaimReply PartitionManager::answerAsHolder(Turn& turn, const PartitionId& id, Entry& entry, const IncomingClaimRequest& incoming, const Profile& profile, bool isOwnerGone)
{
    auto now = turn.now();
    const auto& request = incoming.request;
    auto& claims = entry.hold.claims();
    claims.removeExpired(now);
    if (!entry.hold.isSettled(now))
        return reply(now, entry, incoming, ClaimVerdict::Settling);

    const auto* claim = claims.find({ request.account, request.key });
    if (!claim)
        return grantNewClaim(turn, id, entry, incoming, profile);
    if (claim->fingerprint != request.fingerprint)
        return reply(now, entry, incoming, ClaimVerdict::Mismatch);
    if (claim->state == ClaimState::Running && isSameClaim(*claim, incoming.process, request))
        return reply(now, entry, incoming, ClaimVerdict::Granted);

    bool isOverdue = claim->state == ClaimState::Running && claim->outcomeDue <= now;
    auto verdict = isOwnerGone || isOverdue ? ClaimVerdict::Unknown : verdictOf(claim->state);
    auto answer = reply(now, entry, incoming, verdict);
    answer.outcomeKeeper = claim->owner.instance;
    return answer;
}

// Claims a free key for the requesting sidecar.
ClaimReply PartitionManager::grantNewClaim(Turn& turn, const PartitionId& id, Entry& entry, const IncomingClaimRequest& incoming, const Profile& profile)
{
    auto now = turn.now();
    const auto& request = incoming.request;
    if (request.resendWindow > entry.hold.record().retention) {
        entry.hold.extendRetention(turn, contextOf(id, entry), request.resendWindow);
        trackCall(id, entry);
        return reply(now, entry, incoming, ClaimVerdict::Settling);
    }
    if (m_claimCountUpperBound >= maximumClaims)
        return reply(now, entry, incoming, ClaimVerdict::Settling);

    auto outcomeDue = now + profile.deadlines.maximumDeadline + outcomeDelay;
    Claim claim { request.fingerprint, request.request, incoming.process, request.sequence, ClaimState::Running, outcomeDue, now + request.resendWindow };
    entry.hold.claims().insert({ request.account, request.key }, std::move(claim));
    ++m_claimCountUpperBound;
    auto event = eventFor(DecisionKind::ClaimGranted, id, incoming.process.instance, "the key is new");
    event.request = request.request;
    turn.recordDecision(std::move(event));
    return reply(now, entry, incoming, ClaimVerdict::Granted);
}

ClaimReply PartitionManager::reply(Instant now, const Entry& entry, const IncomingClaimRequest& incoming, ClaimVerdict verdict) const
{
    return { incoming.request.sequence, incoming.process.incarnation, verdict, leaseOf(entry).remaining(now), entry.hold.record().epoch, {} };
}

std::optional<ProcessIncarnation> PartitionManager::ownerOf(const ClaimRequest& request) const
{
    auto entry = m_partitions.find(partitionOf(request));
    if (entry == m_partitions.end())
        return std::nullopt;
    const auto* claim = entry->second.hold.claims().find({ request.account, request.key });
    if (!claim)
        return std::nullopt;
    return claim->owner;
}

ClaimReply PartitionManager::recordOutcome(Instant now, const ProcessIncarnation& sidecar, const ClaimOutcome& outcome)
{
    auto answer = notHolderReply(sidecar, outcome.sequence);
    auto position = m_partitions.find({ outcome.service, outcome.partition });
    // The claims of a leaving holder may already have been sent to the successor.
    if (position == m_partitions.end() || isLeaving())
        return answer;
    auto& entry = position->second;
    if (!entry.hold.isHeld(now, leaseOf(entry)) || !entry.hold.isSettled(now))
        return answer;

    auto& claims = entry.hold.claims();
    claims.recordOutcome(sidecar, outcome);
    const auto* claim = claims.find({ outcome.account, outcome.key });
    answer.epoch = entry.hold.record().epoch;
    answer.verdict = claim ? verdictOf(claim->state) : ClaimVerdict::Granted;
    return answer;
}

void PartitionManager::receive(Turn& turn, const ProcessIncarnation& from, const ClaimHandover& handover, const Profile& profile)
{
    if (isLeaving() || handover.partition >= partitionsPerService)
        return;
    m_inbox.add(from, handover, turn.now());
    if (!m_nextSweep)
        m_nextSweep = turn.now() + sweepInterval;
    PartitionId id { handover.service, handover.partition };
    auto& entry = entryFor(id, profile);
    entry.hold.adoptHandover(turn.now(), m_holdersKnownAt, m_inbox);
    if (!handover.isLastPart)
        return;
    // The leaving holder released its hold, so an earlier refusal doesn't matter any more.
    entry.hold.retryAt(turn.now());
    entry.isHandoverPending = true;
    tryToHold(turn, id, entry);
}

bool PartitionManager::apply(Turn& turn, const ClaimHolder& holder)
{
    bool isNewer = m_directory.apply(holder);
    PartitionId id { holder.service, holder.partition };
    if (holder.holder == m_self.instance && holder.holderIncarnation == m_self.incarnation)
        return isNewer;

    m_outbox.confirm(id, holder.epoch);
    auto position = m_partitions.find(id);
    if (position == m_partitions.end())
        return isNewer;
    auto& entry = position->second;
    if (holder.epoch < entry.hold.record().epoch) {
        entry.hold.handleEarlierHolder(turn.now(), entry.leaseTime);
        return isNewer;
    }
    if (entry.hold.state() == HoldState::Held)
        turn.recordDecision(eventFor(DecisionKind::ClaimReleased, id, holder.holder, "another process holds it with epoch " + std::to_string(holder.epoch.value())));
    entry.hold.supersede(turn.now());
    if (auto due = entry.hold.retryDue())
        m_retryTimers.set(id, *due);
    return isNewer;
}

bool PartitionManager::handleReply(Turn& turn, const PlatformReply& reply)
{
    if (handleLeaseReply(turn, reply))
        return true;
    auto call = m_calls.extract(reply.tag);
    if (call.empty())
        return false;

    const auto& id = call.mapped();
    auto& entry = m_partitions.at(id);
    bool hasEnded = entry.hold.handleReply(turn, reply, contextOf(id, entry));
    trackCall(id, entry);
    if (hasEnded)
        attemptEnded(turn, id, entry);
    return true;
}

bool PartitionManager::handleLeaseReply(Turn& turn, const PlatformReply& reply)
{
    for (auto& [leaseTime, lease] : m_leases) {
        auto change = HolderLease::Change::None;
        if (!lease.handleReply(turn, reply, change))
            continue;
        leaseChanged(turn, leaseTime, change);
        return true;
    }
    return false;
}

void PartitionManager::leaseChanged(Turn& turn, Duration leaseTime, HolderLease::Change change)
{
    if (change == HolderLease::Change::Lost || change == HolderLease::Change::RenewedAfterExpiry)
        m_holdersKnownAt = turn.now() + holderDiscoveryTime;
    for (auto& [id, entry] : m_partitions) {
        if (entry.leaseTime != leaseTime)
            continue;
        if (change == HolderLease::Change::RenewedAfterExpiry)
            entry.hold.delayGrants(m_holdersKnownAt);
        if (change == HolderLease::Change::Lost) {
            if (entry.hold.state() == HoldState::Held)
                turn.recordDecision(eventFor(DecisionKind::ClaimReleased, id, m_self.instance, "the lease expired"));
            entry.hold.loseLease();
        }
        bool isWanted = entry.isHandoverPending || !entry.waitingRequests.empty();
        if (change == HolderLease::Change::Granted && isWanted)
            tryToHold(turn, id, entry);
        if (!entry.hold.isAcquiring())
            releaseWaitingRequests(entry);
    }
}

void PartitionManager::attemptEnded(Turn& turn, const PartitionId& id, Entry& entry)
{
    if (entry.hold.state() == HoldState::Held)
        announce(turn, id, entry);
    if (entry.hold.state() == HoldState::Released)
        holdReleased(turn, id, entry);
    // Disseminates the holder that the platform named, because the requesting sidecars may not know it.
    if (const auto& other = entry.hold.otherHolder(); other && entry.hold.state() == HoldState::Free) {
        ClaimHolder holder { id.service, id.partition, other->holder, other->holderIncarnation, other->epoch };
        if (m_directory.apply(holder))
            turn.spread(holder, Urgency::Immediate);
    }
    if (entry.hold.isClosing())
        m_retryTimers.set(id, turn.now() + leaveRetryInterval);
    if (auto due = entry.hold.retryDue())
        m_retryTimers.set(id, *due);
    releaseWaitingRequests(entry);
}

void PartitionManager::announce(Turn& turn, const PartitionId& id, Entry& entry)
{
    ClaimHolder holder { id.service, id.partition, m_self.instance, m_self.incarnation, entry.hold.record().epoch };
    m_directory.apply(holder);
    turn.spread(holder, Urgency::Immediate);
    auto settle = milliseconds(entry.hold.settleTime(turn.now()));
    turn.recordDecision(eventFor(DecisionKind::ClaimHeld, id, m_self.instance, "epoch " + std::to_string(holder.epoch.value()) + ", settle time " + settle));
}

void PartitionManager::releaseWaitingRequests(Entry& entry)
{
    std::ranges::move(entry.waitingRequests, std::back_inserter(m_readyRequests));
    entry.waitingRequests.clear();
}

std::vector<PartitionId> PartitionManager::knownPartitions() const
{
    std::vector<PartitionId> ids;
    for (const auto& [id, entry] : m_partitions)
        ids.push_back(id);
    std::ranges::sort(ids);
    return ids;
}

std::vector<PartitionId> PartitionManager::heldPartitions() const
{
    auto ids = knownPartitions();
    std::erase_if(ids, [&](const auto& id) { return m_partitions.at(id).hold.state() != HoldState::Held; });
    return ids;
}

size_t PartitionManager::claimCount() const
{
    return std::accumulate(m_partitions.begin(), m_partitions.end(), size_t(0), [](size_t sum, const auto& partition) { return sum + partition.second.hold.claims().size(); });
}

void PartitionManager::beginLeaving(Turn& turn)
{
    m_leaveBy = turn.now() + maximumLeaveTime;
}

void PartitionManager::leavePartition(Turn& turn, const PartitionId& id, const InstanceId& successor)
{
    auto& entry = m_partitions.at(id);
    entry.hold.leave(turn, contextOf(id, entry), successor);
    trackCall(id, entry);
    releaseWaitingRequests(entry);
    if (entry.hold.isClosing())
        m_retryTimers.set(id, turn.now() + leaveRetryInterval);
}

// The hold was released: hands over the claims, if any are left.
void PartitionManager::holdReleased(Turn& turn, const PartitionId& id, Entry& entry)
{
    turn.recordDecision(eventFor(DecisionKind::ClaimReleased, id, entry.hold.successor(), std::to_string(entry.hold.claims().size()) + " claims at release"));
    auto entries = entry.hold.claims().entries(turn.now());
    m_retryTimers.cancel(id);
    if (!entries.empty() && !entry.hold.successor().isEmpty())
        m_outbox.add(turn.now(), id, entry.hold.successor(), entry.hold.record().epoch, entries);
    finishLeaving(turn);
}

// Revokes the leases once every hold is released.
void PartitionManager::finishLeaving(Turn& turn)
{
    bool isReleased = std::ranges::all_of(m_partitions, [](const auto& partition) { return partition.second.hold.state() == HoldState::Released; });
    if (!isLeaving() || !isReleased || std::exchange(m_hasLeft, true))
        return;
    for (auto& [leaseTime, lease] : m_leases)
        lease.revoke(turn);
}

bool PartitionManager::isIdle() const
{
    return m_hasLeft && m_outbox.isEmpty();
}

std::optional<Instant> PartitionManager::nextTimer() const
{
    auto next = earliest(earliest(m_nextSweep, m_retryTimers.next()), m_outbox.nextTimer());
    if (m_leaveBy && !isIdle())
        next = earliest(next, m_leaveBy);
    for (const auto& [leaseTime, lease] : m_leases)
        next = earliest(next, lease.nextTimer());
    return next;
}

void PartitionManager::handleTimer(Turn& turn)
{
    for (auto& [leaseTime, lease] : m_leases)
        lease.handleTimer(turn);
    if (m_nextSweep && *m_nextSweep <= turn.now())
        sweep(turn.now());
    if (m_leaveBy && *m_leaveBy <= turn.now() && !isIdle()) {
        for (auto& [id, entry] : m_partitions)
            entry.hold.giveUp();
        m_outbox.clear();
        finishLeaving(turn);
    }
    for (const auto& id : m_retryTimers.takeDue(turn.now()))
        retry(turn, id);
}

void PartitionManager::retry(Turn& turn, const PartitionId& id)
{
    auto& entry = m_partitions.at(id);
    if (entry.hold.isClosing()) {
        entry.hold.retryClosing(turn, contextOf(id, entry));
        trackCall(id, entry);
        m_retryTimers.set(id, turn.now() + leaveRetryInterval);
    }
    if (entry.hold.retryDue())
        tryToHold(turn, id, entry);
    // The attempt isn't made while the lease isn't valid; the lease may be renewed later.
    if (auto due = entry.hold.retryDue())
        m_retryTimers.set(id, std::max(*due, turn.now() + leaveRetryInterval));
}

void PartitionManager::sweep(Instant now)
{
    for (auto& [id, entry] : m_partitions)
        entry.hold.claims().removeExpired(now);
    m_inbox.removeExpired(now);
    m_claimCountUpperBound = claimCount();
    m_nextSweep = now + sweepInterval;
}

}
