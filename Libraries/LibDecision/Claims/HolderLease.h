#pragma once

#include <LibDecision/Turn.h>

#include <map>
#include <optional>
#include <string>

namespace Decision {

// This process's lease at the platform, under which it holds partitions. The lease is treated as valid only while the
// platform can't have ended it: its time to live counts from the sending of the call that granted or renewed it, minus
// a margin for clock drift.
class HolderLease {
public:
    enum class Change {
        None,
        // A new lease was granted.
        Granted,
        // The lease had expired for this process, but the platform still had it and renewed it.
        RenewedAfterExpiry,
        // The platform doesn't have the lease any more: every hold under it ended.
        Lost,
    };

    // The platform shows the purpose to operators.
    HolderLease(const InstanceId& owner, Duration timeToLive, std::string purpose = "claims");

    // Requests a lease if there is none.
    void ensure(Turn&);
    // Ends the lease, and with it every hold.
    void revoke(Turn&);

    std::optional<Instant> nextTimer() const { return m_timer; }
    void handleTimer(Turn&);
    // Returns true if the reply belongs to this lease. The last argument receives the change that the reply caused.
    bool handleReply(Turn&, const PlatformReply&, Change&);

    // Returns true while a call to the platform awaits its reply.
    bool isPending() const { return !m_grants.empty() || !m_renewals.empty(); }
    // Empty if there is no lease.
    const PlatformLease& lease() const { return m_lease; }
    bool isValid(Instant now) const { return !m_lease.isEmpty() && now < m_validUntil; }
    // Returns the remaining validity, zero if the lease isn't valid.
    Duration remaining(Instant now) const { return isValid(now) ? m_validUntil - now : Duration(0); }
    Duration timeToLive() const { return m_timeToLive; }
    // When the latest call that the platform confirmed was sent.
    Instant provenAt() const { return m_provenAt; }

private:
    Change handleGrant(const PlatformReply&, Instant sentAt);
    Change handleRenewal(Turn&, const PlatformReply&, Instant sentAt);
    void sendRenewal(Turn&);
    void extend(Instant sentAt);
    void clear(Instant now);

    InstanceId m_owner;
    Duration m_timeToLive;
    PlatformLease m_lease;
    Instant m_validUntil;
    // The calls that await their replies, with the instants at which they were sent. A slow platform may answer after the
    // next one was sent.
    std::map<PlatformTag, Instant> m_grants;
    std::map<PlatformTag, Instant> m_renewals;
    Instant m_provenAt;
    std::string m_purpose;
    bool m_isRevoked { false };
    std::optional<Instant> m_timer;
};

}
