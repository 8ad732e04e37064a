#pragma once

#include <LibDecision/Charts.h>
#include <LibDecision/Message.h>
#include <LibModel/Time.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

enum class ClaimState {
    Running,
    Finished,
    Unknown,
    Freed,
};

enum class ClaimEvent {
    Answered,
    OutcomeLost,
    NotRun,
};

}

template <>
struct Model::EnumNames<Decision::ClaimState> {
    static constexpr std::array entries {
        EnumName { Decision::ClaimState::Running, "running" },
        EnumName { Decision::ClaimState::Finished, "finished" },
        EnumName { Decision::ClaimState::Unknown, "unknown" },
        EnumName { Decision::ClaimState::Freed, "freed" },
    };
};

template <>
struct Model::EnumNames<Decision::ClaimEvent> {
    static constexpr std::array entries {
        EnumName { Decision::ClaimEvent::Answered, "answered" },
        EnumName { Decision::ClaimEvent::OutcomeLost, "outcome-lost" },
        EnumName { Decision::ClaimEvent::NotRun, "not-run" },
    };
};

namespace Decision {

using ClaimChart = TypedChart<ClaimState, ClaimEvent>;

// An idempotency key of one account. The table supplies the service and the partition.
struct ClaimKey {
    AccountId account;
    IdempotencyKey key;

    bool operator==(const ClaimKey&) const = default;
};

}

template <>
struct std::hash<Decision::ClaimKey> {
    size_t operator()(const Decision::ClaimKey& claim) const noexcept
    {
        return std::hash<Model::AccountId> {}(claim.account) * 31 + std::hash<Model::IdempotencyKey> {}(claim.key);
    }
};

namespace Decision {

// One incarnation of a process: a restarted process has the same instance and a higher incarnation.
struct ProcessIncarnation {
    InstanceId instance;
    Incarnation incarnation;

    bool operator==(const ProcessIncarnation&) const = default;
};

// The use of a key by one request, as the holder of the key's partition records it.
struct Claim {
    Fingerprint fingerprint;
    RequestId request;
    // The sidecar that runs the request and keeps its outcome, and the sequence of that sidecar's ClaimRequest.
    ProcessIncarnation owner;
    uint64_t sequence { 0 };
    ClaimState state { ClaimState::Running };
    // If the claim is still running at this instant, the outcome's message may be lost.
    Instant outcomeDue;
    Instant expiresAt;
};

// The claims of one partition. A claim is removed when it expires, or earlier if its request didn't run.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimChart&);

    // Returns nullptr if the key is free.
    const Claim* find(const ClaimKey&) const;
    // The key must be free.
    void insert(const ClaimKey&, Claim);
    // Records the end of a claim. Only the first outcome counts. An outcome from another owner or with another sequence
    // is ignored.
    void recordOutcome(const ProcessIncarnation& owner, const ClaimOutcome&);

    void removeExpired(Instant now);
    void clear();
    size_t size() const { return m_claims.size(); }

    std::vector<ClaimEntry> entries(Instant now) const;
    void adopt(const std::vector<ClaimEntry>&, Instant now);

private:
    struct Slot {
        Claim claim;
        std::multimap<Instant, const ClaimKey*>::iterator expiry;
    };
    using Slots = std::unordered_map<ClaimKey, Slot>;

    void advance(Slots::iterator, ClaimEvent);

    const ClaimChart* m_chart;
    Slots m_claims;
    std::multimap<Instant, const ClaimKey*> m_expiries;
};

// Returns true if the request is a duplicate of the one that created the claim.
bool isSameClaim(const Claim&, const ProcessIncarnation& requester, const ClaimRequest&);

}
