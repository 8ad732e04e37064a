#pragma once

#include <LibDecision/Membership/RecordKey.h>
#include <LibDecision/Turn.h>

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace Decision {

// Queue of the rumors that this process still sends. Each is sent a number of times that grows with the logarithm of
// the fleet size. For an ordinary rumor, a received duplicate counts as a transmission; an urgent rumor is sent the
// full number of times and then piggybacked on a few probes. The queue is bounded in bytes.
class Dissemination {
public:
    // Queues a new rumor, replacing an older one with the same key.
    void add(Rumor, Urgency);
    // Called when this rumor is received; counts that as a transmission if the rumor is ordinary. Returns true if
    // exactly this rumor is queued, and so is known already.
    bool noteDuplicate(const RecordKey&, uint64_t contentHash);

    // Returns rumors to piggyback on one message: profile revisions, then other urgent rumors, then ordinary ones, each
    // with those sent least often first.
    std::vector<Rumor> takeForProbe(size_t members, size_t maximumBytes);
    // Returns urgent rumors for one message of which several copies are sent, profile revisions first.
    std::vector<Rumor> takeUrgent(size_t members, size_t copies, size_t maximumBytes);
    // Returns urgent profile revisions only. They are few and must come into force in time, so they are sent even when
    // other urgent rumors are held back.
    std::vector<Rumor> takeUrgentProfiles(size_t members, size_t copies, size_t maximumBytes);

    bool hasUrgent() const { return !m_profiles.empty() || !m_urgent.empty(); }
    // True if an urgent rumor has not been sent to any member yet.
    bool hasUnsentUrgent() const;
    size_t size() const { return m_entries.size(); }
    size_t bytes() const { return m_bytes; }

    // How many times one process sends a rumor in a fleet of that many members, including this process.
    static uint32_t transmissionLimit(size_t members, Urgency);

private:
    struct Entry {
        Rumor rumor;
        uint64_t contentHash { 0 };
        size_t bytes { 0 };
        Urgency urgency { Urgency::Piggyback };
        uint32_t transmissions { 0 };
        uint64_t sequence { 0 };
    };
    // Orders by number of transmissions, then newest first.
    struct Rank {
        uint32_t transmissions { 0 };
        uint64_t age { 0 };
        const RecordKey* key { nullptr };

        bool operator<(const Rank& other) const;
    };
    using Queue = std::set<Rank>;
    using Entries = std::unordered_map<RecordKey, Entry>;

    static Rank rankOf(const Entries::value_type&);
    Queue& queueOf(const Entry&);
    void remove(const RecordKey&);
    void countTransmissions(const RecordKey&, uint32_t count);
    void expire(size_t members);
    void evictToBound();
    // Moves urgent rumors that have reached their transmission limit to the ordinary queue, with a few transmissions
    // left to piggyback on probes.
    void demoteUrgent(Queue&, size_t members);
    // Adds rumors of the queue that are below the transmission limit to a message while they fit into the budget in
    // bytes, and counts that many copies of each as transmissions.
    void take(Queue&, uint32_t limit, uint32_t copies, size_t& budget, std::vector<Rumor>& message);

    Entries m_entries;
    // Urgent profile revisions.
    Queue m_profiles;
    // Other urgent rumors.
    Queue m_urgent;
    Queue m_ordinary;
    size_t m_bytes { 0 };
    uint64_t m_lastSequence { 0 };
};

}
