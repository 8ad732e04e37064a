#pragma once

#include <LibModel/Outcome.h>
#include <LibModel/RouteTable.h>

#include <string_view>
#include <unordered_map>

namespace Decision {

using namespace Model;

// Finds the tenant of an API key in constant time. Built once for each route table in force.
class TenantDirectory {
public:
    // What the digest of a key leads to.
    struct Match {
        // Null if there is a reason for refusal.
        const Tenant* tenant { nullptr };
        Reason refusal { Reason::None };
    };

    TenantDirectory() = default;
    // Refers to the table's tenants, so the table must outlive the directory.
    explicit TenantDirectory(const RouteTable&);

    // Whether requests need API keys.
    bool hasTenants() const { return m_hasTenants; }
    // An empty digest stands for a request without a key.
    Match find(std::string_view keyDigest) const;

private:
    std::unordered_map<std::string_view, const Tenant*> m_tenants;
    bool m_hasTenants { false };
    bool m_hasUnreadKeys { false };
};

}
