#pragma once

#include <LibDecision/Claims/HandoverInbox.h>
#include <LibDecision/TimerQueue.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// One part of a leaving holder's claims on its way to the successor.
struct OutgoingHandoverPart {
    InstanceId to;
    ClaimHandover part;
};

// The claims that this process, which leaves, hands to its successors. Each handover is repeated until the successor
// is known to hold the partition, a bounded number of times.
class HandoverOutbox {
public:
    // The handover is due at once. One that was added before stays as it is.
    void add(Instant now, const PartitionId&, const InstanceId& successor, ClaimEpoch, const std::vector<ClaimEntry>&);
    // A process holds the partition with this epoch.
    void confirm(const PartitionId&, ClaimEpoch);
    std::vector<OutgoingHandoverPart> takeDue(Instant now);
    void clear();

    bool isEmpty() const { return m_handovers.empty(); }
    std::optional<Instant> nextTimer() const { return m_timers.next(); }

private:
    struct Outgoing {
        InstanceId to;
        ClaimEpoch epoch;
        std::vector<ClaimHandover> parts;
        uint32_t sends { 0 };
    };

    std::unordered_map<PartitionId, Outgoing> m_handovers;
    TimerQueue<PartitionId> m_timers;
};

}
