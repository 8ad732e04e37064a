#include <LibDecision/Membership/ProbeSchedule.h>

#include <algorithm>

namespace Decision {

void ProbeSchedule::add(const InstanceId& peer, std::mt19937_64& random)
{
    m_round.push_back(peer);
    std::uniform_int_distribution<size_t> positions(0, m_round.size() - 1);
    std::swap(m_round.back(), m_round[positions(random)]);
}

std::optional<InstanceId> ProbeSchedule::next(const PeerSet& peers, std::mt19937_64& random)
{
    if (peers.isEmpty())
        return std::nullopt;
    while (true) {
        if (m_round.empty()) {
            m_round = peers.all();
            std::ranges::shuffle(m_round, random);
        }
        auto peer = std::move(m_round.back());
        m_round.pop_back();
        if (peers.contains(peer))
            return peer;
    }
}

}
