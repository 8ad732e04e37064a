#pragma once

#include <LibDecision/Claims/ClaimTable.h>
#include <LibDecision/Claims/HolderDirectory.h>
#include <LibDecision/Message.h>

#include <algorithm>
#include <concepts>
#include <optional>
#include <vector>

namespace Decision {

// The membership interface that claims need.
template <typename T>
concept ClaimPeers = requires(const T& peers, const InstanceId& instance)
{
    {
        peers.self()
        } -> std::same_as<const MemberRecord&>;
    {
        peers.find(instance)
        } -> std::same_as<const MemberRecord*>;
    {
        peers.isReachable(instance)
        } -> std::same_as<bool>;
    {
        peers.liveMembers()
        } -> std::same_as<const std::vector<InstanceId>&>;
};

// The backend registry interface that claims need.
template <typename T>
concept ClaimBackends = requires(const T& backends, const ServiceName& service)
{
    {
        backends.backendsOf(service)
        } -> std::same_as<const std::vector<const BackendRecord*>&>;
    {
        backends.profileOf(service)
        } -> std::same_as<ProfileName>;
};

// Finds the process to request a partition's claims from: the known holder if it is live, otherwise the process that
// rendezvous hashing chooses as the next holder. Processes with the same view of the fleet choose the same one.
template <ClaimPeers Peers, ClaimBackends Backends>
class HolderFinder {
public:
    HolderFinder(const Peers& peers, const Backends& backends)
        : m_peers(peers)
        , m_backends(backends)
    {
    }

    // Returns std::nullopt if there is no candidate.
    std::optional<InstanceId> find(const PartitionId& id, const HolderDirectory& directory) const
    {
        const auto* known = directory.find(id);
        if (known && isLive({ known->holder, known->holderIncarnation }))
            return known->holder;
        return choose(id, false);
    }

    // Returns the process that should hold the partition after this one, or an empty id if there is none.
    InstanceId successor(const PartitionId& id) const { return choose(id, true).value_or(InstanceId()); }

    // Returns true if this incarnation of the process is dead, restarted or unknown.
    bool isGone(const ProcessIncarnation& process) const
    {
        const auto* member = m_peers.find(process.instance);
        if (!member || member->incarnation > process.incarnation)
            return true;
        return member->incarnation == process.incarnation && member->state == MemberState::Dead;
    }

private:
    bool isLive(const ProcessIncarnation& process) const
    {
        const auto* member = m_peers.find(process.instance);
        return member && member->incarnation == process.incarnation && isUp(*member);
    }

    static bool isUp(const MemberRecord& member) { return member.state == MemberState::Alive || member.state == MemberState::Suspect; }

    std::optional<InstanceId> choose(const PartitionId& id, bool excludesSelf) const
    {
        auto candidates = sidecarsOf(id.service, excludesSelf);
        if (candidates.empty())
            candidates = membersOfRegion(excludesSelf);
        const auto* chosen = chooseByRendezvous(id, candidates);
        if (!chosen)
            return std::nullopt;
        return *chosen;
    }

    std::vector<InstanceId> sidecarsOf(const ServiceName& service, bool excludesSelf) const
    {
        std::vector<InstanceId> sidecars;
        for (const auto* backend : m_backends.backendsOf(service)) {
            const auto* member = m_peers.find(backend->sidecar);
            if (member && isUp(*member) && !(excludesSelf && isSelf(backend->sidecar)))
                sidecars.push_back(backend->sidecar);
        }
        return sidecars;
    }

    std::vector<InstanceId> membersOfRegion(bool excludesSelf) const
    {
        std::vector<InstanceId> members;
        std::ranges::copy_if(m_peers.liveMembers(), std::back_inserter(members), [&](const auto& instance) {
            const auto* member = m_peers.find(instance);
            return member && member->region == m_peers.self().region && !(excludesSelf && isSelf(instance));
        });
        return members;
    }

    bool isSelf(const InstanceId& instance) const { return instance == m_peers.self().instance; }

    const Peers& m_peers;
    const Backends& m_backends;
};

}
