#pragma once

#include <LibDecision/Claims/PartitionMap.h>
#include <LibDecision/Message.h>

#include <unordered_map>

namespace Decision {

// The latest known holder of each partition, learned from rumors and from the platform.
class HolderDirectory {
public:
    // Returns true if the holder supersedes the known one. A higher epoch supersedes. Within one epoch the greater
    // instance name does, then the higher incarnation; two holders of one epoch exist only after the platform lost
    // writes.
    bool apply(const ClaimHolder&);

    // Returns nullptr if no holder is known.
    const ClaimHolder* find(const PartitionId&) const;
    // Returns the highest known epoch, or 0 if no holder is known.
    ClaimEpoch epochOf(const PartitionId&) const;
    size_t size() const { return m_holders.size(); }

private:
    std::unordered_map<PartitionId, ClaimHolder> m_holders;
};

}
