#include <LibDecision/Quotas/QuotaDirectory.h>

#include <utility>

namespace Decision {

bool QuotaDirectory::setTable(std::shared_ptr<const RouteTable> table)
{
    if (table == m_table)
        return false;
    m_table = std::move(table);
    m_tenants.clear();
    m_partitions.reset();
    for (const auto& tenant : m_table->tenants) {
        if (!tenant.hasQuota())
            continue;
        m_tenants.emplace(tenant.name, &tenant);
        m_partitions.set(quotaPartitionOf(tenant.name));
    }
    return true;
}

}
