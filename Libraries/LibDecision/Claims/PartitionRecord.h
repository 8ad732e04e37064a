#pragma once

#include <LibDecision/Claims/PartitionMap.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Decision {

enum class PartitionRecordState {
    // The holder grants claims, or did until its lease expired.
    Held,
    // The holder stopped permanently and hands its claims over to the successor.
    HandedOver,
    // The holder stopped permanently and has no unexpired claims.
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

// The record of a partition's latest holder, stored at the platform. It is written only by compare-and-swap, and only
// by a process that has the partition's hold.
struct PartitionRecord {
    ClaimEpoch epoch;
    InstanceId holder;
    Incarnation holderIncarnation;
    PartitionRecordState state { PartitionRecordState::Held };
    // Set if the state is HandedOver.
    InstanceId successor;
    // The longest time that a claim is remembered after its grant. The holder grants no claim that needs longer.
    Duration retention { 0 };

    bool operator==(const PartitionRecord&) const = default;

    // Returns std::nullopt if the text isn't a valid record.
    static std::optional<PartitionRecord> parse(std::string_view);
    std::string format() const;
};

// The keys of a partition at the platform: the prefix of all of them, the key that the holder's lease holds, and the
// key of the record.
std::string platformPrefix(const PartitionId&);
std::string holdKey(const PartitionId&);
std::string recordKey(const PartitionId&);

}
