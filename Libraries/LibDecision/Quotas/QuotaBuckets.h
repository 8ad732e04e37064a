#pragma once

#include <LibDecision/Calls/TokenBucket.h>
#include <LibDecision/Message.h>
#include <LibDecision/Quotas/GrantHistory.h>
#include <LibDecision/Quotas/QuotaTerms.h>
#include <LibModel/Tenant.h>

#include <unordered_map>

namespace Decision {

// The token buckets of one quota partition's tenants, at the partition's holder.
//
// A tenant may use rate x window + burst in any window. Its bucket fills at the rate that uses this up, and the tokens that
// were granted within a window and one validity are counted, so that a full bucket doesn't add to that. An earlier holder may
// have granted a burst just before this one began, so buckets begin with a burst less than nothing.
class QuotaBuckets {
public:
    // Capacity of a bucket whose tenant has a lower burst and no extra depth. With less, tokens that become due while a question is under way
    // would be lost. The slack of the bound on quotas (20 requests) covers it.
    static constexpr double minimumCapacity = 5;

    // An earlier holder granted nothing after the instant.
    explicit QuotaBuckets(Instant lastEarlierGrant, const QuotaTerms& terms = {})
        : m_startedAt(lastEarlierGrant)
        , m_terms(terms)
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
        double refillRate { 0 };
        GrantHistory granted;
        // When the next refused request is told to return.
        Instant nextReturn;
    };

    double capacityOf(const Tenant&) const;
    Bucket& bucketOf(Instant now, const Tenant&);
    // Tokens that may still be granted within the span that ends now.
    double leftInSpan(Instant now, const Tenant&, Bucket&) const;
    // Takes up to the wanted number of tokens, and returns how many.
    uint32_t takeTokens(Instant now, const Tenant&, Bucket&, double available, uint32_t wanted);
    void spreadReturns(Instant now, const Tenant&, Bucket&, uint32_t refused, QuotaGrant&);

    Instant m_startedAt;
    QuotaTerms m_terms;
    std::unordered_map<AccountId, Bucket> m_buckets;
};

// Refused requests are told to return at instants that are spread over at most this time.
constexpr Duration longestQuotaReturn = std::chrono::seconds(5);

}
