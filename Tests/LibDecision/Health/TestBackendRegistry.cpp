#include <LibDecision/Registry/BackendRegistry.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

BackendRecord arbitraryRecord()
{
    BackendRecord record;
    record.id = BackendId("b-" + std::to_string(*rc::gen::inRange(0, 3)));
    record.service = ServiceName("s-" + std::to_string(*rc::gen::inRange(0, 2)));
    record.profile = ProfileName("f-" + std::to_string(*rc::gen::inRange(0, 2)));
    record.sidecar = InstanceId("p-" + std::to_string(*rc::gen::inRange(0, 2)));
    record.sidecarIncarnation = Incarnation(*rc::gen::inRange(1, 3));
    record.incarnation = Incarnation(*rc::gen::inRange(1, 4));
    record.version = *rc::gen::inRange(1, 4);
    record.slots = *rc::gen::inRange(1, 4);
    record.phase = EnumNames<BackendPhase>::entries[*rc::gen::inRange(0, 4)].value;
    return record;
}

struct RegistryFixture {
    RegistryFixture() = default;
    explicit RegistryFixture(const std::vector<BackendRecord>& records)
    {
        for (const auto& record : records)
            apply(record);
    }

    bool apply(const BackendRecord& record)
    {
        Turn turn(now, random, tag);
        return registry.apply(turn, record);
    }

    std::vector<BackendRecord> contents() const
    {
        std::vector<BackendRecord> contents;
        for (int number = 0; number < 3; ++number) {
            if (auto record = registry.find(BackendId("b-" + std::to_string(number))))
                contents.push_back(*record);
        }
        return contents;
    }

    std::vector<BackendRecord> listed() const
    {
        std::vector<BackendRecord> listed;
        for (const auto& service : registry.services()) {
            for (auto record : registry.backendsOf(service))
                listed.push_back(*record);
        }
        return listed;
    }

    BackendRegistry registry;
    Instant now;
    std::mt19937_64 random;
    PlatformTag tag;
};

}

RC_GTEST_PROP(BackendRegistry, RecordsDoNotDependOnTheOrderOfArrival, ())
{
    auto records = *rc::gen::container<std::vector<BackendRecord>>(rc::gen::exec(arbitraryRecord));
    auto shuffled = records;
    std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
    std::ranges::shuffle(shuffled, random);
    RC_ASSERT(RegistryFixture(records).contents() == RegistryFixture(shuffled).contents());
    RC_ASSERT(RegistryFixture(records).listed() == RegistryFixture(shuffled).listed());
}

RC_GTEST_PROP(BackendRegistry, IgnoresRecordsThatItKnows, ())
{
    auto records = *rc::gen::container<std::vector<BackendRecord>>(rc::gen::exec(arbitraryRecord));
    RegistryFixture fixture(records);
    auto contents = fixture.contents();
    for (const auto& record : records)
        RC_ASSERT(!fixture.apply(record));
    RC_ASSERT(fixture.contents() == contents);
}

RC_GTEST_PROP(BackendRegistry, MergeIsCommutative, ())
{
    auto first = *rc::gen::container<std::vector<BackendRecord>>(rc::gen::exec(arbitraryRecord));
    auto second = *rc::gen::container<std::vector<BackendRecord>>(rc::gen::exec(arbitraryRecord));
    RegistryFixture left(first);
    for (const auto& record : RegistryFixture(second).contents())
        left.apply(record);
    RegistryFixture right(second);
    for (const auto& record : RegistryFixture(first).contents())
        right.apply(record);
    RC_ASSERT(left.contents() == right.contents());
}

RC_GTEST_PROP(BackendRegistry, ListsAllBackendServersThatAreNotGone, ())
{
    auto records = *rc::gen::container<std::vector<BackendRecord>>(rc::gen::exec(arbitraryRecord));
    RegistryFixture fixture(records);
    auto contents = fixture.contents();
    std::erase_if(contents, [](const BackendRecord& record) { return record.phase == BackendPhase::Gone; });
    auto listed = fixture.listed();
    std::ranges::sort(listed, {}, &BackendRecord::id);
    RC_ASSERT(listed == contents);
}

TEST(BackendRegistry, HigherIncarnationMovesABackendServerToAnotherSidecar)
{
    BackendRecord record;
    record.id = BackendId("b-1");
    record.service = ServiceName("commission-desk");
    record.sidecar = InstanceId("p-1");
    record.sidecarIncarnation = Incarnation(9);
    record.incarnation = Incarnation(1);
    record.version = 40;
    auto moved = record;
    moved.sidecar = InstanceId("p-2");
    moved.sidecarIncarnation = Incarnation(3);
    moved.incarnation = Incarnation(2);
    moved.version = 1;

    RegistryFixture fixture({ moved, record });
    EXPECT_EQ(fixture.registry.find(record.id)->sidecar, InstanceId("p-2"));
}

TEST(BackendRegistry, UsesTheProfileThatMostBackendServersAnnounced)
{
    RegistryFixture fixture;
    for (auto [id, profile] : { std::pair("b-1", "slow"), std::pair("b-2", "fast"), std::pair("b-3", "slow"), std::pair("b-4", "fast") }) {
        BackendRecord record;
        record.id = BackendId(id);
        record.service = ServiceName("commission-desk");
        record.profile = ProfileName(profile);
        fixture.apply(record);
    }
    EXPECT_EQ(fixture.registry.profileOf(ServiceName("commission-desk")), ProfileName("fast"));
    BackendRecord gone = *fixture.registry.find(BackendId("b-2"));
    gone.version = 1;
    gone.phase = BackendPhase::Gone;
    fixture.apply(gone);
    EXPECT_EQ(fixture.registry.profileOf(ServiceName("commission-desk")), ProfileName("slow"));
}

TEST(BackendRegistry, RemovesTombstonesAfterTheirLifetime)
{
    RegistryFixture fixture;
    BackendRecord serving;
    serving.id = BackendId("b-1");
    serving.service = ServiceName("commission-desk");
    serving.version = 1;
    auto gone = serving;
    gone.version = 2;
    gone.phase = BackendPhase::Gone;
    fixture.apply(serving);
    fixture.apply(gone);
    EXPECT_FALSE(fixture.apply(serving));

    fixture.now += 25h;
    BackendRecord other;
    other.id = BackendId("b-2");
    fixture.apply(other);
    EXPECT_EQ(fixture.registry.find(serving.id), nullptr);
}

TEST(BackendRegistry, RemovesTheBackendServersOfARemovedProcess)
{
    BackendRecord record;
    record.id = BackendId("b-1");
    record.service = ServiceName("commission-desk");
    record.sidecar = InstanceId("p-1");
    record.sidecarIncarnation = Incarnation(2);
    RegistryFixture fixture({ record });
    EXPECT_TRUE(fixture.registry.forgetSidecar(InstanceId("p-1"), Incarnation(1)).empty());
    EXPECT_EQ(fixture.registry.forgetSidecar(InstanceId("p-1"), Incarnation(2)).size(), 1U);
    EXPECT_TRUE(fixture.registry.backendsOf(record.service).empty());
}
