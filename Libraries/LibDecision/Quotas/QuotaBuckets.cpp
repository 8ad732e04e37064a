#include <LibDecision/Quotas/QuotaBuckets.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    // The part of what a window allows that isn't granted ahead.
    constexpr int keptForCallsDivisor = 8;

    Duration seconds(double count)
    {
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(count, 3600.0)));
    }

}

double QuotaBuckets::capacityOf(const Tenant& tenant) const { return std::max(tenant.burst + m_terms.extraDepth, minimumCapacity); }

QuotaBuckets::Bucket& QuotaBuckets::bucketOf(Instant now, const Tenant& tenant)
{
    auto [entry, isNew] = m_buckets.try_emplace(tenant.name, Bucket { TokenBucket(capacityOf(tenant)), m_terms.refillRate(tenant), {}, now });
    auto& bucket = entry->second;
    if (isNew) {
        bucket.tokens.startAt(m_startedAt);
        bucket.tokens.take(tenant.burst);
    }
    // The time until now counts at the rate that was in force.
    bucket.tokens.refill(bucket.refillRate, now);
    bucket.tokens.setLimit(capacityOf(tenant));
    bucket.refillRate = m_terms.refillRate(tenant);
    return bucket;
}

double QuotaBuckets::leftInSpan(Instant now, const Tenant& tenant, Bucket& bucket) const
{
    return m_terms.grantLimit(tenant) - bucket.granted.count(now, m_terms.grantSpan());
}

uint32_t QuotaBuckets::takeTokens(Instant now, const Tenant& tenant, Bucket& bucket, double available, uint32_t wanted)
{
    auto whole = std::max(0.0, std::floor(std::min(available, leftInSpan(now, tenant, bucket))));
    auto tokens = static_cast<uint32_t>(std::min<double>(wanted, whole));
    bucket.tokens.take(tokens);
    bucket.granted.add(now, m_terms.grantSpan(), tokens);
    return tokens;
}

QuotaGrant QuotaBuckets::take(Instant now, const Tenant& tenant, const QuotaNeed& need)
{
    auto& bucket = bucketOf(now, tenant);
    QuotaGrant grant { .tenant = tenant.name };
    grant.tokens = takeTokens(now, tenant, bucket, bucket.tokens.tokens(), need.tokens);
    if (grant.tokens < need.tokens) {
        spreadReturns(now, tenant, bucket, need.tokens - grant.tokens, grant);
        return grant;
    }
    // Tokens ahead that aren't used are lost, so they are granted only while there are plenty.
    auto left = leftInSpan(now, tenant, bucket) - m_terms.grantLimit(tenant) / keptForCallsDivisor;
    auto plenty = std::min(left, bucket.tokens.tokens() - capacityOf(tenant) / 2);
    grant.tokensAhead = takeTokens(now, tenant, bucket, plenty, need.tokensAhead);
    return grant;
}

void QuotaBuckets::spreadReturns(Instant now, const Tenant& tenant, Bucket& bucket, uint32_t refused, QuotaGrant& grant)
{
    bool isSpanUsedUp = leftInSpan(now, tenant, bucket) < 1;
    auto refilled = seconds(std::max(0.0, 1 - bucket.tokens.tokens()) / bucket.refillRate);
    grant.nextToken = isSpanUsedUp ? std::max<Duration>(refilled, bucket.granted.nextRelease(now, m_terms.grantSpan()) - now) : refilled;
    auto earliestReturn = now + grant.nextToken;
    if (bucket.nextReturn < earliestReturn || bucket.nextReturn > now + longestQuotaReturn)
        bucket.nextReturn = earliestReturn;
    grant.retryAfter = bucket.nextReturn - now;
    bucket.nextReturn += seconds(refused / bucket.refillRate);
}

double QuotaBuckets::tokens(const AccountId& tenant) const
{
    auto bucket = m_buckets.find(tenant);
    return bucket == m_buckets.end() ? 0 : bucket->second.tokens.tokens();
}

}
