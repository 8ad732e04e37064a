#pragma once

#include <LibDecision/Membership/RecordKey.h>
#include <LibModel/Time.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// Stores the latest record of each kind and key, in buckets by the key's hash. Each bucket's hash is updated with every
// change, so that two processes find out which buckets differ without listing records.
//
// Bucket hashes leave tombstones out: a process that never knew a member or backend server needn't learn that it is
// gone. A process that holds an earlier record has a different hash and gets the tombstone with the bucket. Thus each
// process can drop tombstones by itself after a retention time, and they never come back.
class AntiEntropy {
public:
    static constexpr uint32_t bucketCount = 512;
    // Buckets from this one on hold backend servers, the ones before it all other records. Backend servers are numerous
    // and members are needed first, so each have buckets of their own.
    static constexpr uint32_t firstBackendBucket = 64;

    // Stores the record, replacing an earlier one with the same key.
    void put(Instant now, const Rumor&, uint64_t contentHash);
    // Drops tombstones whose retention time is over.
    void expire(Instant now);

    bool contains(const RecordKey&) const;
    // True if the stored record with this key has this content hash.
    bool holds(const RecordKey&, uint64_t contentHash) const;

    std::vector<uint64_t> digest() const;
    bool matches(const std::vector<uint64_t>& digest) const;
    // Returns the buckets whose hash differs from the digest's, those of members and profiles first, or none if the
    // digest has the wrong size. Leaves out buckets that changed here after the given instant, because a rumor that is
    // still being disseminated explains the difference.
    std::vector<uint32_t> differingBuckets(const std::vector<uint64_t>& digest, std::optional<Instant> settledSince) const;

    // Appends the records of one bucket, tombstones included.
    void appendRecords(uint32_t bucket, std::vector<Rumor>&) const;
    // Upper estimate of the bytes of these records in a message.
    size_t bytesOf(uint32_t bucket) const { return m_buckets[bucket].bytes; }
    size_t size() const { return m_size; }

private:
    struct Stored {
        Rumor rumor;
        uint64_t contentHash { 0 };
        size_t bytes { 0 };
    };
    struct Bucket {
        std::unordered_map<RecordKey, Stored> records;
        uint64_t hash { 0 };
        size_t bytes { 0 };
        Instant changedAt {};
    };
    struct Expiry {
        Instant at;
        RecordKey key;
        uint64_t contentHash { 0 };
    };

    static uint32_t bucketOf(const RecordKey&);
    static void remove(Bucket&, const Stored&);
    const Stored* find(const RecordKey&) const;

    std::array<Bucket, bucketCount> m_buckets;
    std::deque<Expiry> m_expiries;
    size_t m_size { 0 };
};

}
