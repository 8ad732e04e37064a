#pragma once

#include <LibModel/Identifiers.h>

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace Control {

// Replay protection with a sliding window for each sender. A sender numbers its messages from 1 and starts over with a
// new incarnation when it restarts. The last windowLength sequence numbers are accepted in any order; older numbers and
// messages from before the sender's restart count as replays.
class ReplayGuard {
public:
    static constexpr size_t windowLength = 1024;

    // Returns whether the message is new, and if so records it.
    bool accept(const Model::InstanceId& sender, Model::Incarnation startIncarnation, uint64_t sequence);

    // Number of senders.
    size_t size() const { return m_windows.size(); }

private:
    struct Window {
        Model::Incarnation startIncarnation;
        uint64_t highestSequence { 0 };
        // Bit n is set if the sequence number highestSequence - n was accepted.
        std::bitset<windowLength> seen;
    };

    std::unordered_map<Model::InstanceId, Window> m_windows;
};

}
