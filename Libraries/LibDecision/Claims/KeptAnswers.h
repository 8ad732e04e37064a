#pragma once

#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace Decision {

// The answers that this process keeps for resends of requests with an idempotency key. Their number is bounded; the
// oldest is evicted first.
class KeptAnswers {
public:
    explicit KeptAnswers(size_t maximumAnswers);

    // Keeps the complete answer of the sidecar call until the given instant.
    void keep(Turn&, SidecarCallId, const RequestInfo&, Instant until);
    // Returns the sidecar call whose answer is kept for the same key and request fingerprint, if any.
    std::optional<SidecarCallId> find(const RequestInfo&) const;

    std::optional<Instant> nextTimer() const { return m_expiries.next(); }
    void handleTimer(Turn&);
    size_t size() const { return m_answers.size(); }

private:
    struct ServiceKey {
        ServiceName service;
        ClaimKey key;

        bool operator==(const ServiceKey&) const = default;
    };
    struct Answer {
        ServiceKey key;
        Fingerprint fingerprint;
    };
    struct ServiceKeyHash {
        size_t operator()(const ServiceKey& key) const noexcept
        {
            return std::hash<ServiceName> {}(key.service) * 31 + std::hash<ClaimKey> {}(key.key);
        }
    };

    static ServiceKey keyOf(const RequestInfo&);
    void forget(Turn&, SidecarCallId);

    size_t m_maximumAnswers;
    // Ordered by sidecar call id. The ids increase, so that the oldest answer comes first.
    std::map<SidecarCallId, Answer> m_answers;
    std::unordered_map<ServiceKey, SidecarCallId, ServiceKeyHash> m_calls;
    TimerQueue<SidecarCallId> m_expiries;
};

}
