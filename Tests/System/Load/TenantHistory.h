#pragma once

#include "LoadRecord.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Load {

// A span in which a tenant held an API key, as the publisher of the configuration saw it.
struct KeyHolding {
    std::string tenant;
    // Sending of the configuration that added the key.
    Instant from {};
    // Confirmation of the configuration that removed it.
    Instant until { Instant::max() };
};

struct TenantQuota {
    double requestsPerSecond { 0 };
    double burst { 0 };

    bool isLimited() const { return requestsPerSecond > 0; }
    // Requests that may be sent within one window and run.
    double mostIn(Duration window) const;
};

// Whether a send may run under a tenant's name.
enum class Entitlement {
    Valid,
    // The tenant never held the key before the send was answered.
    Never,
    // The key had been removed from the tenant for longer than the revocation bound when the request was sent.
    Removed,
};

// Which tenants there were, and who held which key when.
struct TenantHistory {
    std::map<std::string, TenantQuota> quotas;
    std::unordered_map<std::string, std::vector<KeyHolding>> holdingsByKey;
    Duration revocationBound { 0 };
    Duration quotaWindow { 0 };

    Entitlement judge(const SendRecord&, const std::string& tenant) const;
};

}
