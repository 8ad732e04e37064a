#pragma once

#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/Claims/PartitionMap.h>
#include <LibDecision/Claims/PartitionRecord.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// The claims that leaving holders handed to this process, until it holds their partitions.
class HandoverInbox {
public:
    // Takes one part; a part that came before is ignored, one of a later epoch replaces all earlier ones.
    void add(const ProcessIncarnation& from, const ClaimHandover&, Instant now);

    // True if every part came that the partition's record speaks of.
    bool isComplete(const PartitionId&, const PartitionRecord&) const;
    // Gives the claims with what is left of their time now, and forgets them.
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
        // Known once the last part came.
        std::optional<uint32_t> partCount;
        Instant lastReceivedAt;
    };

    std::unordered_map<PartitionId, Incoming> m_handovers;
};

// Cuts the claims into messages of bounded size.
std::vector<ClaimHandover> splitHandover(const PartitionId&, ClaimEpoch, const std::vector<ClaimEntry>&);

}
