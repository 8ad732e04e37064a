#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Model {

using namespace std::chrono_literals;

// Keeps the tenant with the most keys within one control message.
constexpr size_t maximumKeysPerTenant = 1000;

// One customer that shares the fleet with others.
struct Tenant {
    // Serves as the client account of the tenant's requests.
    AccountId name;
    // SHA-256 of each API key, as 64 lower-case hexadecimal digits. The keys themselves are never kept.
    std::vector<std::string> keyDigests;
    // Goes before the priority of the route; 0 goes first.
    uint32_t priority { 0 };
    // Requests a second over the whole fleet; 0 means no limit.
    double requestsPerSecond { 0 };
    // Requests beyond that rate that may come at once.
    double burst { 0 };
    // Why the entry can't be used; empty if it can. Requests with its keys are refused as not run. It may lack a name.
    std::string problem;
    // Whether some keys of an unusable entry couldn't be read, so that any key that isn't listed may be one of them.
    bool hasUnreadKeys { false };

    bool isUsable() const { return problem.empty(); }
    bool hasQuota() const { return requestsPerSecond > 0; }
    bool operator==(const Tenant&) const = default;
};

// How the fleet treats tenants; from the settings of a process.
struct TenantTerms {
    // Whether a request whose key was revoked must not run at any process, however isolated.
    bool hasStrictRevocation { false };
    // Time from the confirmation of a configuration until requests with a key that it dropped must no longer run.
    Duration revocationBound { 5s };
    // Quotas are checked over any span of this length.
    Duration quotaWindow { 5s };
    // Share of a quota by which its window may be exceeded.
    double quotaOvershoot { 0.1 };
    // Requests by which a quota may be exceeded besides.
    double quotaSlack { 0 };

    bool operator==(const TenantTerms&) const = default;
};

}
