#pragma once

#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/Claims/PartitionMap.h>
#include <LibDecision/Claims/PartitionRecord.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// Buffers the claims that leaving holders handed over to this process, until it holds their partitions.
class HandoverInbox {
public:
    // Adds one part. A duplicate or a part of a lower epoch is ignored. A part of a higher epoch, or of the same epoch
    // from another sender, replaces all parts received before.
    void add(const ProcessIncarnation& from, const ClaimHandover&, Instant now);

    // Returns true if every part of the handover that the partition's record names was received.
    bool isComplete(const PartitionId&, const PartitionRecord&) const;
    // Removes and returns the claims, each with its remaining time as of now.
    std::vector<ClaimEntry> take(const PartitionId&, Instant now);

    void removeExpired(Instant now);
    bool isEmpty() const { return m_handovers.empty(); }

private:
    struct Part {
        std::vector<ClaimEntry> entries;
        Instant receivedAt;
    };
    struct Incoming {
        ProcessIncarnation from;
        ClaimEpoch epoch;
        std::map<uint32_t, Part> parts;
        // Known once the last part was received.
        std::optional<uint32_t> partCount;
        Instant lastReceivedAt;
    };

    std::unordered_map<PartitionId, Incoming> m_handovers;
};

// Splits the claims into messages of bounded size.
std::vector<ClaimHandover> splitHandover(const PartitionId&, ClaimEpoch, const std::vector<ClaimEntry>&);

}
