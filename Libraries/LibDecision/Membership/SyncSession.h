#pragma once

#include <LibModel/Endpoint.h>
#include <LibModel/Identifiers.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace Decision {

using namespace Model;

// The process that a sync exchanges records with.
struct SyncPeer {
    InstanceId instance;
    Endpoint control;
};

// One anti-entropy sync at the process that began it: the buckets still to exchange, a batch at a time.
class SyncSession {
public:
    void begin(SyncPeer, const std::vector<uint32_t>& buckets);
    // Continues with another process after one that didn't answer, starting with the unfinished batch. Returns false
    // and abandons the sync if too many processes didn't answer.
    bool retryWith(SyncPeer);
    // Ends the batch that waits for an answer. Returns false if the buckets aren't those of that batch.
    bool finishBatch(const std::vector<uint32_t>& buckets);
    void abandon();

    // Moves the next bucket into the current batch and returns it.
    uint32_t takeBucket();
    bool hasBuckets() const { return !m_pendingBuckets.empty(); }
    bool isActive() const { return !m_pendingBuckets.empty() || !m_batch.empty(); }
    const std::vector<uint32_t>& batch() const { return m_batch; }
    const SyncPeer& peer() const { return m_peer; }

private:
    SyncPeer m_peer;
    std::deque<uint32_t> m_pendingBuckets;
    std::vector<uint32_t> m_batch;
    uint32_t m_failures { 0 };
};

}
