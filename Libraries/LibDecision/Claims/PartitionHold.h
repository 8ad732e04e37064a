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

// What a partition has to know of its process for one step.
struct HoldContext {
    ProcessIncarnation self;
    const HolderLease& lease;
    // The highest epoch that this process heard of.
    ClaimEpoch knownEpoch;
    // How long a claim may count under the profile in force.
    Duration retention { 0 };
    // Until then this process may not have heard yet of other holders.
    Instant holdersKnownAt;
    HandoverInbox& inbox;
};

// One partition's hold at the platform and its claims, from the first wish to hold it until it is given up.
// Only a holder that wrote the partition's record while it had the hold grants claims.
class PartitionHold {
public:
    PartitionHold(PartitionId, const PartitionChart&, const ClaimChart&);

    // Begins to acquire the hold, unless that failed a short while ago. The lease must be valid.
    void tryAcquire(Turn&, const HoldContext&);
    // Lets the next attempt begin at the instant, whatever earlier ones came to.
    void retryAt(Instant at) { m_nextAttemptAt = at; }
    // Takes the reply to pendingTag(). Returns true if an attempt to hold or to leave ended.
    bool handleReply(Turn&, const PlatformReply&, const HoldContext&);
    // A longer memory is asked for than the record grants: writes it before any claim counts that long.
    void extendRetention(Turn&, const HoldContext&, Duration retention);
    // The platform ended the lease. Claims are kept, in case that nobody else held the partition in between.
    void loseLease();
    // Another process holds the partition with the same epoch or a higher one.
    void supersede(Instant now);
    // Another process was the holder when this one believed that nobody ever was.
    void handleEarlierHolder(Instant now, Duration leaseTime);
    // The lease's time was over for a while: grants nothing until this process has heard of other holders.
    void delayGrants(Instant until) { m_settledAt = std::max(m_settledAt, until); }
    // Takes a handover that came after the hold.
    void adoptHandover(Instant now, Instant holdersKnownAt, HandoverInbox&);

    // Stops granting for good and gives the hold up. Without a successor the next holder has to settle.
    void leave(Turn&, const HoldContext&, const InstanceId& successor);
    // Calls the platform again after a failure, while leaving.
    void retryClosing(Turn&, const HoldContext&);
    void giveUp();

    HoldState state() const { return m_state; }
    const PartitionRecord& record() const { return m_record; }
    PlatformTag pendingTag() const { return m_pending; }
    // The holder that the platform named when the hold was refused.
    const std::optional<PartitionRecord>& otherHolder() const { return m_otherHolder; }
    // The platform may keep the hold for this process although it isn't the holder: it has to try again, because
    // nobody else can acquire the partition meanwhile. Gives the instant of the next attempt.
    std::optional<Instant> retryDue() const;
    bool canAttempt(Instant now) const { return m_state == HoldState::Free && now >= m_nextAttemptAt; }
    bool isAcquiring() const;
    bool isClosing() const;
    // The hold is certainly this process's.
    bool isHeld(Instant now, const HolderLease& lease) const { return m_state == HoldState::Held && lease.isValid(now); }
    // Earlier holders' claims, if any, are known or don't count any more.
    bool isSettled(Instant now) const { return now >= m_settledAt; }
    Duration settleTime(Instant now) const { return isSettled(now) ? Duration(0) : m_settledAt - now; }
    const InstanceId& successor() const { return m_successor; }

    ClaimTable& claims() { return m_claims; }
    const ClaimTable& claims() const { return m_claims; }

private:
    // How a hold begins once its record is written.
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

    // What the platform had at the last reading.
    PlatformVersion m_readVersion;
    std::optional<PartitionRecord> m_readRecord;
    std::optional<PartitionRecord> m_otherHolder;

    std::optional<Plan> m_plan;
    PartitionRecord m_record;
    // True while the claims are all that were ever granted under the record, or that still count from before it.
    bool m_hasAllClaims { false };
    std::optional<PartitionRecord> m_awaitedHandover;
    bool m_isFirstHolder { false };
    Instant m_settledAt;
    bool m_mayHandOver { false };
    InstanceId m_successor;
};

}
