#include <LibDecision/Admission/FairQueue.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Decision {

FairQueueOffer FairQueue::offer(SidecarCallId call, const AccountId& account, double usage, double cost, const FairQueueLimits& limits, uint64_t turn)
{
    FairQueueOffer offer;
    if (limits.length == 0) {
        offer.reason = Reason::QueueFull;
        return offer;
    }
    if (exceedsShare(account, limits)) {
        offer.reason = Reason::FairShareExceeded;
        return offer;
    }
    if (size() >= limits.length) {
        offer.displaced = displaceFor(account, usage, cost);
        if (!offer.displaced) {
            offer.reason = Reason::QueueFull;
            return offer;
        }
    }

    auto& flow = m_flows[account];
    removeFromIndexes(account, flow);
    auto arrival = ++m_lastArrival;
    flow.turn = turn;
    flow.usage = usage;
    flow.cost = cost;
    flow.calls.emplace(arrival, call);
    m_positions.emplace(call, Position { account, arrival });
    addToIndexes(account, flow);
    offer.isAccepted = true;
    return offer;
}

std::optional<SidecarCallId> FairQueue::front() const
{
    if (m_serviceOrder.empty())
        return std::nullopt;
    return m_flows.at(m_serviceOrder.begin()->account).calls.begin()->second;
}

void FairQueue::remove(SidecarCallId call)
{
    auto position = m_positions.find(call);
    if (position == m_positions.end())
        return;
    auto flow = m_flows.find(position->second.account);
    removeFromIndexes(flow->first, flow->second);
    flow->second.calls.erase(position->second.arrival);
    addToIndexes(flow->first, flow->second);
    if (flow->second.calls.empty())
        m_flows.erase(flow);
    m_positions.erase(position);
}

void FairQueue::setUsage(const AccountId& account, double usage, uint64_t turn)
{
    auto flow = m_flows.find(account);
    if (flow == m_flows.end())
        return;
    removeFromIndexes(account, flow->second);
    flow->second.turn = turn;
    flow->second.usage = usage;
    addToIndexes(account, flow->second);
}

size_t FairQueue::countAheadInTurns(const AccountId& account) const
{
    auto own = m_flows.find(account);
    auto waiting = own == m_flows.end() ? 0 : own->second.calls.size();
    // Until the new request's turn, each other account has as many turns as this one, and perhaps one more.
    return std::accumulate(m_flows.begin(), m_flows.end(), waiting, [&](size_t count, const auto& flow) {
        return flow.first == account ? count : count + std::min(flow.second.calls.size(), waiting + 1);
    });
}

FairQueue::Rank FairQueue::serviceRank(const AccountId& account, const Flow& flow)
{
    return { flow.turn, flow.usage, flow.calls.begin()->first, account };
}

FairQueue::Rank FairQueue::projectedUsageRank(const AccountId& account, const Flow& flow)
{
    return { 0, flow.projectedUsage(), flow.calls.rbegin()->first, account };
}

void FairQueue::addToIndexes(const AccountId& account, const Flow& flow)
{
    if (flow.calls.empty())
        return;
    m_serviceOrder.insert(serviceRank(account, flow));
    m_projectedUsageOrder.insert(projectedUsageRank(account, flow));
}

void FairQueue::removeFromIndexes(const AccountId& account, const Flow& flow)
{
    if (flow.calls.empty())
        return;
    m_serviceOrder.erase(serviceRank(account, flow));
    m_projectedUsageOrder.erase(projectedUsageRank(account, flow));
}

bool FairQueue::exceedsShare(const AccountId& account, const FairQueueLimits& limits) const
{
    auto flow = m_flows.find(account);
    bool isAlone = flow != m_flows.end() && m_flows.size() == 1;
    if (flow == m_flows.end() || isAlone)
        return false;
    auto allowed = std::max(1.0, std::floor(limits.maximumAccountShare * static_cast<double>(limits.length)));
    return static_cast<double>(flow->second.calls.size()) >= allowed;
}

std::optional<SidecarCallId> FairQueue::displaceFor(const AccountId& account, double usage, double cost)
{
    auto own = m_flows.find(account);
    auto waiting = own == m_flows.end() ? 0.0 : static_cast<double>(own->second.calls.size());
    const auto& highest = *m_projectedUsageOrder.rbegin();
    if (highest.account == account || highest.key <= usage + cost * (waiting + 1))
        return std::nullopt;
    auto displaced = newestOfHeaviestAccount();
    remove(displaced);
    return displaced;
}

}
