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

    // What a call proves has ended once it is older than the time to live.
    void forgetOverdue(std::map<PlatformTag, Instant>& calls, Instant now, Duration timeToLive)
    {
        std::erase_if(calls, [&](const auto& call) { return call.second + timeToLive <= now; });
    }

}

HolderLease::HolderLease(const InstanceId& owner, Duration timeToLive, std::string purpose)
    : m_owner(owner)
    , m_timeToLive(timeToLive)
    , m_purpose(std::move(purpose))
{
}

void HolderLease::ensure(Turn& turn)
{
    if (m_isRevoked || !m_lease.isEmpty() || m_timer)
        return;
    forgetOverdue(m_grants, turn.now(), m_timeToLive);
    m_grants.emplace(turn.callPlatform(GrantLease { m_timeToLive, m_purpose + "/" + m_owner.value() }), turn.now());
    m_timer = turn.now() + m_timeToLive / retransmissionDivisor;
}

void HolderLease::revoke(Turn& turn)
{
    m_isRevoked = true;
    auto lease = m_lease;
    clear(turn.now());
    if (!lease.isEmpty())
        turn.callPlatform(RevokeLease { std::move(lease) });
}

void HolderLease::handleTimer(Turn& turn)
{
    if (!m_timer || *m_timer > turn.now())
        return;
    m_timer.reset();
    if (!m_lease.isEmpty())
        sendRenewal(turn);
}

void HolderLease::sendRenewal(Turn& turn)
{
    forgetOverdue(m_renewals, turn.now(), m_timeToLive);
    m_renewals.emplace(turn.callPlatform(RenewLease { m_lease }), turn.now());
    m_timer = turn.now() + m_timeToLive / retransmissionDivisor;
}

bool HolderLease::handleReply(Turn& turn, const PlatformReply& reply, Change& change)
{
    change = Change::None;
    if (auto renewal = m_renewals.extract(reply.tag)) {
        change = handleRenewal(turn, reply, renewal.mapped());
        return true;
    }
    auto grant = m_grants.extract(reply.tag);
    if (!grant)
        return false;
    if (!m_isRevoked)
        change = handleGrant(reply, grant.mapped());
    return true;
}

HolderLease::Change HolderLease::handleGrant(const PlatformReply& reply, Instant sentAt)
{
    // A lease that was granted after another one, or whose reply is lost, expires unused. The timer limits how often one
    // is requested.
    if (reply.status != PlatformStatus::Done || reply.lease.isEmpty() || !m_lease.isEmpty())
        return Change::None;
    m_lease = reply.lease;
    extend(sentAt);
    return Change::Granted;
}

HolderLease::Change HolderLease::handleRenewal(Turn& turn, const PlatformReply& reply, Instant sentAt)
{
    if (reply.status == PlatformStatus::NoAnswer)
        return Change::None;
    if (reply.status == PlatformStatus::Done) {
        bool wasValid = isValid(turn.now());
        extend(sentAt);
        return wasValid ? Change::None : Change::RenewedAfterExpiry;
    }
    clear(turn.now());
    return Change::Lost;
}

void HolderLease::clear(Instant now)
{
    m_lease = {};
    m_renewals.clear();
    m_validUntil = now;
    // What proved this lease proves nothing of a later one.
    m_provenAt = {};
    m_timer.reset();
}

void HolderLease::extend(Instant sentAt)
{
    m_provenAt = std::max(m_provenAt, sentAt);
    m_validUntil = m_provenAt + m_timeToLive - m_timeToLive / marginDivisor;
    m_timer = m_provenAt + m_timeToLive / renewalDivisor;
}

}
