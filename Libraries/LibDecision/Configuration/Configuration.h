#pragma once

#include <LibDecision/Configuration/ProfileBook.h>
#include <LibDecision/Configuration/ProfileWatch.h>
#include <LibDecision/Configuration/RevisionChart.h>
#include <LibDecision/Configuration/SeedList.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Turn.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// Adopts profile revisions, and watches the platform if this process is one of its zone's watchers.
//
// Adoption only grows: a revision comes in force if its number is higher than the one in force. Two publications with
// one number mean that the platform's store was restored to older data and published to anew. Then the greater publish
// id is in force everywhere, whichever order a process hears them in.
class Configuration {
public:
    // Processes of each zone that watch the platform.
    static constexpr size_t watchersPerZone = 3;

    Configuration(const MemberRecord& self, const Membership&, ProfileBook&);

    void start(Turn&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // Takes a revision that a rumor, a sync or the platform brought. Returns true if it is now in force; it is then
    // spread. One whose document is bad is rejected, explained, and not passed on.
    bool apply(Turn&, const ProfileRevision&);

    // Returns false if the reply belongs to another part.
    bool handleReply(Turn&, const PlatformReply&);

    // Control endpoints from the platform's seed lists, read since the last call; they go to Membership::addSeeds().
    std::vector<Endpoint> takeSeeds() { return m_seedList.takeSeeds(); }

    bool isWatcher() const { return m_watch.isEnabled(); }
    // By the last call that this part made; true before the first.
    bool isPlatformReachable() const { return m_isPlatformReachable; }

private:
    void elect(Turn&);
    void takeFromPlatform(Turn&, const KeyValue&);
    bool supersedes(Turn&, const ProfileRevision&);
    void explainOlder(Turn&, const ProfileRevision&);
    void explainOnce(Turn&, DecisionKind, const ProfileName&, Revision, const std::string& identity, const std::string& evidence);
    void notePlatform(Turn&, const PlatformReply&);

    InstanceId m_self;
    ZoneName m_zone;
    const Membership& m_membership;
    ProfileBook& m_book;
    TypedChart<RevisionState, RevisionEvent> m_chart;
    ProfileWatch m_watch;
    SeedList m_seedList;
    std::optional<Instant> m_nextElection;
    bool m_isPlatformReachable { true };
    // What was turned down last for each profile. The platform shows it with each watch, but it is explained once.
    std::unordered_map<ProfileName, std::string> m_explained;
};

}
