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

// A key of one account. The service and the partition are those of the table.
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

// A process in one of its lives.
struct ProcessIncarnation {
    InstanceId instance;
    Incarnation incarnation;

    bool operator==(const ProcessIncarnation&) const = default;
};

// One use of a key, as its holder knows it.
struct Claim {
    Fingerprint fingerprint;
    RequestId request;
    // The sidecar that runs the request and keeps its outcome, and the sequence of its ClaimRequest.
    ProcessIncarnation owner;
    uint64_t sequence { 0 };
    ClaimState state { ClaimState::Running };
    // A claim that still runs at this instant may have lost its outcome.
    Instant outcomeDue;
    Instant expiresAt;
};

// The claims of one partition. A key is forgotten only when its claim no longer counts.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimChart&);

    // Gives nothing if the key is free.
    const Claim* find(const ClaimKey&) const;
    // The key must be free.
    void insert(const ClaimKey&, Claim);
    // Records the end of a claim. Only the first outcome of a claim counts; one that doesn't match is ignored.
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

// Says whether the request asks for the very claim, because its message came twice.
bool isSameClaim(const Claim&, const ProcessIncarnation& requester, const ClaimRequest&);

}
