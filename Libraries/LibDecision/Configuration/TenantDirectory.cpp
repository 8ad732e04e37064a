#include <LibDecision/Configuration/TenantDirectory.h>

#include <algorithm>

namespace Decision {

TenantDirectory::TenantDirectory(const RouteTable& table)
    : m_hasTenants(!table.tenants.empty())
    , m_hasUnreadKeys(std::ranges::any_of(table.tenants, &Tenant::hasUnreadKeys))
{
    for (const auto& tenant : table.tenants)
        std::ranges::for_each(tenant.keyDigests, [&](std::string_view digest) { m_tenants.emplace(digest, &tenant); });
}

TenantDirectory::Match TenantDirectory::find(std::string_view keyDigest) const
{
    auto tenant = m_tenants.find(keyDigest);
    if (tenant != m_tenants.end())
        return tenant->second->isUsable() ? Match { tenant->second } : Match { nullptr, Reason::TenantUnusable };
    // The key may be one of those that couldn't be read, and its holder must not be told that it was revoked.
    bool mayBeUnread = m_hasUnreadKeys && !keyDigest.empty();
    return { nullptr, mayBeUnread ? Reason::TenantUnusable : Reason::UnknownKey };
}

}
