#pragma once

#include <LibDecision/Admission/FairQueue.h>

#include <map>
#include <unordered_map>

namespace Decision {

// A bounded queue that serves the most urgent requests first, and those of one priority fairly between accounts. When it
// is full, a request displaces a less urgent one.
//
// It answers overload: while more requests arrive than the backend servers can run, the slots go to the requests that
// matter most, and the others learn at once that they have not run.
class PriorityQueue {
public:
    // Priority 0 is the most urgent. For usage, cost and turn see FairQueue.
    FairQueueOffer offer(SidecarCallId, uint32_t priority, const AccountId&, double usage, double cost, const FairQueueLimits&, uint64_t turn = 0);
    // Returns the request to be served next, or nullopt if none waits.
    std::optional<SidecarCallId> front() const;
    // Does nothing if the request isn't in the queue.
    void remove(SidecarCallId);
    // Updates the account's recent usage and its turn in all priorities.
    void setUsage(const AccountId&, double usage, uint64_t turn = 0);

    size_t size() const { return m_priorities.size(); }
    // Number of waiting requests that would be served before a new one of this priority.
    size_t countAhead(uint32_t priority) const;
    // The same if the accounts of one priority take turns.
    size_t countAheadInTurns(uint32_t priority, const AccountId&) const;
    bool isEmpty() const { return m_priorities.empty(); }

private:
    // Contains only priorities with waiting requests.
    std::map<uint32_t, FairQueue> m_queues;
    std::unordered_map<SidecarCallId, uint32_t> m_priorities;
};

}
