#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Outcome.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Decision {

using namespace Model;

struct FairQueueLimits {
    // Maximum number of waiting requests.
    size_t length { 0 };
    // Fraction of the length, 0 to 1, that one account may occupy while others wait.
    double maximumAccountShare { 1 };
};

// Result of offering a request to the queue.
struct FairQueueOffer {
    bool isAccepted { false };
    // Why the request wasn't accepted.
    Reason reason { Reason::None };
    // A waiting request that was removed from the queue to make room.
    std::optional<SidecarCallId> displaced;
};

// A bounded fair queue that serves the account with the lowest turn first, then the one with the least recent usage, and the
// requests of one account in order of arrival. Without tenants all turns are 0. The projected usage of an account is its recent usage plus the expected cost of its waiting
// requests. When the queue is full, a new request displaces the newest request of the account with the highest
// projected usage, unless that doesn't exceed the projected usage of the new request's own account. Operations take
// logarithmic time in the queue's length.
class FairQueue {
public:
    // The usage is the account's recent usage; the cost is the expected usage of one request, in the same unit.
    FairQueueOffer offer(SidecarCallId, const AccountId&, double usage, double cost, const FairQueueLimits&, uint64_t turn = 0);
    // Returns the request to be served next, or nullopt if none waits.
    std::optional<SidecarCallId> front() const;
    // Does nothing if the request isn't in the queue.
    void remove(SidecarCallId);
    // Updates the account's recent usage and its turn; does nothing if none of its requests wait.
    void setUsage(const AccountId&, double usage, uint64_t turn = 0);
    // Number of waiting requests that would be served before a new one of this account if accounts take turns.
    size_t countAheadInTurns(const AccountId&) const;

    // The request that a full queue gives up first. The queue must not be empty.
    SidecarCallId newestOfHeaviestAccount() const { return m_flows.at(m_projectedUsageOrder.rbegin()->account).calls.rbegin()->second; }

    size_t size() const { return m_positions.size(); }
    bool isEmpty() const { return m_positions.empty(); }

private:
    // The waiting requests of one account.
    struct Flow {
        uint64_t turn { 0 };
        double usage { 0 };
        double cost { 0 };
        // Requests by arrival number.
        std::map<uint64_t, SidecarCallId> calls;

        double projectedUsage() const { return usage + cost * static_cast<double>(calls.size()); }
    };

    struct Position {
        AccountId account;
        uint64_t arrival { 0 };
    };

    // Orders accounts by their turn and a key, then by the arrival number of one of their requests.
    struct Rank {
        uint64_t turn { 0 };
        double key { 0 };
        uint64_t arrival { 0 };
        AccountId account;

        auto operator<=>(const Rank&) const = default;
    };

    static Rank serviceRank(const AccountId&, const Flow&);
    static Rank projectedUsageRank(const AccountId&, const Flow&);
    void addToIndexes(const AccountId&, const Flow&);
    void removeFromIndexes(const AccountId&, const Flow&);
    bool exceedsShare(const AccountId&, const FairQueueLimits&) const;
    std::optional<SidecarCallId> displaceFor(const AccountId&, double usage, double cost);

    std::unordered_map<AccountId, Flow> m_flows;
    std::unordered_map<SidecarCallId, Position> m_positions;
    std::set<Rank> m_serviceOrder;
    std::set<Rank> m_projectedUsageOrder;
    uint64_t m_lastArrival { 0 };
};

}
