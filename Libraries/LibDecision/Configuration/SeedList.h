#pragma once

#include <LibDecision/Configuration/Backoff.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Turn.h>

#include <optional>
#include <unordered_set>
#include <vector>

namespace Decision {

// Maintains the list of seeds at the platform: a few control endpoints per availability zone, through which new
// processes join the fleet. The owner of each entry is chosen from the zone's live members by rendezvous hashing. The
// owner writes the entry only if it doesn't contain the owner's endpoint.
//
// The store may lose the list, as when it comes back from an old copy. Processes that start then find nobody and found a
// fleet of their own. So whoever sees the store come back checks the list several times: it writes missing entries on behalf
// of their owners, and hands on the endpoints of processes that it doesn't know.
class SeedList {
public:
    static constexpr size_t entriesPerZone = 3;

    SeedList(const MemberRecord& self, const Membership&);

    void start(Turn&);
    std::optional<Instant> nextTimer() const { return m_nextTimer; }
    void handleTimer(Turn&);
    // Returns false if the reply belongs to another component.
    bool handleReply(Turn&, const PlatformReply&);

    // Takes any reply of the store, to notice that it comes back after an outage or from a copy.
    void noteReply(Turn&, const PlatformReply&);
    // Returns the endpoints of other processes that were read since the last call.
    std::vector<Endpoint> takeSeeds() { return std::exchange(m_seeds, {}); }

private:
    std::string entryKey(size_t entry) const;
    bool isOwner(size_t entry, const std::vector<InstanceId>& candidates) const;
    void read(Turn&);
    void collectSeeds(const std::vector<KeyValue>&);
    void writeOwnEntries(Turn&, const std::vector<KeyValue>&);
    // Writes an entry unless it contains the endpoint already. The next read shows whether the write succeeded.
    void writeEntry(Turn&, const std::vector<KeyValue>&, size_t entry, const std::string& endpoint);
    // Writes the entries of the zone that are missing or name a process that isn't known to live.
    void repairEntries(Turn&, const std::vector<KeyValue>&);
    bool isLive(const std::string& endpoint) const;
    Duration delayAfterRead(Turn&);
    Duration delayAfterJoin(Turn&);
    bool isAlone() const;
    bool ownsAnyEntry() const;

    InstanceId m_self;
    ZoneName m_zone;
    std::string m_endpoint;
    const Membership& m_membership;
    std::optional<PlatformTag> m_pendingRead;
    std::unordered_set<PlatformTag> m_pendingWrites;
    // What a store told last of its era, and whether it gave no answer since.
    uint64_t m_era { 0 };
    bool m_wasSilent { false };
    // Number of checks that were made since the store came back; nullopt if none is left to make.
    std::optional<size_t> m_repairChecks;
    bool m_hasRead { false };
    bool m_hasJoined { false };
    std::optional<Instant> m_nextTimer;
    std::vector<Endpoint> m_seeds;
    Backoff m_backoff;
};

}
