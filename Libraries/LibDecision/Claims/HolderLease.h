#pragma once

#include <LibDecision/Turn.h>

#include <optional>

namespace Decision {

// This process's lease at the platform, which keeps its holds. It is valid only while it certainly hasn't ended:
// its time counts from before the call that granted or renewed it, less a margin for the clocks' drift.
class HolderLease {
public:
    enum class Change {
        None,
        // A new lease was granted.
        Granted,
        // The lease's time was over for this process, but the platform renewed it.
        RenewedAfterExpiry,
        // The platform no longer has the lease: every hold under it is gone.
        Lost,
    };

    HolderLease(const InstanceId& owner, Duration timeToLive);

    // Asks for a lease if there is none.
    void ensure(Turn&);
    // Ends the lease, and with it every hold.
    void revoke(Turn&);

    std::optional<Instant> nextTimer() const { return m_timer; }
    void handleTimer(Turn&);
    // True if the reply belongs to this lease; the change is then written to the second argument.
    bool handleReply(Turn&, const PlatformReply&, Change&);

    // True while a call to the platform waits for its reply.
    bool isPending() const { return m_pending != PlatformTag(); }
    // Empty if there is no lease.
    const PlatformLease& lease() const { return m_lease; }
    bool isValid(Instant now) const { return !m_lease.isEmpty() && now < m_validUntil; }
    // What is left of the lease, zero if it isn't valid.
    Duration remaining(Instant now) const { return isValid(now) ? m_validUntil - now : Duration(0); }
    Duration timeToLive() const { return m_timeToLive; }

private:
    Change handleGrant(const PlatformReply&);
    Change handleRenewal(Turn&, const PlatformReply&);
    void extend();

    InstanceId m_owner;
    Duration m_timeToLive;
    PlatformLease m_lease;
    Instant m_validUntil;
    // The call that waits for its reply; 0 if none does.
    PlatformTag m_pending;
    Instant m_sentAt;
    bool m_isRevoked { false };
    std::optional<Instant> m_timer;
};

}
