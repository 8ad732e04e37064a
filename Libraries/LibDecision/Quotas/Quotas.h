#pragma once

#include <LibDecision/Claims/HolderFinder.h>
#include <LibDecision/Quotas/QuotaHolder.h>
#include <LibDecision/Quotas/QuotaRequester.h>

#include <algorithm>
#include <bit>
#include <bitset>
#include <functional>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Decision {

// Keeps the quotas of tenants over all processes. Tenants are hashed to a constant number of partitions. One process at a
// time, the holder, has the token buckets of a partition's tenants, fenced by a lease in the store. An ingress asks the
// holder for a token for each request of a tenant with a quota. Without such tenants there are no messages, no store
// calls and no timers.
template <ClaimPeers Peers>
class Quotas {
public:
    Quotas(const QuotaTerms& terms, const MemberRecord& self, const Peers& peers)
        : m_self { self.instance, self.incarnation }
        , m_peers(peers)
        , m_holder(m_self, m_directory, terms)
        , m_requester(m_self, m_directory, terms, [this](uint32_t partition) { return candidatesOf(partition); })
    {
    }

    // Takes the route table in force; calling it again with the same table costs nothing.
    void setTable(Turn& turn, const std::shared_ptr<const RouteTable>& table)
    {
        bool wasActive = isActive();
        if (!table || !m_directory.setTable(table) || wasActive == isActive())
            return;
        if (!isActive()) {
            m_rankAt.reset();
            m_holder.stop(turn);
            m_requester.releaseAll(turn);
            return;
        }
        m_requester.start(turn.now());
        m_rankAt = turn.now() + settlingTime;
        m_settleUntil = turn.now() + longestSettling;
    }

    // Returns the tenant's quota; null if it has none.
    const Tenant* find(const AccountId& tenant) const { return m_directory.find(tenant); }

    // The call, whose account is the tenant's name, waits until takeDecisions() returns it.
    void arrive(Turn& turn, const CallArrived& call, const Tenant& tenant)
    {
        observe(turn, call.suspendedTime);
        m_requester.arrive(turn, call, tenant, m_clock);
        flush(turn);
    }
    void callerGone(CallId call) { m_requester.callerGone(call); }
    std::vector<QuotaDecision> takeDecisions() { return m_requester.takeDecisions(); }

    void receive(Turn& turn, const Message& message, Duration suspendedTime)
    {
        if (const auto* request = std::get_if<QuotaRequest>(&message.body)) {
            observe(turn, suspendedTime);
            if (mustForward(*request))
                return forward(turn, message, *request);
            auto version = request->requester.isEmpty() ? message.routesVersion : request->requesterRoutesVersion;
            turn.emit(SendMessage { message.fromControl, message.from, answer(turn, { message.from, message.fromIncarnation }, version, *request) });
        } else if (const auto* reply = std::get_if<QuotaReply>(&message.body)) {
            observe(turn, suspendedTime);
            bool isForOther = !reply->requester.isEmpty() && reply->requester != m_self.instance;
            if (isForOther)
                return send(turn, reply->requester, *reply);
            m_requester.receive(turn, message.from, *reply, m_clock);
            flush(turn);
        }
    }

    void noteReply(Turn& turn, const PlatformReply& reply) { m_holder.noteReply(turn, reply); }
    // Returns false if the reply belongs to another component.
    bool handleReply(Turn& turn, const PlatformReply& reply)
    {
        bool isHandled = m_holder.handleReply(turn, reply);
        for (const auto& [partition, holder] : m_holder.takeHandoverWishes())
            send(turn, holder, QuotaRequest { 0, partition, {}, true });
        return isHandled;
    }

    std::optional<Instant> nextTimer() const
    {
        auto next = m_holder.nextTimer();
        return isActive() ? earliest(earliest(next, m_rankAt), m_requester.nextTimer()) : next;
    }

    void handleTimer(Turn& turn)
    {
        m_holder.handleTimer(turn);
        if (!isActive())
            return;
        if (m_rankAt && *m_rankAt <= turn.now())
            rank(turn);
        m_requester.handleTimer(turn);
        flush(turn);
    }

    void leave(Turn& turn) { m_holder.leave(turn); }
    void refuseAll(Turn& turn) { m_requester.refuseAll(turn); }
    bool isIdle() const { return m_holder.isIdle() && m_requester.isEmpty(); }
    size_t waitingCount() const { return m_requester.waitingCount(); }

    bool isActive() const { return !m_directory.isEmpty(); }
    const QuotaDirectory& directory() const { return m_directory; }
    const QuotaHolder& holder() const { return m_holder; }
    const QuotaRequester& requester() const { return m_requester; }

private:
    static constexpr size_t candidateCount = 3;
    static constexpr size_t fewestHolders = 16;
    static constexpr size_t processesPerHolder = 8;
    // A process that has just started knows too few others to tell which partitions it should hold.
    static constexpr Duration settlingTime = 2s;
    // A fleet that starts learns its members for longer than this. A partition that a process acquires too early is in the
    // wrong hands for a while, but one without a holder refuses the first requests.
    static constexpr Duration longestSettling = 4s;
    // How often a process determines which partitions it should hold.
    static constexpr Duration rankInterval = 2s;
    // A process that reaches no other one of a fleet of this size gives up its partitions, because nobody can ask it. In
    // smaller fleets all others may really be gone.
    static constexpr size_t isolationFleetSize = 10;

    void observe(Turn& turn, Duration suspendedTime)
    {
        if (!m_clock.observe(suspendedTime))
            return;
        m_holder.suspended(turn.now());
        m_requester.suspended(turn.now());
    }

    std::vector<InstanceId> candidatesOf(uint32_t partition) const
    {
        return rendezvousChoice(topicOf(partition), m_peers.liveMembers(), candidateCount);
    }

    bool isFirstCandidate(uint32_t partition, const InstanceId& instance) const
    {
        auto topic = topicOf(partition);
        auto weight = rendezvousWeight(topic, instance.value());
        return std::ranges::none_of(m_peers.liveMembers(), [&](const InstanceId& member) { return rendezvousWeight(topic, member.value()) > weight; });
    }

    // The partitions of one group have the same candidates. Each holder renews a lease in the store twice a second, which is
    // paid for, so a fleet of some hundred processes has fewer holders than partitions. The number of groups depends on the
    // fleet only above 256 processes, because a view of the members that is still growing would move partitions about.
    std::string topicOf(uint32_t partition) const
    {
        auto groups = std::clamp<size_t>(std::bit_floor(m_peers.liveMembers().size() / processesPerHolder), fewestHolders, quotaPartitionCount);
        return "quota/" + std::to_string(partition % groups);
    }

    void rank(Turn& turn)
    {
        m_rankAt = turn.now() + rankInterval;
        m_largestFleet = std::max(m_largestFleet, m_peers.liveMembers().size());
        if (m_peers.liveMembers().size() < 2 && m_largestFleet >= isolationFleetSize)
            return m_holder.stop(turn);
        // While members are still being learned, each process takes itself for the first candidate of many partitions.
        auto fingerprint = fingerprintOfMembers();
        bool isSettled = fingerprint == std::exchange(m_seenMembers, fingerprint);
        bool mustSettle = m_candidacies || turn.now() < m_settleUntil;
        if (mustSettle && !isSettled)
            return;
        if (!m_candidacies || fingerprint != m_rankedMembers) {
            m_rankedMembers = fingerprint;
            m_candidacies.emplace();
            for (uint32_t partition = 0; partition < quotaPartitionCount; ++partition)
                m_candidacies->set(partition, isFirstCandidate(partition, m_self.instance));
        }
        std::vector<uint32_t> own;
        for (uint32_t partition = 0; partition < quotaPartitionCount; ++partition) {
            if (m_candidacies->test(partition) && m_directory.hasPartition(partition))
                own.push_back(partition);
        }
        m_holder.setCandidacies(turn, std::move(own));
    }

    // Ranking takes far longer than this, so it is done only when the members changed.
    uint64_t fingerprintOfMembers() const
    {
        const auto& members = m_peers.liveMembers();
        return std::transform_reduce(members.begin(), members.end(), uint64_t { 0 }, std::plus {}, [](const InstanceId& member) { return stableHash({ member.value() }); });
    }

    QuotaReply answer(Turn& turn, const ProcessIncarnation& from, Revision routesVersion, const QuotaRequest& request)
    {
        bool isFirst = request.wantsHandover && request.partition < quotaPartitionCount && isFirstCandidate(request.partition, from.instance);
        return m_holder.answer(turn, { from, routesVersion, isFirst, request });
    }

    // A request is forwarded once at most, and not to a process that is gone: then this one is asked for the holder.
    bool mustForward(const QuotaRequest& request) const
    {
        bool hasOtherHolder = !request.forwardTo.isEmpty() && request.forwardTo != m_self.instance;
        return hasOtherHolder && request.requester.isEmpty() && m_peers.find(request.forwardTo) && m_peers.isReachable(request.forwardTo);
    }

    void forward(Turn& turn, const Message& message, QuotaRequest request)
    {
        auto holder = std::exchange(request.forwardTo, {});
        request.requester = message.from;
        request.requesterRoutesVersion = message.routesVersion;
        send(turn, holder, std::move(request));
    }

    void send(Turn& turn, const InstanceId& to, MessageBody body)
    {
        const auto* member = m_peers.find(to);
        if (member)
            turn.emit(SendMessage { member->control, to, std::move(body) });
    }

    // Asks what is due. A question to this process itself is answered at once.
    void flush(Turn& turn)
    {
        m_requester.ask(turn, m_clock);
        auto requests = m_requester.takeRequests();
        while (!requests.empty()) {
            for (auto& outgoing : requests) {
                if (outgoing.to == m_self.instance)
                    m_requester.receive(turn, m_self.instance, answer(turn, m_self, m_directory.version(), outgoing.request), m_clock);
                else
                    send(turn, outgoing.to, std::move(outgoing.request));
            }
            m_requester.ask(turn, m_clock);
            requests = m_requester.takeRequests();
        }
    }

    ProcessIncarnation m_self;
    const Peers& m_peers;
    QuotaDirectory m_directory;
    SuspensionClock m_clock;
    QuotaHolder m_holder;
    QuotaRequester m_requester;
    // When to determine again which partitions this process should hold.
    std::optional<Instant> m_rankAt;
    // Until when the first ranking waits for a view of the members that doesn't change.
    Instant m_settleUntil;
    size_t m_largestFleet { 0 };
    // The partitions whose first candidate this process is, and the members that they were determined from.
    std::optional<std::bitset<quotaPartitionCount>> m_candidacies;
    uint64_t m_rankedMembers { 0 };
    // The members at the last ranking.
    uint64_t m_seenMembers { 0 };
};

}
