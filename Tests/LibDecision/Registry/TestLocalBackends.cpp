#include <LibDecision/Registry/LocalBackends.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

BackendAnnouncement announcementOf(uint64_t incarnation, BackendPhase phase = BackendPhase::Serving, uint32_t slots = 3)
{
    BackendAnnouncement announcement;
    announcement.id = BackendId("a");
    announcement.service = ServiceName("desk");
    announcement.profile = ProfileName("desk-profile");
    announcement.endpoint = { "127.0.0.1", 9000 };
    announcement.incarnation = Incarnation(incarnation);
    announcement.slots = slots;
    announcement.phase = phase;
    return announcement;
}

MemberRecord selfRecord()
{
    MemberRecord self;
    self.instance = InstanceId("instance-1");
    self.incarnation = Incarnation(4);
    return self;
}

// LocalBackends with a simulated clock; collects the records that it publishes.
class LocalBackendsFixture {
public:
    template <typename Action>
    void turn(Action action)
    {
        Turn step(now, m_random, m_tag);
        action(step);
        for (const auto& rumor : step.takeRumors()) {
            records.push_back(std::get<BackendRecord>(rumor.rumor));
            areAllImmediate = areAllImmediate && rumor.urgency == Urgency::Immediate;
        }
    }

    void announce(const BackendAnnouncement& announcement)
    {
        turn([&](Turn& step) { backends.announce(step, announcement); });
    }
    void drain()
    {
        turn([&](Turn& step) { backends.drain(step, BackendId("a")); });
    }
    void advance(Duration duration)
    {
        auto end = now + duration;
        while (auto due = backends.nextTimer()) {
            if (*due > end)
                break;
            now = std::max(now, *due);
            turn([&](Turn& step) { backends.handleTimer(step); });
        }
        now = end;
    }

    BackendPhase phase() const { return backends.find(BackendId("a"))->phase; }

    Instant now { 1h };
    ProfileRegistry profiles;
    LocalBackends backends { selfRecord(), profiles };
    std::vector<BackendRecord> records;
    bool areAllImmediate { true };

private:
    std::mt19937_64 m_random { 1 };
    PlatformTag m_tag;
};

}

TEST(LocalBackends, PublishesAnnouncementsAndTheirChangesOnly)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    ASSERT_FALSE(fixture.records.empty());
    EXPECT_EQ(fixture.records.back().phase, BackendPhase::Serving);
    EXPECT_EQ(fixture.records.back().sidecar, InstanceId("instance-1"));
    EXPECT_EQ(fixture.records.back().sidecarIncarnation, Incarnation(4));

    auto publishedCount = fixture.records.size();
    fixture.advance(5s);
    fixture.announce(announcementOf(1));
    EXPECT_EQ(fixture.records.size(), publishedCount) << "a renewal publishes nothing";
    fixture.announce(announcementOf(1, BackendPhase::Serving, 5));
    EXPECT_EQ(fixture.records.back().slots, 5u);
}

TEST(LocalBackends, LapsesWithoutRenewalAndServesAgainAfterOne)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.advance(14s);
    fixture.announce(announcementOf(1));
    fixture.advance(14s);
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
    fixture.advance(1s);
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone);
    fixture.announce(announcementOf(1));
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
    EXPECT_EQ(fixture.records.back().phase, BackendPhase::Serving);
}

TEST(LocalBackends, BackendServerIsStillWarmAfterALapse)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    auto servingSince = fixture.backends.find(BackendId("a"))->servingSince;
    fixture.advance(20s);
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone);
    fixture.announce(announcementOf(1));
    EXPECT_EQ(fixture.backends.find(BackendId("a"))->servingSince, servingSince);
    fixture.announce(announcementOf(2));
    EXPECT_EQ(fixture.backends.find(BackendId("a"))->servingSince, fixture.now);
}

TEST(LocalBackends, PauseOfTheProcessCausesNoLapse)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.now += 1min;
    fixture.turn([&](Turn& turn) { fixture.backends.handleTimer(turn); });
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
    fixture.advance(LocalBackends::resumeGrace - 1us);
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
    fixture.advance(1us);
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone) << "no announcement arrived after the pause either";
}

TEST(LocalBackends, DrainedBackendServerServesAgainOnlyWithAHigherIncarnation)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.drain();
    fixture.announce(announcementOf(1));
    EXPECT_EQ(fixture.phase(), BackendPhase::Draining);
    fixture.turn([&](Turn& turn) { fixture.backends.drained(turn, BackendId("a")); });
    fixture.announce(announcementOf(1));
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone);
    fixture.announce(announcementOf(2));
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
}

TEST(LocalBackends, DrainEndsAfterTheDrainTimeoutOfTheProfile)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.announce(announcementOf(1, BackendPhase::Draining));
    for (int renewal = 0; renewal < 5; ++renewal) {
        fixture.advance(5s);
        fixture.announce(announcementOf(1, BackendPhase::Draining));
    }
    EXPECT_EQ(fixture.phase(), BackendPhase::Draining);
    fixture.advance(5s);
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone);
}

TEST(LocalBackends, IgnoresLowerIncarnations)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(5));
    fixture.announce(announcementOf(4, BackendPhase::Gone));
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
}

TEST(LocalBackends, YieldsToASidecarWithAHigherIncarnation)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    auto publishedCount = fixture.records.size();
    BackendRecord moved = fixture.records.back();
    moved.sidecar = InstanceId("instance-2");
    fixture.turn([&](Turn& turn) { fixture.backends.supersede(turn, moved); });
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving) << "an equal incarnation is ignored";
    moved.incarnation = Incarnation(2);
    fixture.turn([&](Turn& turn) { fixture.backends.supersede(turn, moved); });
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone);
    EXPECT_EQ(fixture.records.size(), publishedCount) << "a stale record must not compete with the new one";
    fixture.announce(announcementOf(1));
    EXPECT_EQ(fixture.phase(), BackendPhase::Gone);
    fixture.announce(announcementOf(3));
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
}

TEST(LocalBackends, LeavingProcessDrainsAllAndAcceptsNoNewBackendServers)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.turn([&](Turn& turn) { fixture.backends.drainAll(turn); });
    EXPECT_EQ(fixture.phase(), BackendPhase::Draining);
    auto other = announcementOf(1);
    other.id = BackendId("b");
    fixture.announce(other);
    EXPECT_EQ(fixture.backends.find(BackendId("b")), nullptr);
    fixture.announce(announcementOf(2));
    EXPECT_EQ(fixture.phase(), BackendPhase::Draining);
}

// Some backend servers withdraw to a process that has just started, and an announcement from before comes seconds later.
TEST(LocalBackends, ALateAnnouncementDoesNotBringBackWhatWithdrewBeforeItWasKnown)
{
    LocalBackendsFixture fixture;
    fixture.turn([&](Turn& turn) { fixture.backends.withdraw(turn, BackendId("a"), Incarnation(5)); });
    fixture.advance(3s);
    fixture.announce(announcementOf(5));
    EXPECT_EQ(fixture.backends.find(BackendId("a")), nullptr);
    fixture.announce(announcementOf(6));
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving) << "a later start under the same id serves";
}

TEST(LocalBackends, RemembersWithdrawalsOfUnknownBackendServersForABoundedTime)
{
    LocalBackendsFixture fixture;
    fixture.turn([&](Turn& turn) { fixture.backends.withdraw(turn, BackendId("a"), Incarnation(5)); });
    fixture.advance(LocalBackends::withdrawalRetention);
    fixture.announce(announcementOf(5));
    EXPECT_EQ(fixture.phase(), BackendPhase::Serving);
}

// Otherwise the successor of the process takes a late announcement for that of a server that lives.
TEST(LocalBackends, PublishesThatABackendServerLeavesAlsoAfterItLapsed)
{
    for (auto phase : { BackendPhase::Draining, BackendPhase::Gone }) {
        LocalBackendsFixture fixture;
        fixture.announce(announcementOf(1));
        fixture.advance(20s);
        ASSERT_EQ(fixture.phase(), BackendPhase::Gone);
        ASSERT_FALSE(fixture.records.back().isLeaving);
        fixture.announce(announcementOf(1, phase));
        EXPECT_TRUE(fixture.records.back().isLeaving);
    }
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.advance(20s);
    fixture.drain();
    EXPECT_TRUE(fixture.records.back().isLeaving);
}

TEST(LocalBackends, ALeavingProcessPublishesThatAnUnknownBackendServerLeaves)
{
    for (auto phase : { BackendPhase::Draining, BackendPhase::Gone }) {
        LocalBackendsFixture fixture;
        fixture.turn([&](Turn& turn) { fixture.backends.drainAll(turn); });
        fixture.announce(announcementOf(1, phase));
        ASSERT_FALSE(fixture.records.empty());
        EXPECT_TRUE(fixture.records.back().isLeaving);
    }
}

RC_GTEST_PROP(LocalBackendsProperties, VersionsIncreaseAndALeavingIncarnationNeverServesAgain, (const std::vector<std::tuple<uint8_t, uint8_t, uint8_t>>& steps))
{
    LocalBackendsFixture fixture;
    Incarnation leaving;
    uint64_t incarnation = 1;
    for (const auto& [kind, first, second] : steps) {
        switch (kind % 6) {
        case 0:
            incarnation += first % 2;
            [[fallthrough]];
        case 1:
            fixture.announce(announcementOf(std::max<uint64_t>(1, incarnation - first % 2), EnumNames<BackendPhase>::entries[second % 4].value, 1 + first % 4));
            break;
        case 2:
            fixture.drain();
            break;
        case 3:
            fixture.turn([&](Turn& turn) { fixture.backends.drained(turn, BackendId("a")); });
            break;
        default:
            fixture.advance(Duration(1'000'000 * (first % 40)));
        }
        const auto* backend = fixture.backends.find(BackendId("a"));
        if (!backend)
            continue;
        if (backend->phase == BackendPhase::Draining || backend->isLeaving)
            leaving = std::max(leaving, backend->announcement.incarnation);
        if (backend->phase == BackendPhase::Serving)
            RC_ASSERT(backend->announcement.incarnation > leaving);
        RC_ASSERT(fixture.records.back().phase == backend->phase);
        RC_ASSERT(fixture.records.back().incarnation == backend->announcement.incarnation);
    }
    RC_ASSERT(std::ranges::is_sorted(fixture.records, std::ranges::less_equal {}, &BackendRecord::version) || fixture.records.size() < 2);
    RC_ASSERT(fixture.areAllImmediate);
}

TEST(LocalBackends, ABackendServerReplacedAtItsEndpointIsGoneAtOnce)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(5));
    auto successor = announcementOf(6);
    successor.id = BackendId("b");
    fixture.announce(successor);
    EXPECT_EQ(fixture.backends.find(BackendId("a"))->phase, BackendPhase::Gone);
    EXPECT_EQ(fixture.backends.find(BackendId("b"))->phase, BackendPhase::Serving);
    // What the predecessor sent before its end may arrive late, under its own id or for the first time here.
    fixture.announce(announcementOf(5));
    auto unknownPredecessor = announcementOf(4);
    unknownPredecessor.id = BackendId("c");
    fixture.announce(unknownPredecessor);
    EXPECT_EQ(fixture.backends.find(BackendId("a"))->phase, BackendPhase::Gone);
    EXPECT_EQ(fixture.backends.find(BackendId("c")), nullptr);
}

TEST(LocalBackends, BackendServersAtDifferentEndpointsServeSideBySide)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(5));
    auto neighbour = announcementOf(6);
    neighbour.id = BackendId("b");
    neighbour.endpoint.port += 1;
    fixture.announce(neighbour);
    EXPECT_EQ(fixture.backends.find(BackendId("a"))->phase, BackendPhase::Serving);
    EXPECT_EQ(fixture.backends.find(BackendId("b"))->phase, BackendPhase::Serving);
}

// A process that is restarted beside its backend server leaves; the backend server stays.
TEST(LocalBackends, RecordsSayWhetherTheBackendServerLeavesOrOnlyItsSidecar)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(1));
    fixture.turn([&](Turn& step) { fixture.backends.drainAll(step); });
    EXPECT_EQ(fixture.records.back().phase, BackendPhase::Draining);
    EXPECT_FALSE(fixture.records.back().isLeaving);
    fixture.turn([&](Turn& step) { fixture.backends.retire(step, BackendId("a"), Incarnation(1), "its answer"); });
    EXPECT_TRUE(fixture.records.back().isLeaving);
    fixture.announce(announcementOf(2));
    EXPECT_FALSE(fixture.records.back().isLeaving);
    fixture.announce(announcementOf(2, BackendPhase::Draining));
    EXPECT_TRUE(fixture.records.back().isLeaving);
}

TEST(LocalBackends, AnotherIncarnationIsNotRetired)
{
    LocalBackendsFixture fixture;
    fixture.announce(announcementOf(2));
    fixture.turn([&](Turn& step) { fixture.backends.retire(step, BackendId("a"), Incarnation(1), "its answer"); });
    EXPECT_EQ(fixture.backends.find(BackendId("a"))->phase, BackendPhase::Serving);
}
