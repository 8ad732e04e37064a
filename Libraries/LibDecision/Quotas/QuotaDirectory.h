#pragma once

#include <LibDecision/Quotas/QuotaTerms.h>
#include <LibModel/RouteTable.h>

#include <bitset>
#include <memory>
#include <unordered_map>

namespace Decision {

// The tenants with a quota in the route table in force.
class QuotaDirectory {
public:
    // Returns true if the table differs from the one before.
    bool setTable(std::shared_ptr<const RouteTable>);

    // Returns null if the tenant has no quota.
    const Tenant* find(const AccountId& tenant) const
    {
        auto entry = m_tenants.find(tenant);
        return entry == m_tenants.end() ? nullptr : entry->second;
    }
    bool isEmpty() const { return m_tenants.empty(); }
    size_t size() const { return m_tenants.size(); }
    bool hasPartition(uint32_t partition) const { return m_partitions.test(partition); }
    Revision version() const { return m_table ? m_table->version : Revision(); }

private:
    std::shared_ptr<const RouteTable> m_table;
    std::unordered_map<AccountId, const Tenant*> m_tenants;
    std::bitset<quotaPartitionCount> m_partitions;
};

}
