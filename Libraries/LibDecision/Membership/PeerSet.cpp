#include <LibDecision/Membership/PeerSet.h>

#include <algorithm>

namespace Decision {

bool PeerSet::insert(const InstanceId& peer)
{
    if (!m_positions.try_emplace(peer, m_peers.size()).second)
        return false;
    m_peers.push_back(peer);
    return true;
}

bool PeerSet::erase(const InstanceId& peer)
{
    auto item = m_positions.find(peer);
    if (item == m_positions.end())
        return false;
    auto position = item->second;
    m_positions.erase(item);
    if (position + 1 != m_peers.size()) {
        m_peers[position] = std::move(m_peers.back());
        m_positions[m_peers[position]] = position;
    }
    m_peers.pop_back();
    return true;
}

std::vector<InstanceId> PeerSet::draw(size_t count, std::mt19937_64& random) const
{
    std::vector<InstanceId> drawn;
    auto wanted = std::min(count, m_peers.size());
    while (drawn.size() < wanted) {
        std::uniform_int_distribution<size_t> positions(0, m_peers.size() - 1);
        const auto& peer = m_peers[positions(random)];
        if (std::ranges::find(drawn, peer) == drawn.end())
            drawn.push_back(peer);
    }
    return drawn;
}

}
