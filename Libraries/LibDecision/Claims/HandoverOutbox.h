#pragma once

#include <LibDecision/Claims/HandoverInbox.h>
#include <LibDecision/TimerQueue.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// One part of a leaving holder's claims, addressed to the successor.
struct OutgoingHandoverPart {
    InstanceId to;
    ClaimHandover part;
};

// The claims that this process hands over to its successors while it leaves. Each handover is sent again, up to a
// bounded number of times, until another process is known to hold the partition.
class HandoverOutbox {
public:
    // Adds a handover, which is due at once. Does nothing if the partition already has one.
    void add(Instant now, const PartitionId&, const InstanceId& successor, ClaimEpoch, const std::vector<ClaimEntry>&);
    // Another process holds the partition with this epoch: ends the handover if the epoch is higher than its own.
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
