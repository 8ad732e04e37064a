#include <LibDecision/Membership/AntiEntropy.h>

#include <LibDecision/Membership/RecordSize.h>

#include <algorithm>

namespace Decision {

namespace {

    constexpr Duration tombstoneRetention = std::chrono::hours(1);

}

uint32_t AntiEntropy::bucketOf(const RecordKey& key)
{
    auto hash = stableHash(key);
    if (key.kind == RecordKind::Backend)
        return firstBackendBucket + static_cast<uint32_t>(hash % (bucketCount - firstBackendBucket));
    return static_cast<uint32_t>(hash % firstBackendBucket);
}

void AntiEntropy::put(Instant now, const Rumor& rumor, uint64_t hash)
{
    auto key = keyOf(rumor);
    auto& bucket = m_buckets[bucketOf(key)];
    auto [item, isNew] = bucket.records.try_emplace(key);
    if (!isNew)
        remove(bucket, item->second);
    item->second = { rumor, hash, estimatedSize(rumor) };
    bucket.bytes += item->second.bytes;
    bucket.changedAt = now;
    m_size += isNew ? 1 : 0;
    if (isTombstone(rumor)) {
        m_expiries.push_back({ now + tombstoneRetention, std::move(key), hash });
    } else {
        bucket.hash ^= hash;
    }
}

void AntiEntropy::remove(Bucket& bucket, const Stored& stored)
{
    bucket.bytes -= stored.bytes;
    if (!isTombstone(stored.rumor))
        bucket.hash ^= stored.contentHash;
}

void AntiEntropy::expire(Instant now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        auto expiry = std::move(m_expiries.front());
        m_expiries.pop_front();
        if (!holds(expiry.key, expiry.contentHash))
            continue;
        auto& bucket = m_buckets[bucketOf(expiry.key)];
        auto item = bucket.records.find(expiry.key);
        remove(bucket, item->second);
        bucket.records.erase(item);
        --m_size;
    }
}

const AntiEntropy::Stored* AntiEntropy::find(const RecordKey& key) const
{
    const auto& records = m_buckets[bucketOf(key)].records;
    auto item = records.find(key);
    return item == records.end() ? nullptr : &item->second;
}

bool AntiEntropy::contains(const RecordKey& key) const
{
    return find(key) != nullptr;
}

bool AntiEntropy::holds(const RecordKey& key, uint64_t contentHash) const
{
    const auto* stored = find(key);
    return stored && stored->contentHash == contentHash;
}

std::vector<uint64_t> AntiEntropy::digest() const
{
    std::vector<uint64_t> hashes(bucketCount);
    std::ranges::transform(m_buckets, hashes.begin(), &Bucket::hash);
    return hashes;
}

bool AntiEntropy::matches(const std::vector<uint64_t>& digest) const
{
    return std::ranges::equal(m_buckets, digest, std::ranges::equal_to {}, &Bucket::hash);
}

std::vector<uint32_t> AntiEntropy::differingBuckets(const std::vector<uint64_t>& digest, std::optional<Instant> settledSince) const
{
    std::vector<uint32_t> buckets;
    if (digest.size() != bucketCount)
        return buckets;
    for (uint32_t index = 0; index < bucketCount; ++index) {
        const auto& bucket = m_buckets[index];
        if (bucket.hash == digest[index])
            continue;
        if (settledSince && bucket.changedAt > *settledSince)
            continue;
        buckets.push_back(index);
    }
    return buckets;
}

void AntiEntropy::appendRecords(uint32_t bucket, std::vector<Rumor>& records) const
{
    std::ranges::transform(m_buckets[bucket].records, std::back_inserter(records), [](const auto& item) { return item.second.rumor; });
}

}
