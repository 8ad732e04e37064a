#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

namespace Decision {

namespace RequestPriorities {

    constexpr uint32_t routeBits = 16;
    // One value above it is left for each tenant priority, so that raising a route's priority by one never reaches the next
    // tenant priority.
    constexpr uint32_t leastUrgentRoute = (1U << routeBits) - 2;
    constexpr uint32_t leastUrgentTenant = (1U << (32 - routeBits)) - 1;

}

// Returns the priority of a request by those of its tenant and its route: the tenant's goes first, 0 is the most urgent.
// Route priorities above 65,534 and tenant priorities above 65,535 count as these.
constexpr uint32_t combinedPriority(uint32_t tenantPriority, uint32_t routePriority)
{
    return (std::min(tenantPriority, RequestPriorities::leastUrgentTenant) << RequestPriorities::routeBits)
        | std::min(routePriority, RequestPriorities::leastUrgentRoute);
}

// Returns the priority in queues of a request with this priority. A running request holds a slot while it waits for the calls
// that it makes, and its work is lost if they fail. So they go one priority before it, whichever tenants' requests wait. The
// parent's priority is one that this function returned; it is empty for a caller's request.
constexpr uint32_t queuePriority(uint32_t priority, std::optional<uint32_t> parentPriority)
{
    if (parentPriority)
        return std::max(1U, *parentPriority) - 1;
    // The most urgent value is left for calls of running requests.
    return std::min(priority, std::numeric_limits<uint32_t>::max() - 1) + 1;
}

}
