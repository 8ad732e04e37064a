#include <LibDecision/Claims/HolderLease.h>

#include <utility>

namespace Decision {

namespace {

    // The lease is renewed after its time to live divided by this.
    constexpr int renewalDivisor = 3;
    // A call without a reply is sent again after the time to live divided by this.
    constexpr int retransmissionDivisor = 6;
    // The clocks of this process and of the platform may drift apart by the time to live divided by this.
    constexpr int marginDivisor = 10;

}

HolderLease::HolderLease(const InstanceId& owner, Duration timeToLive)
    : m_owner(owner)
    , m_timeToLive(timeToLive)
{
}

void HolderLease::ensure(Turn& turn)
{
    if (m_isRevoked || !m_lease.isEmpty() || m_timer)
        return;
    m_sentAt = turn.now();
    m_pending = turn.callPlatform(GrantLease { m_timeToLive, "claims/" + m_owner.value() });
    m_timer = turn.now() + m_timeToLive / retransmissionDivisor;
}

void HolderLease::revoke(Turn& turn)
{
    m_isRevoked = true;
    m_timer.reset();
    m_validUntil = turn.now();
    if (!m_lease.isEmpty())
        turn.callPlatform(RevokeLease { std::exchange(m_lease, {}) });
}

void HolderLease::handleTimer(Turn& turn)
{
    if (!m_timer || *m_timer > turn.now())
        return;
    m_timer.reset();
    if (m_lease.isEmpty())
        return;
    m_sentAt = turn.now();
    m_pending = turn.callPlatform(RenewLease { m_lease });
    m_timer = turn.now() + m_timeToLive / retransmissionDivisor;
}

bool HolderLease::handleReply(Turn& turn, const PlatformReply& reply, Change& change)
{
    change = Change::None;
    if (m_pending == PlatformTag() || reply.tag != m_pending)
        return false;
    m_pending = {};
    if (!m_isRevoked)
        change = m_lease.isEmpty() ? handleGrant(reply) : handleRenewal(turn, reply);
    return true;
}

HolderLease::Change HolderLease::handleGrant(const PlatformReply& reply)
{
    // If the platform granted a lease but its reply is lost, that lease expires unused. The timer limits how often
    // another one is requested.
    if (reply.status != PlatformStatus::Done || reply.lease.isEmpty())
        return Change::None;
    m_lease = reply.lease;
    extend();
    return Change::Granted;
}

HolderLease::Change HolderLease::handleRenewal(Turn& turn, const PlatformReply& reply)
{
    if (reply.status == PlatformStatus::NoAnswer)
        return Change::None;
    if (reply.status == PlatformStatus::Done) {
        bool wasValid = isValid(turn.now());
        extend();
        return wasValid ? Change::None : Change::RenewedAfterExpiry;
    }
    m_lease = {};
    m_validUntil = turn.now();
    m_timer.reset();
    return Change::Lost;
}

void HolderLease::extend()
{
    m_validUntil = std::max(m_validUntil, m_sentAt + m_timeToLive - m_timeToLive / marginDivisor);
    m_timer = m_sentAt + m_timeToLive / renewalDivisor;
}

}
