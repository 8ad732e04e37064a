#pragma once

#include <LibDecision/Calls/TokenBucket.h>
#include <LibDecision/Message.h>
#include <LibModel/Tenant.h>

#include <unordered_map>

namespace Decision {

// The token buckets of one quota partition's tenants, at the partition's holder. They are empty when the holder begins.
class QuotaBuckets {
public:
    // Capacity of a bucket whose tenant has a lower burst and no extra depth. With less, tokens that become due while a question is under way
    // would be lost. The slack of the bound on quotas (20 requests) covers it.
    static constexpr double minimumCapacity = 5;

    // Each bucket holds the tenant's burst and the extra depth.
    explicit QuotaBuckets(Instant now, double extraDepth = 0)
        : m_startedAt(now)
        , m_extraDepth(extraDepth)
    {
    }

    // Answers one need under the tenant's quota in force. A changed quota applies at once; tokens above a lower burst
    // are dropped.
    QuotaGrant take(Instant now, const Tenant&, const QuotaNeed&);
    // Tokens left in the tenant's bucket; 0 if nobody asked for it.
    double tokens(const AccountId&) const;
    size_t size() const { return m_buckets.size(); }

private:
    struct Bucket {
        TokenBucket tokens;
        double requestsPerSecond { 0 };
        // When the next refused request is told to return.
        Instant nextReturn;
    };

    double capacityOf(const Tenant&) const;
    Bucket& bucketOf(Instant now, const Tenant&);
    static void spreadReturns(Instant now, Bucket&, uint32_t refused, QuotaGrant&);

    Instant m_startedAt;
    double m_extraDepth;
    std::unordered_map<AccountId, Bucket> m_buckets;
};

// Refused requests are told to return at instants that are spread over at most this time.
constexpr Duration longestQuotaReturn = std::chrono::seconds(5);

}
