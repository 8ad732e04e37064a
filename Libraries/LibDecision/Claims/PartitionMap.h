#pragma once

#include <LibModel/Identifiers.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <vector>

namespace Decision {

using namespace Model;

// Number of partitions of the keys of one service. Every process of the fleet must use the same number.
inline constexpr uint32_t partitionsPerService = 8;

// One partition of a service's idempotency keys.
struct PartitionId {
    ServiceName service;
    uint32_t partition { 0 };

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of rewritten comparisons for a null pointer.
    auto operator<=>(const PartitionId&) const = default;
};

// Returns the partition of a key. The result is the same in every process and in every version.
PartitionId partitionOf(const ServiceName&, const AccountId&, const IdempotencyKey&);

// Returns the candidate with the highest rendezvous hash weight for the partition, or nullptr if there is none.
const InstanceId* chooseByRendezvous(const PartitionId&, const std::vector<InstanceId>& candidates);

}

template <>
struct std::hash<Decision::PartitionId> {
    size_t operator()(const Decision::PartitionId& id) const noexcept
    {
        return std::hash<Model::ServiceName> {}(id.service) * Decision::partitionsPerService + id.partition;
    }
};
