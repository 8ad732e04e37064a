#include <LibDecision/Admission/PriorityQueue.h>

#include <algorithm>

namespace Decision {

FairQueueOffer PriorityQueue::offer(SidecarCallId call, uint32_t priority, const AccountId& account, double usage, double cost, const FairQueueLimits& limits, uint64_t turn)
{
    std::optional<SidecarCallId> displaced;
    bool isFull = !isEmpty() && size() >= limits.length;
    if (isFull && m_queues.rbegin()->first > priority) {
        displaced = m_queues.rbegin()->second.newestOfHeaviestAccount();
        remove(*displaced);
    }
    // The queue of this priority is full if all priorities together are.
    auto& queue = m_queues[priority];
    auto others = size() - queue.size();
    auto offer = queue.offer(call, account, usage, cost, { limits.length - std::min(limits.length, others), limits.maximumAccountShare }, turn);
    if (offer.displaced)
        m_priorities.erase(*offer.displaced);
    if (offer.isAccepted)
        m_priorities.emplace(call, priority);
    else if (queue.isEmpty())
        m_queues.erase(priority);
    if (displaced)
        offer.displaced = displaced;
    return offer;
}

std::optional<SidecarCallId> PriorityQueue::front() const
{
    return isEmpty() ? std::nullopt : m_queues.begin()->second.front();
}

void PriorityQueue::remove(SidecarCallId call)
{
    auto priority = m_priorities.find(call);
    if (priority == m_priorities.end())
        return;
    auto queue = m_queues.find(priority->second);
    queue->second.remove(call);
    if (queue->second.isEmpty())
        m_queues.erase(queue);
    m_priorities.erase(priority);
}

size_t PriorityQueue::countAhead(uint32_t priority) const
{
    size_t count = 0;
    for (const auto& [other, queue] : m_queues)
        count += other <= priority ? queue.size() : 0;
    return count;
}

size_t PriorityQueue::countAheadInTurns(uint32_t priority, const AccountId& account) const
{
    size_t count = 0;
    for (const auto& [other, queue] : m_queues)
        count += other < priority ? queue.size() : other == priority ? queue.countAheadInTurns(account)
                                                                     : 0;
    return count;
}

void PriorityQueue::setUsage(const AccountId& account, double usage, uint64_t turn)
{
    for (auto& [priority, queue] : m_queues)
        queue.setUsage(account, usage, turn);
}

}
