#include <LibDecision/Claims/PartitionHold.h>

#include <algorithm>
#include <array>

namespace Decision {

namespace {

    using namespace std::chrono_literals;

    // Added to every settle time, to allow for clock drift.
    constexpr Duration settleMargin = 1s;
    // Delay after the first refused attempt, as a divisor of the lease's time to live, and after the first attempt
    // without a reply. Both delays double with each attempt, up to the lease's time to live.
    constexpr int refusedDelayDivisor = 6;
    constexpr Duration failureDelay = 500ms;

    const KeyValue* findKey(const PlatformReply& reply, const std::string& key)
    {
        auto value = std::ranges::find(reply.values, key, &KeyValue::key);
        return value == reply.values.end() ? nullptr : &*value;
    }

    bool namesAsHolder(const PartitionRecord& record, const ProcessIncarnation& process)
    {
        return record.holder == process.instance && record.holderIncarnation == process.incarnation;
    }

}

PartitionHold::PartitionHold(PartitionId id, const PartitionChart& chart, const ClaimChart& claimChart)
    : m_id(std::move(id))
    , m_chart(&chart)
    , m_claims(claimChart)
    , m_state(chart.initial())
{
}

bool PartitionHold::isAcquiring() const
{
    constexpr std::array acquiring { HoldState::Reading, HoldState::Acquiring, HoldState::Recording };
    return std::ranges::find(acquiring, m_state) != acquiring.end();
}

bool PartitionHold::isClosing() const
{
    constexpr std::array closing { HoldState::ClosingRead, HoldState::ClosingRecord, HoldState::Releasing };
    return std::ranges::find(closing, m_state) != closing.end();
}

void PartitionHold::tryAcquire(Turn& turn, const HoldContext& context)
{
    if (canAttempt(turn.now()))
        step(turn, context, HoldEvent::Wanted);
}

void PartitionHold::extendRetention(Turn& turn, const HoldContext& context, Duration retention)
{
    m_requestedRetention = std::max(m_requestedRetention, retention);
    step(turn, context, HoldEvent::Widened);
}

void PartitionHold::step(Turn& turn, const HoldContext& context, HoldEvent event)
{
    if (!m_chart->accepts(m_state, event))
        return;
    m_state = m_chart->next(m_state, event);
    enter(turn, context);
}

// Performs the entry action of the new state.
void PartitionHold::enter(Turn& turn, const HoldContext& context)
{
    const auto& lease = context.lease.lease();
    switch (m_state) {
    case HoldState::Reading:
    case HoldState::ClosingRead:
        m_pending = turn.callPlatform(ReadPrefix { platformPrefix(m_id) });
        break;
    case HoldState::Acquiring:
        m_mayHaveHold = true;
        m_pending = turn.callPlatform(AcquireKey { holdKey(m_id), context.self.instance.value(), lease });
        break;
    case HoldState::Recording:
        m_plan = plan(context);
        m_pending = turn.callPlatform(CompareAndSwap { recordKey(m_id), m_plan->record.format(), m_readVersion });
        break;
    case HoldState::ClosingRecord:
        m_pending = turn.callPlatform(CompareAndSwap { recordKey(m_id), closingRecord().format(), m_readVersion });
        break;
    case HoldState::Releasing:
        m_pending = turn.callPlatform(ReleaseKey { holdKey(m_id), context.self.instance.value(), lease });
        break;
    case HoldState::Held:
        startHolding(turn.now(), context);
        break;
    case HoldState::Free:
    case HoldState::Released:
        m_pending = {};
        break;
    }
}

bool PartitionHold::handleReply(Turn& turn, const PlatformReply& reply, const HoldContext& context)
{
    if (reply.tag != m_pending)
        return false;
    m_pending = {};
    auto event = replyEvent(reply, context);
    step(turn, context, event);
    if (m_state == HoldState::Free)
        scheduleRetry(turn.now(), context, event);
    // The platform may have lost writes, or another process may have acquired the partition meanwhile.
    if (m_state == HoldState::Held && context.knownEpoch >= m_record.epoch)
        supersede(turn.now());
    return !isAcquiring();
}

HoldEvent PartitionHold::replyEvent(const PlatformReply& reply, const HoldContext& context)
{
    if (reply.status == PlatformStatus::NoAnswer)
        return HoldEvent::Failed;
    if (reply.status == PlatformStatus::Refused) {
        m_mayHaveHold = m_mayHaveHold && m_state != HoldState::Acquiring;
        return HoldEvent::Refused;
    }
    if (m_state == HoldState::Reading || m_state == HoldState::ClosingRead)
        return evaluateRead(reply, context);
    return HoldEvent::Done;
}

HoldEvent PartitionHold::evaluateRead(const PlatformReply& reply, const HoldContext& context)
{
    const auto* record = findKey(reply, recordKey(m_id));
    m_readVersion = record ? record->version : PlatformVersion();
    m_readRecord = record ? PartitionRecord::parse(record->value) : std::nullopt;
    m_otherHolder.reset();

    const auto* hold = findKey(reply, holdKey(m_id));
    m_mayHaveHold = hold && !hold->lease.isEmpty() && hold->lease == context.lease.lease();
    if (!hold || hold->lease.isEmpty())
        return HoldEvent::ReadFree;
    if (!m_mayHaveHold) {
        m_otherHolder = m_readRecord;
        return HoldEvent::Refused;
    }
    // The reply to an earlier call may have been lost, so the read shows whether that call took effect.
    if (m_state == HoldState::ClosingRead)
        return m_mayHandOver && ownsReadRecord(context) ? HoldEvent::ReadOwnRecord : HoldEvent::ReadOwnHold;
    bool isPlanned = m_plan && m_readRecord == m_plan->record;
    return isPlanned ? HoldEvent::ReadOwnRecord : HoldEvent::ReadOwnHold;
}

bool PartitionHold::ownsReadRecord(const HoldContext& context) const
{
    return m_hasAllClaims && m_readRecord && namesAsHolder(*m_readRecord, context.self) && m_readRecord->epoch == m_record.epoch;
}

bool PartitionHold::wasNeverHeld(const HoldContext& context) const
{
    return m_readVersion == PlatformVersion() && context.knownEpoch == ClaimEpoch() && m_record.epoch == ClaimEpoch();
}

PartitionHold::Plan PartitionHold::plan(const HoldContext& context) const
{
    auto plan = wasNeverHeld(context) ? Plan() : successionPlan(context);
    auto readEpoch = m_readRecord ? m_readRecord->epoch : ClaimEpoch();
    auto lastEpoch = std::max({ readEpoch, context.knownEpoch, m_record.epoch });
    bool hasEarlierClaims = m_readRecord && m_readRecord->state != PartitionRecordState::Empty;
    auto retention = std::max({ context.retention, m_requestedRetention, hasEarlierClaims ? m_readRecord->retention : Duration(0) });
    plan.record = { lastEpoch.next(), context.self.instance, context.self.incarnation, PartitionRecordState::Held, {}, retention };
    return plan;
}

PartitionHold::Plan PartitionHold::successionPlan(const HoldContext& context) const
{
    Plan plan;
    bool isLatest = m_readRecord && m_readRecord->epoch >= context.knownEpoch && m_readRecord->epoch >= m_record.epoch;
    if (isLatest && ownsReadRecord(context) && m_readRecord->state == PartitionRecordState::Held) {
        plan.keepsClaims = true;
        return plan;
    }
    if (isLatest && m_readRecord->state == PartitionRecordState::Empty)
        return plan;
    if (isLatest && m_readRecord->state == PartitionRecordState::HandedOver && m_readRecord->successor == context.self.instance)
        plan.handover = m_readRecord;

    plan.settleTime = std::max(context.retention, m_readRecord ? m_readRecord->retention : Duration(0)) + settleMargin;
    // The platform lost writes: another process may consider itself the holder until its lease expires.
    if (!isLatest)
        plan.settleTime += context.lease.timeToLive();
    return plan;
}

void PartitionHold::startHolding(Instant now, const HoldContext& context)
{
    m_pending = {};
    m_retryDelay = Duration(0);
    auto plan = *m_plan;
    m_plan.reset();
    // A holder that rewrites its own record keeps its claims and its remaining settle time.
    if (!plan.keepsClaims) {
        m_claims.clear();
        m_settledAt = now + plan.settleTime;
        m_isFirstHolder = plan.record.epoch == ClaimEpoch(1);
        m_awaitedHandover = plan.handover;
    }
    m_record = plan.record;
    m_hasAllClaims = true;
    delayGrants(context.holdersKnownAt);
    adoptHandover(now, context.holdersKnownAt, context.inbox);
}

void PartitionHold::adoptHandover(Instant now, Instant holdersKnownAt, HandoverInbox& inbox)
{
    if (m_state != HoldState::Held || !m_awaitedHandover || isSettled(now) || !inbox.isComplete(m_id, *m_awaitedHandover))
        return;
    m_claims.adopt(inbox.take(m_id, now), now);
    m_awaitedHandover.reset();
    m_settledAt = now;
    delayGrants(holdersKnownAt);
}

void PartitionHold::scheduleRetry(Instant now, const HoldContext& context, HoldEvent event)
{
    auto longest = context.lease.timeToLive();
    auto shortest = event == HoldEvent::Refused ? longest / refusedDelayDivisor : std::min(failureDelay, longest);
    m_retryDelay = std::clamp(m_retryDelay * 2, shortest, longest);
    m_nextAttemptAt = now + m_retryDelay;
}

void PartitionHold::loseLease()
{
    m_state = m_chart->next(m_state, HoldEvent::LeaseLost);
    m_pending = {};
    m_plan.reset();
    m_mayHaveHold = false;
}

std::optional<Instant> PartitionHold::retryDue() const
{
    if (m_state != HoldState::Free || !m_mayHaveHold)
        return std::nullopt;
    return m_nextAttemptAt;
}

void PartitionHold::supersede(Instant now)
{
    m_nextAttemptAt = std::max(m_nextAttemptAt, now + failureDelay);
    m_state = m_chart->next(m_state, HoldEvent::Superseded);
    m_hasAllClaims = false;
    m_claims.clear();
}

void PartitionHold::handleEarlierHolder(Instant now, Duration leaseTime)
{
    if (!m_isFirstHolder)
        return;
    m_isFirstHolder = false;
    m_settledAt = std::max(m_settledAt, now + m_record.retention + leaseTime + settleMargin);
}

void PartitionHold::leave(Turn& turn, const HoldContext& context, const InstanceId& successor)
{
    m_successor = successor;
    m_mayHandOver = isSettled(turn.now());
    m_claims.removeExpired(turn.now());
    if (m_state != HoldState::Held)
        return giveUp();
    step(turn, context, HoldEvent::Leaving);
}

void PartitionHold::retryClosing(Turn& turn, const HoldContext& context)
{
    // The record must be read again before it is written, because another process may hold the partition by then.
    if (m_state == HoldState::ClosingRecord)
        return step(turn, context, HoldEvent::Failed);
    if (isClosing())
        enter(turn, context);
}

void PartitionHold::giveUp()
{
    m_state = HoldState::Released;
    m_pending = {};
}

PartitionRecord PartitionHold::closingRecord() const
{
    auto record = m_record;
    if (m_claims.size() == 0) {
        record.state = PartitionRecordState::Empty;
        return record;
    }
    if (m_successor.isEmpty())
        return record;
    record.state = PartitionRecordState::HandedOver;
    record.successor = m_successor;
    return record;
}

}
