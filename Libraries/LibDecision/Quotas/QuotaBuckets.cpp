#include <LibDecision/Quotas/QuotaBuckets.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    Duration seconds(double count)
    {
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(count, 3600.0)));
    }

}

double QuotaBuckets::capacityOf(const Tenant& tenant) const { return std::max(tenant.burst + m_extraDepth, minimumCapacity); }

QuotaBuckets::Bucket& QuotaBuckets::bucketOf(Instant now, const Tenant& tenant)
{
    auto [entry, isNew] = m_buckets.try_emplace(tenant.name, Bucket { TokenBucket(capacityOf(tenant)), tenant.requestsPerSecond, now });
    auto& bucket = entry->second;
    if (isNew)
        bucket.tokens.startAt(m_startedAt);
    // The time until now counts at the rate that was in force.
    bucket.tokens.refill(bucket.requestsPerSecond, now);
    bucket.tokens.setLimit(capacityOf(tenant));
    bucket.requestsPerSecond = tenant.requestsPerSecond;
    return bucket;
}

QuotaGrant QuotaBuckets::take(Instant now, const Tenant& tenant, const QuotaNeed& need)
{
    auto& bucket = bucketOf(now, tenant);
    QuotaGrant grant { .tenant = tenant.name };
    auto available = [&] { return std::max(0.0, std::floor(bucket.tokens.tokens())); };
    grant.tokens = static_cast<uint32_t>(std::min<double>(need.tokens, available()));
    bucket.tokens.take(grant.tokens);
    if (grant.tokens < need.tokens) {
        spreadReturns(now, bucket, need.tokens - grant.tokens, grant);
        return grant;
    }
    // Tokens ahead that aren't used are lost, so they are granted only while there are plenty.
    auto plenty = std::max(0.0, std::floor(bucket.tokens.tokens() - capacityOf(tenant) / 2));
    grant.tokensAhead = static_cast<uint32_t>(std::min<double>(need.tokensAhead, plenty));
    bucket.tokens.take(grant.tokensAhead);
    return grant;
}

void QuotaBuckets::spreadReturns(Instant now, Bucket& bucket, uint32_t refused, QuotaGrant& grant)
{
    grant.nextToken = seconds((1 - bucket.tokens.tokens()) / bucket.requestsPerSecond);
    auto earliestReturn = now + grant.nextToken;
    if (bucket.nextReturn < earliestReturn || bucket.nextReturn > now + longestQuotaReturn)
        bucket.nextReturn = earliestReturn;
    grant.retryAfter = bucket.nextReturn - now;
    bucket.nextReturn += seconds(refused / bucket.requestsPerSecond);
}

double QuotaBuckets::tokens(const AccountId& tenant) const
{
    auto bucket = m_buckets.find(tenant);
    return bucket == m_buckets.end() ? 0 : bucket->second.tokens.tokens();
}

}
