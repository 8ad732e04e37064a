#include "PlatformLink.h"

#include <LibDecision/Configuration/ProfileRevisionText.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

const ProfileName name("desk");
// Time within which a published revision must be in force in every process.
constexpr Duration adoptionBound = 3s;

ProfileRevision revisionOf(uint64_t number, const std::string& publishId = "p")
{
    return { name, Revision(number), PublishId(publishId), "operator", "name: desk\n" };
}

void publish(FakePlatform& platform, PlatformLink& link, const ProfileRevision& revision)
{
    platform.put(profileKey(revision.name), encodeProfileRevision(revision));
    if (!link.isDown)
        link.answerWatches();
}

bool inForceEverywhere(MemberFleet& fleet, const ProfileRevision& revision)
{
    for (size_t index = 0; index < fleet.size(); ++index) {
        const auto* inForce = fleet.isRunning(index) ? fleet.process(index).profiles().find(revision.name) : nullptr;
        if (fleet.isRunning(index) && (!inForce || inForce->revision != revision))
            return false;
    }
    return true;
}

size_t watchersOf(MemberFleet& fleet, const ZoneName& zone)
{
    size_t watchers = 0;
    for (size_t index = 0; index < fleet.size(); ++index)
        watchers += fleet.record(index).zone == zone && fleet.process(index).configuration().isWatcher();
    return watchers;
}

// A running fleet that is connected to a platform.
struct ConfiguredFleet {
    explicit ConfiguredFleet(size_t count, uint64_t seed = 1)
        : fleet(seed)
        , link(fleet, platform)
    {
        startMembers(fleet, layout, count);
        fleet.runFor(10s);
    }

    FleetLayout layout;
    FakePlatform platform;
    MemberFleet fleet;
    PlatformLink link;
};

}

TEST(Configuration, EachZoneHasTheConfiguredNumberOfWatchers)
{
    ConfiguredFleet fixture(30);
    for (const auto* zone : { "zone-0", "zone-1", "zone-2" })
        EXPECT_EQ(watchersOf(fixture.fleet, ZoneName(zone)), ProfileConfiguration::watchersPerZone);
}

TEST(Configuration, AnInvalidDocumentIsRejectedAndReportedOncePerProcess)
{
    ConfiguredFleet fixture(9);
    publish(fixture.platform, fixture.link, revisionOf(1));
    fixture.fleet.runFor(adoptionBound);
    auto bad = revisionOf(2);
    bad.document = "name: desk\nhealth: {floor: 2}\n";
    publish(fixture.platform, fixture.link, bad);
    fixture.fleet.runFor(2min);
    EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(1)));
    EXPECT_EQ(fixture.link.decisionCounts[DecisionKind::ProfileRejected], 9u);
    publish(fixture.platform, fixture.link, revisionOf(3));
    fixture.fleet.runFor(adoptionBound);
    EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(3)));
}

TEST(Configuration, ARestoredStoreDoesNotRevertTheRevisionInForce)
{
    ConfiguredFleet fixture(15);
    publish(fixture.platform, fixture.link, revisionOf(1));
    fixture.fleet.runFor(adoptionBound);
    auto snapshot = fixture.platform.snapshot();
    publish(fixture.platform, fixture.link, revisionOf(2));
    fixture.fleet.runFor(adoptionBound);
    fixture.platform.restore(snapshot);
    fixture.fleet.runFor(3min);
    EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(2)));
    EXPECT_GT(fixture.link.decisionCounts[DecisionKind::ProfileRejected], 0u);
}

TEST(Configuration, AProcessThatJoinsDuringAnOutageGetsTheRevisionFromItsPeers)
{
    ConfiguredFleet fixture(15);
    publish(fixture.platform, fixture.link, revisionOf(1));
    fixture.fleet.runFor(adoptionBound);
    fixture.link.isDown = true;
    fixture.fleet.runFor(2h);
    EXPECT_GT(fixture.link.decisionCounts[DecisionKind::PlatformLost], 0u);
    startMember(fixture.fleet, fixture.layout, 15, 1);
    fixture.fleet.runFor(adoptionBound);
    EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(1)));

    fixture.link.isDown = false;
    fixture.fleet.runFor(1min);
    EXPECT_GT(fixture.link.decisionCounts[DecisionKind::PlatformRestored], 0u);
    publish(fixture.platform, fixture.link, revisionOf(2));
    fixture.fleet.runFor(adoptionBound);
    EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(2)));
}

TEST(Configuration, ProcessesWithoutConfiguredSeedsJoinThroughThePlatform)
{
    FleetLayout layout;
    FakePlatform platform;
    MemberFleet fleet(1);
    PlatformLink link(fleet, platform);
    for (size_t index = 0; index < 12; ++index)
        startMember(fleet, layout, index, 1, std::vector<Endpoint> {});
    EXPECT_TRUE(fleet.runUntil(2min, 1s, [&] {
        for (size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.process(index).membership().liveMembers().size() != 12)
                return false;
        }
        return true;
    }));
    // Owners write their seed list entries once. After that, a stable fleet writes nothing.
    fleet.runFor(20min);
    auto writes = platform.writes();
    fleet.runFor(1h);
    EXPECT_EQ(platform.writes(), writes);
}

RC_GTEST_PROP(Configuration, ConflictingRevisionsConvergeRegardlessOfOrder, ())
{
    ConfiguredFleet fixture(15, *rc::gen::arbitrary<uint64_t>());
    auto left = revisionOf(2, "a" + std::to_string(*rc::gen::inRange(0, 100)));
    auto right = revisionOf(2, "b" + std::to_string(*rc::gen::inRange(0, 100)));
    for (const auto& revision : { left, right }) {
        auto target = *rc::gen::inRange<size_t>(0, 15);
        fixture.fleet.perform(target, [&](MemberProcess& process) { return process.applyRevision(fixture.fleet.now(), revision); });
        fixture.fleet.runFor(Duration(*rc::gen::inRange(0, 200'000)));
    }
    fixture.fleet.runFor(adoptionBound);
    RC_ASSERT(inForceEverywhere(fixture.fleet, right));
    RC_ASSERT(fixture.link.decisionCounts[DecisionKind::ProfileForked] > 0u);
}

RC_GTEST_PROP(Configuration, TheRevisionInForceNeverDecreasesAtAnyProcess, ())
{
    ConfiguredFleet fixture(15, *rc::gen::arbitrary<uint64_t>());
    fixture.fleet.faults = { .loss = 0.2, .duplication = 0.2, .minimumDelay = 0ms, .maximumDelay = 500ms };
    std::vector<Revision> highest(15);
    uint64_t newest = 0;
    for (auto round = 0; round < 20; ++round) {
        auto revision = *rc::gen::inRange<uint64_t>(1, 10);
        newest = std::max(newest, revision);
        auto target = *rc::gen::inRange<size_t>(0, 15);
        fixture.fleet.perform(target, [&](MemberProcess& process) { return process.applyRevision(fixture.fleet.now(), revisionOf(revision)); });
        fixture.fleet.runFor(Duration(*rc::gen::inRange(0, 300'000)));
        for (size_t index = 0; index < 15; ++index) {
            auto inForce = fixture.fleet.process(index).profiles().revision(name);
            RC_ASSERT(inForce >= highest[index]);
            highest[index] = inForce;
        }
    }
    fixture.fleet.faults = {};
    fixture.fleet.runFor(2min);
    RC_ASSERT(inForceEverywhere(fixture.fleet, revisionOf(newest)));
}

TEST(Configuration, AnAcceptedRevisionIsInForceInTimeAtEveryFleetSizeDespiteLoss)
{
    for (size_t count : { 15, 150, 400 }) {
        ConfiguredFleet fixture(count);
        fixture.fleet.faults = { .loss = 0.05, .duplication = 0.01, .minimumDelay = 1ms, .maximumDelay = 50ms };
        for (uint64_t number = 1; number <= 5; ++number) {
            publish(fixture.platform, fixture.link, revisionOf(number));
            fixture.fleet.runFor(adoptionBound);
            EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(number))) << count << " processes, revision " << number;
        }
    }
}

TEST(Configuration, AnAcceptedRevisionIsInForceInTimeDespiteManyUrgentRumors)
{
    constexpr size_t count = 60;
    ConfiguredFleet fixture(count);
    fixture.fleet.runFor(40s);
    for (uint64_t number = 1; number <= 3; ++number) {
        // Each process drains 40 backend servers at once. The urgent rumors about them take several seconds to send.
        for (size_t index = 0; index < count; ++index) {
            for (size_t backend = 0; backend < 40; ++backend) {
                auto id = BackendId("backend-" + std::to_string(index) + "-" + std::to_string(backend));
                auto record = BackendRecord { .id = id, .sidecar = fixture.fleet.record(index).instance, .version = number, .phase = BackendPhase::Draining };
                fixture.fleet.perform(index, [&](MemberProcess& process) { return process.announce(fixture.fleet.now(), record, Urgency::Immediate); });
            }
        }
        fixture.fleet.runFor(2s);
        publish(fixture.platform, fixture.link, revisionOf(number));
        fixture.fleet.runFor(adoptionBound);
        EXPECT_TRUE(inForceEverywhere(fixture.fleet, revisionOf(number))) << number;
    }
}
