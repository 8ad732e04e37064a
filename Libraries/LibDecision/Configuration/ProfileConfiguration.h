#pragma once

#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Configuration/ProfileWatch.h>
#include <LibDecision/Configuration/RevisionChart.h>
#include <LibDecision/Configuration/SeedList.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Turn.h>
#include <LibModel/Settings.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// Adopts profile revisions. Watches the platform for new ones if this process is one of the watchers of its zone, and
// reads and maintains the platform's seed list.
//
// Adoption is monotonic: a revision is adopted only if its number is higher than that of the revision in force. Two
// different revisions can have the same number if the platform's store was restored to older data and another revision
// was published afterwards. Then the one with the greater publish id wins in every process, regardless of the order of
// arrival.
class ProfileConfiguration {
public:
    // Number of processes per availability zone that watch the platform.
    static constexpr size_t watchersPerZone = 3;

    ProfileConfiguration(RoutingMode, const MemberRecord& self, const Membership&, ProfileRegistry&);

    void start(Turn&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // Handles a revision from a rumor, an anti-entropy sync or the platform. Returns true if the revision was adopted;
    // it is then also spread to other processes. A revision with an invalid document is rejected with an event and not
    // spread.
    bool apply(Turn&, const ProfileRevision&);

    // Returns false if the reply belongs to another component.
    bool handleReply(Turn&, const PlatformReply&);

    // Takes any reply of the platform, to keep the list of seeds in it.
    void noteReply(Turn& turn, const PlatformReply& reply) { m_seedList.noteReply(turn, reply); }

    // Returns the control endpoints read from the platform's seed list since the last call, for Membership::addSeeds().
    std::vector<Endpoint> takeSeeds() { return m_seedList.takeSeeds(); }

    bool isWatcher() const { return m_watch.isEnabled(); }
    // Whether the last platform call of this component was answered; true before the first call.
    bool isPlatformReachable() const { return m_isPlatformReachable; }

private:
    void electWatchers(Turn&);
    void handlePlatformValue(Turn&, const KeyValue&);
    bool supersedes(Turn&, const ProfileRevision&);
    void explainOlderRevision(Turn&, const ProfileRevision&);
    void explainOnce(Turn&, DecisionKind, const ProfileName&, Revision, const std::string& identity, const std::string& evidence);
    void updatePlatformReachability(Turn&, const PlatformReply&);

    InstanceId m_self;
    ZoneName m_zone;
    // Time after the start until the first election of watchers.
    Duration m_settlingTime;
    const Membership& m_membership;
    ProfileRegistry& m_profiles;
    TypedChart<RevisionState, RevisionEvent> m_chart;
    ProfileWatch m_watch;
    SeedList m_seedList;
    std::optional<Instant> m_nextElection;
    bool m_isPlatformReachable { true };
    // Identity of the publication that was last rejected or lost a conflict, by profile. Each watch returns it again,
    // but the event is emitted only once.
    std::unordered_map<ProfileName, std::string> m_lastExplained;
};

}
