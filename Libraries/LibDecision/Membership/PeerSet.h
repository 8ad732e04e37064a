#pragma once

#include <LibModel/Identifiers.h>

#include <random>
#include <unordered_map>
#include <vector>

namespace Decision {

using namespace Model;

// A set of members from which one can be drawn at random in constant time.
class PeerSet {
public:
    // Returns false if the member is already in the set.
    bool insert(const InstanceId&);
    // Returns false if the member isn't in the set.
    bool erase(const InstanceId&);

    bool contains(const InstanceId& peer) const { return m_positions.contains(peer); }
    bool isEmpty() const { return m_peers.empty(); }
    size_t size() const { return m_peers.size(); }
    const std::vector<InstanceId>& all() const { return m_peers; }

    // Draws up to count distinct members at random.
    std::vector<InstanceId> draw(size_t count, std::mt19937_64&) const;

private:
    std::vector<InstanceId> m_peers;
    std::unordered_map<InstanceId, size_t> m_positions;
};

}
