#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace Decision {

// Priorities of routes within one priority of tenants; later ones share the last.
constexpr uint32_t routePriorities = 1024;

// The priority of a tenant's request of a route among all requests: the tenant's goes first. 0 is the most urgent.
constexpr uint32_t combinedPriority(uint32_t tenant, uint32_t route)
{
    constexpr uint32_t lastTenantPriority = std::numeric_limits<uint32_t>::max() / routePriorities - 1;
    return std::min(tenant, lastTenantPriority) * routePriorities + std::min(route, routePriorities - 1);
}

}
