#include <LibDecision/Quotas/QuotaHolder.h>

#include <algorithm>

namespace Decision {

namespace {

    // Interval at which holds that are due are tried, retried or released.
    constexpr Duration checkInterval = 250ms;
    // Interval between attempts of a process that is asked for tokens. A vacant partition is held again within 2 s, and
    // a lease ends up to 1.5 s after its holder.
    constexpr Duration wantedInterval = 150ms;
    // Interval between reads of a process that is asked while another one holds the partition.
    constexpr Duration heldInterval = 500ms;
    // Interval between reads of the first candidate while another process holds the partition. Each process that is asked
    // tries a vacant one by itself, so this one only balances the load, and each read of the store is paid for.
    constexpr Duration candidateInterval = 30s;
    // A holder that was read in the store is named to those that ask for this time. A holder that answers nobody is read
    // again sooner.
    constexpr Duration holderValidity = 3s;
    // A partition without a holder is acquired without another read if the lease is granted within this time.
    constexpr Duration vacancyValidity = 500ms;
    // A call without a reply is abandoned after this time, which is longer than the driver waits for the store. A late
    // acquisition is noticed by the next read.
    constexpr Duration callTimeout = 3s;
    // A process that was asked tries to hold the partition for this time.
    constexpr Duration wantedTime = 1s;
    // A holder hands over to the first candidate only after this time. Each handover leaves the partition without a holder
    // for about a second, and an uneven spread of partitions matters only over minutes.
    constexpr Duration shortestHold = 60s;
    // Time that a leaving process allows the store to receive the end of its lease.
    constexpr Duration revocationTime = 200ms;
    constexpr Duration exceededLogInterval = 1s;
    // Upper bound of the tenants whose last log line is remembered.
    constexpr size_t maximumLoggedTenants = 1000;

    std::string milliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    }

    std::string nameOfPartition(uint32_t partition) { return "partition " + std::to_string(partition); }

}

QuotaHolder::QuotaHolder(const ProcessIncarnation& self, const QuotaDirectory& directory, const QuotaTerms& terms)
    : m_self(self)
    , m_directory(directory)
    , m_terms(terms)
{
}

void QuotaHolder::explain(Turn& turn, DecisionKind kind, std::string evidence) const
{
    turn.recordDecision({ .kind = kind, .step = "quota", .peer = "local", .evidence = std::move(evidence) });
}

void QuotaHolder::setCandidacies(Turn& turn, std::vector<uint32_t> partitions)
{
    for (auto& [partition, hold] : m_holds)
        hold.isCandidate = false;
    for (auto partition : partitions) {
        auto& hold = m_holds[partition];
        hold.isCandidate = true;
        tryHold(turn, partition, hold);
    }
}

void QuotaHolder::stop(Turn& turn)
{
    if (m_stopAt)
        return;
    if (!m_lease) {
        m_holds.clear();
        m_nextCheck.reset();
        return;
    }
    m_stopAt = turn.now() + m_terms.grantMargin();
    m_nextCheck = turn.now() + checkInterval;
}

void QuotaHolder::leave(Turn& turn)
{
    m_isLeaving = true;
    stop(turn);
}

void QuotaHolder::finishStop(Turn& turn)
{
    m_stopAt.reset();
    m_holds.clear();
    m_nextCheck.reset();
    m_idleAt = turn.now() + revocationTime;
    // The lease is gone already if the store came back from a copy meanwhile.
    if (m_lease)
        m_lease->revoke(turn);
    m_lease.reset();
}

void QuotaHolder::suspended(Instant now) { m_suspendedUntil = now; }

bool QuotaHolder::isProven(Instant now) const
{
    bool isEraSettled = m_eraSince && now >= *m_eraSince + quotaLeaseTime;
    return m_lease && isEraSettled && m_lease->provenAt() > m_suspendedUntil && m_lease->remaining(now) > m_terms.grantMargin();
}

// A key becomes free a margin after the last grant at the earliest. After a return of the store from a copy, an earlier
// holder may go on until its proof ends.
Instant QuotaHolder::lastEarlierGrant(Instant now) const
{
    auto proofTime = quotaLeaseTime - quotaLeaseTime / 10;
    return std::max(now, m_eraSince.value_or(now) + proofTime) - m_terms.grantMargin();
}

bool QuotaHolder::canGrant(Instant now, uint32_t partition) const
{
    auto entry = m_holds.find(partition);
    return entry != m_holds.end() && entry->second.state == HoldState::Held && !entry->second.releaseAt && isActive() && isProven(now);
}

size_t QuotaHolder::heldCount() const
{
    return static_cast<size_t>(std::ranges::count_if(m_holds, [](const auto& entry) { return entry.second.state == HoldState::Held; }));
}

InstanceId QuotaHolder::knownHolder(uint32_t partition) const
{
    auto entry = m_holds.find(partition);
    return entry == m_holds.end() ? InstanceId() : entry->second.knownHolder;
}

const QuotaBuckets* QuotaHolder::buckets(uint32_t partition) const
{
    auto entry = m_holds.find(partition);
    return entry == m_holds.end() || !entry->second.buckets ? nullptr : &*entry->second.buckets;
}

QuotaReply QuotaHolder::answer(Turn& turn, const IncomingQuotaRequest& incoming)
{
    const auto& request = incoming.request;
    ++m_counters.questions;
    QuotaReply reply { .sequence = request.sequence, .requesterStart = request.requesterStart, .partition = request.partition, .requester = request.requester };
    if (request.partition >= quotaPartitionCount || !isActive())
        return reply;
    if (!canGrant(turn.now(), request.partition)) {
        if (m_directory.isEmpty())
            return reply;
        auto& hold = m_holds[request.partition];
        bool mustRead = !knowsOtherHolder(turn.now(), hold) || request.unanswering == hold.knownHolder;
        if (mustRead) {
            hold.wantedUntil = turn.now() + wantedTime;
            hold.nextAttempt = std::min(hold.nextAttempt, hold.lastAttempt + wantedInterval);
            tryHold(turn, request.partition, hold);
        }
        reply.holder = hold.knownHolder;
        return reply;
    }
    auto& hold = m_holds.at(request.partition);
    if (request.wantsHandover && incoming.isFirstCandidate && turn.now() >= hold.heldSince + shortestHold) {
        hold.releaseAt = turn.now() + m_terms.grantMargin();
        hold.knownHolder = incoming.process.instance;
        reply.holder = hold.knownHolder;
        return reply;
    }
    reply.isHolder = true;
    for (const auto& need : request.needs) {
        if (auto granted = grant(turn, hold, incoming, need))
            reply.grants.push_back(std::move(*granted));
    }
    return reply;
}

std::optional<QuotaGrant> QuotaHolder::grant(Turn& turn, Hold& hold, const IncomingQuotaRequest& incoming, const QuotaNeed& need)
{
    const auto* tenant = m_directory.find(need.tenant);
    if (!tenant) {
        // The sender's table may be newer than the one here, which then arrives soon.
        if (m_directory.version() < incoming.routesVersion)
            return std::nullopt;
        return QuotaGrant { .tenant = need.tenant, .isUnlimited = true };
    }
    auto grant = hold.buckets->take(turn.now(), *tenant, need);
    m_counters.tokensGranted += grant.tokens;
    m_counters.tokensGrantedAhead += grant.tokensAhead;
    m_counters.tokensRefused += need.tokens - grant.tokens;
    if (grant.tokens < need.tokens)
        recordExceeded(turn, hold, *tenant, grant);
    return grant;
}

void QuotaHolder::recordExceeded(Turn& turn, const Hold& hold, const Tenant& tenant, const QuotaGrant& grant)
{
    if (m_exceededAt.size() > maximumLoggedTenants)
        m_exceededAt.clear();
    auto [entry, isNew] = m_exceededAt.try_emplace(tenant.name, turn.now());
    if (!isNew && turn.now() < entry->second + exceededLogInterval)
        return;
    entry->second = turn.now();
    explain(turn, DecisionKind::QuotaExceeded, "tenant " + tenant.name.value() + ": " + std::to_string(hold.buckets->tokens(tenant.name)) + " tokens left at " + std::to_string(tenant.requestsPerSecond) + " a second; the next is due in " + milliseconds(grant.nextToken) + ", told to return in " + milliseconds(grant.retryAfter));
}

bool QuotaHolder::isWanted(Instant now, const Hold& hold) const
{
    return isActive() && (hold.isCandidate || now < hold.wantedUntil || (hold.mayBeBound && m_lease && hold.lease == m_lease->lease()));
}

bool QuotaHolder::knowsOtherHolder(Instant now, const Hold& hold) const
{
    return hold.state == HoldState::Vacant && !hold.knownHolder.isEmpty() && hold.knownHolder != m_self.instance && now < hold.readAt + holderValidity;
}

void QuotaHolder::tryHold(Turn& turn, uint32_t partition, Hold& hold)
{
    if (!m_nextCheck)
        m_nextCheck = turn.now() + checkInterval;
    if (hold.state != HoldState::Vacant || turn.now() < hold.nextAttempt || !isWanted(turn.now(), hold))
        return;
    if (m_lease && m_lease->isValid(turn.now()) && m_lease->lease() == hold.releasedLease)
        return;
    hold.lastAttempt = turn.now();
    if (hold.wasVacant && turn.now() < hold.readAt + vacancyValidity && m_lease && m_lease->isValid(turn.now()))
        return acquire(turn, partition, hold);
    hold.state = HoldState::Reading;
    hold.pendingSince = turn.now();
    hold.pending = turn.callPlatform(ReadPrefix { quotaKey(partition) });
}

void QuotaHolder::acquire(Turn& turn, uint32_t partition, Hold& hold)
{
    hold.state = HoldState::Acquiring;
    hold.wasVacant = false;
    hold.lease = m_lease->lease();
    hold.mayBeBound = true;
    hold.pendingSince = turn.now();
    hold.pending = turn.callPlatform(AcquireKey { quotaKey(partition), m_self.instance.value(), hold.lease });
}

bool QuotaHolder::hasLease(Turn& turn)
{
    if (!m_lease)
        m_lease.emplace(m_self.instance, quotaLeaseTime, "quotas");
    m_lease->ensure(turn);
    return m_lease->isValid(turn.now());
}

void QuotaHolder::handleRead(Turn& turn, uint32_t partition, Hold& hold, const PlatformReply& reply)
{
    hold.state = HoldState::Vacant;
    hold.nextAttempt = turn.now() + wantedInterval;
    if (reply.status != PlatformStatus::Done)
        return;
    auto key = std::ranges::find(reply.values, quotaKey(partition), &KeyValue::key);
    bool isOwn = m_lease && key != reply.values.end() && key->lease == m_lease->lease();
    bool isHeldByAnother = key != reply.values.end() && !key->lease.isEmpty() && !isOwn;
    hold.readAt = turn.now();
    hold.wasVacant = !isHeldByAnother;
    if (!isHeldByAnother && hasLease(turn))
        acquire(turn, partition, hold);
    if (!isHeldByAnother)
        return;
    hold.mayBeBound = false;
    hold.knownHolder = InstanceId(key->value);
    // Who asked is told the holder. If that one doesn't answer, this process is asked again.
    hold.wantedUntil = turn.now();
    hold.lastAttempt = turn.now() + heldInterval - wantedInterval;
    hold.nextAttempt = turn.now() + candidateInterval;
    if (hold.isCandidate && hold.knownHolder != m_self.instance)
        m_handoverWishes.emplace_back(partition, hold.knownHolder);
}

void QuotaHolder::handleAcquired(Turn& turn, uint32_t partition, Hold& hold, const PlatformReply& reply)
{
    hold.state = HoldState::Vacant;
    hold.nextAttempt = turn.now() + wantedInterval;
    hold.mayBeBound = reply.status != PlatformStatus::Refused;
    if (reply.status != PlatformStatus::Done || !m_lease || hold.lease != m_lease->lease())
        return;
    hold.state = HoldState::Held;
    hold.heldSince = turn.now();
    hold.knownHolder = m_self.instance;
    hold.buckets.emplace(lastEarlierGrant(turn.now()), m_terms);
    ++m_counters.acquisitions;
    explain(turn, DecisionKind::QuotaAcquired, nameOfPartition(partition) + ": the buckets begin a burst below nothing; the lease is proven for " + milliseconds(m_lease->remaining(turn.now())));
}

void QuotaHolder::sendRelease(Turn& turn, uint32_t partition, Hold& hold)
{
    hold.state = HoldState::Releasing;
    hold.releaseAt.reset();
    hold.buckets.reset();
    hold.releasedLease = hold.lease;
    hold.pendingSince = turn.now();
    hold.pending = turn.callPlatform(ReleaseKey { quotaKey(partition), m_self.instance.value(), hold.lease });
    explain(turn, DecisionKind::QuotaLost, nameOfPartition(partition) + ": handed over to " + hold.knownHolder.value());
}

void QuotaHolder::handleReleased(Turn& turn, Hold& hold, const PlatformReply& reply)
{
    if (reply.status == PlatformStatus::NoAnswer) {
        hold.hasUnansweredRelease = true;
        return;
    }
    hold.state = HoldState::Vacant;
    hold.mayBeBound = false;
    hold.nextAttempt = turn.now() + candidateInterval;
    if (!hold.hasUnansweredRelease)
        hold.releasedLease = {};
}

void QuotaHolder::noteReply(Turn& turn, const PlatformReply& reply)
{
    if (reply.status == PlatformStatus::NoAnswer || (m_eraSince && reply.era <= m_era))
        return;
    bool isRestored = std::exchange(m_eraSince, turn.now()).has_value();
    m_era = reply.era;
    if (!isRestored)
        return;
    // The store lost the lease, or what was done under it since the copy.
    loseHolds(turn, "the store came back from a copy");
    m_lease.reset();
}

bool QuotaHolder::handleReply(Turn& turn, const PlatformReply& reply)
{
    HolderLease::Change change;
    if (m_lease && m_lease->handleReply(turn, reply, change)) {
        leaseChanged(turn, change);
        return true;
    }
    auto entry = std::ranges::find_if(m_holds, [&](const auto& item) { return item.second.pending == reply.tag; });
    if (entry == m_holds.end())
        return false;
    auto& [partition, hold] = *entry;
    hold.pending = {};
    if (hold.state == HoldState::Reading)
        handleRead(turn, partition, hold, reply);
    else if (hold.state == HoldState::Acquiring)
        handleAcquired(turn, partition, hold, reply);
    else if (hold.state == HoldState::Releasing)
        handleReleased(turn, hold, reply);
    return true;
}

void QuotaHolder::leaseChanged(Turn& turn, HolderLease::Change change)
{
    if (change == HolderLease::Change::Lost)
        loseHolds(turn, "the lease ended");
    if (change != HolderLease::Change::Granted)
        return;
    for (auto& [partition, hold] : m_holds) {
        if (turn.now() < hold.wantedUntil || hold.knownHolder.isEmpty())
            hold.nextAttempt = turn.now();
        tryHold(turn, partition, hold);
    }
}

void QuotaHolder::loseHolds(Turn& turn, const std::string& reason)
{
    for (auto& [partition, hold] : m_holds) {
        if (hold.state == HoldState::Held)
            explain(turn, DecisionKind::QuotaLost, nameOfPartition(partition) + ": " + reason);
        hold.state = HoldState::Vacant;
        hold.pending = {};
        hold.buckets.reset();
        hold.releaseAt.reset();
        hold.mayBeBound = false;
        hold.nextAttempt = turn.now() + wantedInterval;
        if (hold.knownHolder == m_self.instance)
            hold.knownHolder = {};
    }
}

std::optional<Instant> QuotaHolder::nextTimer() const
{
    auto next = earliest(earliest(m_nextCheck, m_stopAt), m_idleAt);
    return m_lease ? earliest(next, m_lease->nextTimer()) : next;
}

void QuotaHolder::handleTimer(Turn& turn)
{
    if (m_stopAt && *m_stopAt <= turn.now())
        return finishStop(turn);
    if (m_idleAt && *m_idleAt <= turn.now())
        m_idleAt.reset();
    if (m_lease)
        m_lease->handleTimer(turn);
    if (!m_nextCheck || turn.now() < *m_nextCheck)
        return;
    m_nextCheck = turn.now() + checkInterval;
    for (auto& [partition, hold] : m_holds) {
        bool isOverdue = hold.pending != PlatformTag() && turn.now() >= hold.pendingSince + callTimeout;
        if (isOverdue) {
            hold.pending = {};
            hold.hasUnansweredRelease = hold.state == HoldState::Releasing;
            hold.state = hold.state == HoldState::Releasing ? HoldState::Releasing : HoldState::Vacant;
        }
        bool mustRelease = hold.state == HoldState::Held && hold.releaseAt && *hold.releaseAt <= turn.now();
        if (mustRelease || (hold.state == HoldState::Releasing && hold.pending == PlatformTag()))
            sendRelease(turn, partition, hold);
        tryHold(turn, partition, hold);
    }
}

}
