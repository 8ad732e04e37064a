#pragma once

#include <LibDecision/Charts.h>
#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/Claims/HandoverInbox.h>
#include <LibDecision/Claims/HolderLease.h>
#include <LibDecision/Claims/PartitionRecord.h>
#include <LibDecision/Turn.h>

#include <optional>

namespace Decision {

enum class HoldState {
    Free,
    Reading,
    Acquiring,
    Recording,
    Held,
    ClosingRead,
    ClosingRecord,
    Releasing,
    Released,
};

enum class HoldEvent {
    Wanted,
    ReadFree,
    ReadOwnHold,
    ReadOwnRecord,
    Done,
    Failed,
    Refused,
    LeaseLost,
    Superseded,
    Widened,
    Leaving,
    GaveUp,
};

}

template <>
struct Model::EnumNames<Decision::HoldState> {
    static constexpr std::array entries {
        EnumName { Decision::HoldState::Free, "free" },
        EnumName { Decision::HoldState::Reading, "reading" },
        EnumName { Decision::HoldState::Acquiring, "acquiring" },
        EnumName { Decision::HoldState::Recording, "recording" },
        EnumName { Decision::HoldState::Held, "held" },
        EnumName { Decision::HoldState::ClosingRead, "closing-read" },
        EnumName { Decision::HoldState::ClosingRecord, "closing-record" },
        EnumName { Decision::HoldState::Releasing, "releasing" },
        EnumName { Decision::HoldState::Released, "released" },
    };
};

template <>
struct Model::EnumNames<Decision::HoldEvent> {
    static constexpr std::array entries {
        EnumName { Decision::HoldEvent::Wanted, "wanted" },
        EnumName { Decision::HoldEvent::ReadFree, "read-free" },
        EnumName { Decision::HoldEvent::ReadOwnHold, "read-own-hold" },
        EnumName { Decision::HoldEvent::ReadOwnRecord, "read-own-record" },
        EnumName { Decision::HoldEvent::Done, "done" },
        EnumName { Decision::HoldEvent::Failed, "failed" },
        EnumName { Decision::HoldEvent::Refused, "refused" },
        EnumName { Decision::HoldEvent::LeaseLost, "lease-lost" },
        EnumName { Decision::HoldEvent::Superseded, "superseded" },
        EnumName { Decision::HoldEvent::Widened, "widened" },
        EnumName { Decision::HoldEvent::Leaving, "leaving" },
        EnumName { Decision::HoldEvent::GaveUp, "gave-up" },
    };
};

namespace Decision {

using PartitionChart = TypedChart<HoldState, HoldEvent>;

// What a PartitionHold needs to know of its process for one transition.
struct HoldContext {
    ProcessIncarnation self;
    const HolderLease& lease;
    // The highest epoch of the partition that this process knows.
    ClaimEpoch knownEpoch;
    // How long a claim is remembered under the profile in force.
    Duration retention { 0 };
    // Before this instant, rumors of other holders may not have reached this process yet.
    Instant holdersKnownAt;
    HandoverInbox& inbox;
};

// This process's hold on one partition, and the partition's claims. The hold is the exclusive ownership of a key at the
// platform, bound to this process's lease. A process grants claims only after it wrote the partition's record while it
// had the hold.
class PartitionHold {
public:
    PartitionHold(PartitionId, const PartitionChart&, const ClaimChart&);

    // Starts an attempt to acquire the hold, unless the delay after a failed attempt isn't over. The lease must be
    // valid.
    void tryAcquire(Turn&, const HoldContext&);
    // Allows the next attempt from the given instant on, regardless of earlier failures.
    void retryAt(Instant at) { m_nextAttemptAt = at; }
    // Handles the reply to pendingTag(). Returns true if the reply matched and no attempt to acquire the hold is in
    // progress afterwards.
    bool handleReply(Turn&, const PlatformReply&, const HoldContext&);
    // A claim needs a longer retention than the record has: writes the longer one to the record, before any claim with
    // it is granted.
    void extendRetention(Turn&, const HoldContext&, Duration retention);
    // The platform ended the lease. The claims are kept: they stay valid if no other process holds the partition before
    // this one acquires it again.
    void loseLease();
    // Another process holds the partition with the same epoch or a higher one.
    void supersede(Instant now);
    // An earlier holder became known although this process acquired the partition as its first holder: grants nothing
    // until that holder's claims have expired.
    void handleEarlierHolder(Instant now, Duration leaseTime);
    // Grants nothing until the given instant, by which rumors of other holders have arrived. Needed after the lease had
    // expired for a while.
    void delayGrants(Instant until) { m_settledAt = std::max(m_settledAt, until); }
    // Adopts the claims of an awaited handover if it is complete and the settle time isn't over.
    void adoptHandover(Instant now, Instant holdersKnownAt, HandoverInbox&);

    // Stops granting permanently and releases the hold. If there are claims but no successor, the next holder has to
    // wait out the settle time.
    void leave(Turn&, const HoldContext&, const InstanceId& successor);
    // Repeats a call to the platform that failed while leaving.
    void retryClosing(Turn&, const HoldContext&);
    void giveUp();

    HoldState state() const { return m_state; }
    const PartitionRecord& record() const { return m_record; }
    PlatformTag pendingTag() const { return m_pending; }
    // The record of the other holder, if the last read showed that another process has the hold.
    const std::optional<PartitionRecord>& otherHolder() const { return m_otherHolder; }
    // The platform may keep the hold for this process although its attempt failed. It then has to try again, because no
    // other process can acquire the partition meanwhile. Returns the instant of the next attempt.
    std::optional<Instant> retryDue() const;
    bool canAttempt(Instant now) const { return m_state == HoldState::Free && now >= m_nextAttemptAt; }
    // Returns true while an attempt to acquire the hold or to rewrite the record is in progress.
    bool isAcquiring() const;
    bool isClosing() const;
    // Returns true if this process is certain to have the hold.
    bool isHeld(Instant now, const HolderLease& lease) const { return m_state == HoldState::Held && lease.isValid(now); }
    // Returns true if the claims of earlier holders are known or have expired.
    bool isSettled(Instant now) const { return now >= m_settledAt; }
    Duration settleTime(Instant now) const { return isSettled(now) ? Duration(0) : m_settledAt - now; }
    const InstanceId& successor() const { return m_successor; }

    ClaimTable& claims() { return m_claims; }
    const ClaimTable& claims() const { return m_claims; }

private:
    // The record to write, and how the hold starts once it is written.
    struct Plan {
        PartitionRecord record;
        bool keepsClaims { false };
        std::optional<PartitionRecord> handover;
        Duration settleTime { 0 };
    };

    void step(Turn&, const HoldContext&, HoldEvent);
    void enter(Turn&, const HoldContext&);
    void scheduleRetry(Instant now, const HoldContext&, HoldEvent);
    HoldEvent evaluateRead(const PlatformReply&, const HoldContext&);
    HoldEvent replyEvent(const PlatformReply&, const HoldContext&);
    bool ownsReadRecord(const HoldContext&) const;
    Plan plan(const HoldContext&) const;
    bool wasNeverHeld(const HoldContext&) const;
    Plan successionPlan(const HoldContext&) const;
    PartitionRecord closingRecord() const;
    void startHolding(Instant now, const HoldContext&);

    PartitionId m_id;
    const PartitionChart* m_chart;
    ClaimTable m_claims;
    HoldState m_state;
    PlatformTag m_pending;
    Instant m_nextAttemptAt;
    Duration m_retryDelay { 0 };
    bool m_mayHaveHold { false };
    Duration m_requestedRetention { 0 };

    // The state of the platform at the last read.
    PlatformVersion m_readVersion;
    std::optional<PartitionRecord> m_readRecord;
    std::optional<PartitionRecord> m_otherHolder;

    std::optional<Plan> m_plan;
    PartitionRecord m_record;
    // True while m_claims contains every unexpired claim that was granted under the record and, once the hold is
    // settled, every one that was granted before it.
    bool m_hasAllClaims { false };
    std::optional<PartitionRecord> m_awaitedHandover;
    bool m_isFirstHolder { false };
    Instant m_settledAt;
    bool m_mayHandOver { false };
    InstanceId m_successor;
};

}
