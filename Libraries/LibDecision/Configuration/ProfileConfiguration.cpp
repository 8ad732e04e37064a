#include <LibDecision/Configuration/ProfileConfiguration.h>

#include <LibDecision/Configuration/ProfileRevisionText.h>
#include <LibDecision/Configuration/ZoneMembers.h>
#include <LibDecision/Rendezvous.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <tuple>

namespace Decision {

namespace {

    constexpr Duration electionInterval = std::chrono::seconds(1);

    // Sort key for revisions with the same number; the greater one wins.
    auto precedence(const ProfileRevision& revision)
    {
        return std::tie(revision.publishId, revision.document, revision.author);
    }

    std::string describe(const ProfileRevision& revision)
    {
        return "revision " + std::to_string(revision.revision.value()) + ", publish id " + revision.publishId.value() + ", by " + revision.author;
    }

}

ProfileConfiguration::ProfileConfiguration(RoutingMode mode, const MemberRecord& self, const Membership& membership, ProfileRegistry& profiles)
    : m_self(self.instance)
    , m_zone(self.zone)
    // Where route tables carry what services need, profiles are rare and can wait until the process knows the others.
    , m_settlingTime(mode == RoutingMode::RouteTable ? std::chrono::milliseconds(1500) : std::chrono::milliseconds(0))
    , m_membership(membership)
    , m_profiles(profiles)
    , m_chart(loadChart<RevisionState, RevisionEvent>(ChartFile::ProfileRevision))
    , m_seedList(self, membership)
{
}

void ProfileConfiguration::start(Turn& turn)
{
    m_seedList.start(turn);
    m_nextElection = turn.now() + m_settlingTime;
    if (m_settlingTime == Duration::zero())
        electWatchers(turn);
}

std::optional<Instant> ProfileConfiguration::nextTimer() const
{
    return earliest(m_nextElection, earliest(m_watch.nextTimer(), m_seedList.nextTimer()));
}

void ProfileConfiguration::handleTimer(Turn& turn)
{
    if (m_nextElection && turn.now() >= *m_nextElection)
        electWatchers(turn);
    m_watch.handleTimer(turn);
    m_seedList.handleTimer(turn);
}

void ProfileConfiguration::electWatchers(Turn& turn)
{
    auto watchers = rendezvousChoice(profileKeyPrefix, liveMembersOfZone(m_membership, m_zone), watchersPerZone);
    m_watch.setEnabled(turn, std::ranges::find(watchers, m_self) != watchers.end());
    m_nextElection = turn.now() + electionInterval;
}

bool ProfileConfiguration::handleReply(Turn& turn, const PlatformReply& reply)
{
    if (m_watch.handleReply(turn, reply)) {
        updatePlatformReachability(turn, reply);
        for (const auto& value : reply.values)
            handlePlatformValue(turn, value);
        return true;
    }
    if (!m_seedList.handleReply(turn, reply))
        return false;
    updatePlatformReachability(turn, reply);
    return true;
}

void ProfileConfiguration::updatePlatformReachability(Turn& turn, const PlatformReply& reply)
{
    auto isReachable = reply.status != PlatformStatus::NoAnswer;
    if (isReachable == m_isPlatformReachable)
        return;
    m_isPlatformReachable = isReachable;
    auto kind = isReachable ? DecisionKind::PlatformRestored : DecisionKind::PlatformLost;
    std::string evidence = isReachable ? "the platform answered a call" : "the platform did not answer a call; the profiles in force are kept";
    if (!reply.problem.empty())
        evidence += ": " + reply.problem;
    turn.recordDecision({ .kind = kind, .step = "watch-profiles", .peer = "platform", .evidence = evidence });
}

void ProfileConfiguration::handlePlatformValue(Turn& turn, const KeyValue& value)
{
    ProfileRevision revision;
    try {
        revision = decodeProfileRevision(value.value, value.key);
    } catch (const Error& error) {
        auto name = ProfileName(value.key.substr(std::min(value.key.size(), profileKeyPrefix.size())));
        return explainOnce(turn, DecisionKind::ProfileRejected, name, {}, std::to_string(value.version.value()), error.what());
    }
    if (revision.revision < m_profiles.revision(revision.name))
        return explainOlderRevision(turn, revision);
    apply(turn, revision);
}

void ProfileConfiguration::explainOlderRevision(Turn& turn, const ProfileRevision& revision)
{
    auto inForce = m_profiles.revision(revision.name);
    auto evidence = "the platform has " + describe(revision) + ", older than revision " + std::to_string(inForce.value()) + " in force, which is kept";
    explainOnce(turn, DecisionKind::ProfileRejected, revision.name, revision.revision, revision.publishId.value(), evidence);
}

bool ProfileConfiguration::apply(Turn& turn, const ProfileRevision& revision)
{
    if (!supersedes(turn, revision))
        return false;
    auto event = RevisionEvent::Checked;
    Profile profile;
    std::string problem;
    try {
        profile = parseAndCheckProfile(revision);
    } catch (const Error& error) {
        event = RevisionEvent::CheckFailed;
        problem = error.what();
    }
    if (m_chart.next(m_chart.initial(), event) != RevisionState::InForce) {
        explainOnce(turn, DecisionKind::ProfileRejected, revision.name, revision.revision, revision.publishId.value(), problem);
        return false;
    }

    auto before = m_profiles.revision(revision.name);
    m_profiles.put({ std::move(profile), revision });
    turn.spread(revision, Urgency::Epidemic);
    auto evidence = describe(revision) + ", supersedes revision " + std::to_string(before.value());
    turn.recordDecision({ .kind = DecisionKind::ProfileAdopted, .step = "adopt-profile", .peer = "local", .profile = revision.name, .revision = revision.revision, .evidence = evidence });
    return true;
}

bool ProfileConfiguration::supersedes(Turn& turn, const ProfileRevision& revision)
{
    const auto* inForce = m_profiles.find(revision.name);
    if (!inForce)
        return revision.revision > Revision {};
    const auto& known = inForce->revision;
    if (revision.revision != known.revision || revision == known)
        return revision.revision > known.revision;

    auto wins = precedence(revision) > precedence(known);
    auto evidence = describe(revision) + " and " + describe(known) + " have the same number but differ; the greater publish id wins";
    auto loser = (wins ? known : revision).publishId;
    explainOnce(turn, DecisionKind::ProfileForked, revision.name, revision.revision, loser.value(), evidence);
    return wins;
}

void ProfileConfiguration::explainOnce(Turn& turn, DecisionKind kind, const ProfileName& name, Revision revision, const std::string& identity, const std::string& evidence)
{
    auto& explained = m_lastExplained[name];
    if (explained == identity)
        return;
    explained = identity;
    turn.recordDecision({ .kind = kind, .step = "adopt-profile", .peer = "local", .profile = name, .revision = revision, .evidence = evidence });
}

}
