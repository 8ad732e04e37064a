#include <LibDecision/Claims/HolderDirectory.h>

#include <tuple>

namespace Decision {

namespace {

    bool supersedes(const ClaimHolder& newer, const ClaimHolder& known)
    {
        return std::tie(newer.epoch, newer.holder, newer.holderIncarnation) > std::tie(known.epoch, known.holder, known.holderIncarnation);
    }

}

bool HolderDirectory::apply(const ClaimHolder& holder)
{
    auto [known, isNew] = m_holders.try_emplace({ holder.service, holder.partition }, holder);
    if (isNew)
        return true;
    if (!supersedes(holder, known->second))
        return false;
    known->second = holder;
    return true;
}

const ClaimHolder* HolderDirectory::find(const PartitionId& id) const
{
    auto known = m_holders.find(id);
    return known == m_holders.end() ? nullptr : &known->second;
}

ClaimEpoch HolderDirectory::epochOf(const PartitionId& id) const
{
    const auto* known = find(id);
    return known ? known->epoch : ClaimEpoch();
}

}
