#include <LibDecision/Membership/SyncSession.h>

namespace Decision {

namespace {

    constexpr uint32_t maximumFailures = 5;

}

void SyncSession::begin(SyncPeer peer, const std::vector<uint32_t>& buckets)
{
    m_peer = std::move(peer);
    m_pendingBuckets.assign(buckets.begin(), buckets.end());
    m_batch.clear();
    m_failures = 0;
}

bool SyncSession::retryWith(SyncPeer peer)
{
    if (++m_failures > maximumFailures) {
        abandon();
        return false;
    }
    m_peer = std::move(peer);
    m_pendingBuckets.insert(m_pendingBuckets.begin(), m_batch.begin(), m_batch.end());
    m_batch.clear();
    return true;
}

bool SyncSession::finishBatch(const std::vector<uint32_t>& buckets)
{
    if (m_batch.empty() || buckets != m_batch)
        return false;
    m_batch.clear();
    return true;
}

void SyncSession::abandon()
{
    m_pendingBuckets.clear();
    m_batch.clear();
}

uint32_t SyncSession::takeBucket()
{
    auto bucket = m_pendingBuckets.front();
    m_pendingBuckets.pop_front();
    m_batch.push_back(bucket);
    return bucket;
}

}
