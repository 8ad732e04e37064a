#include <LibDecision/Claims/PartitionMap.h>

#include <LibDecision/Rendezvous.h>

#include <algorithm>
#include <string>

namespace Decision {

PartitionId partitionOf(const ServiceName& service, const AccountId& account, const IdempotencyKey& key)
{
    auto hash = stableHash({ account.value(), key.value() });
    return { service, static_cast<uint32_t>(hash % partitionsPerService) };
}

const InstanceId* chooseByRendezvous(const PartitionId& id, const std::vector<InstanceId>& candidates)
{
    auto topic = id.service.value() + "/" + std::to_string(id.partition);
    auto weight = [&](const InstanceId& instance) { return rendezvousWeight(topic, instance.value()); };
    auto best = std::ranges::max_element(candidates, {}, weight);
    return best == candidates.end() ? nullptr : &*best;
}

}
