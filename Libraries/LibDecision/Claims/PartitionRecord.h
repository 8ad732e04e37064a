#pragma once

#include <LibDecision/Claims/PartitionMap.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Decision {

enum class PartitionRecordState {
    // The holder grants claims, or did when its lease lapsed.
    Held,
    // The holder stopped for good and gave its claims to the successor.
    HandedOver,
    // The holder stopped for good and no claim counts any more.
    Empty,
};

}

template <>
struct Model::EnumNames<Decision::PartitionRecordState> {
    static constexpr std::array entries {
        EnumName { Decision::PartitionRecordState::Held, "held" },
        EnumName { Decision::PartitionRecordState::HandedOver, "handed-over" },
        EnumName { Decision::PartitionRecordState::Empty, "empty" },
    };
};

namespace Decision {

// What the platform keeps of a partition: its latest holder. It is written only by compare-and-swap, and only by a
// process that has the partition's hold.
struct PartitionRecord {
    ClaimEpoch epoch;
    InstanceId holder;
    Incarnation holderIncarnation;
    PartitionRecordState state { PartitionRecordState::Held };
    // Set if the standing is HandedOver.
    InstanceId successor;
    // How long any claim may count after its grant. A holder grants nothing that counts longer.
    Duration retention { 0 };

    bool operator==(const PartitionRecord&) const = default;

    // Gives nothing if the text is no record.
    static std::optional<PartitionRecord> parse(std::string_view);
    std::string format() const;
};

// The platform's keys of a partition: everything below the prefix, the key that the holder's lease holds, and the record.
std::string platformPrefix(const PartitionId&);
std::string holdKey(const PartitionId&);
std::string recordKey(const PartitionId&);

}
