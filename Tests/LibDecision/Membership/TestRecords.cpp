#include <LibDecision/Membership/AntiEntropy.h>
#include <LibDecision/Membership/Dissemination.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace Decision;
using namespace std::chrono_literals;

namespace {

BackendRecord record(uint64_t number, uint64_t version, BackendPhase phase = BackendPhase::Serving)
{
    return { .id = BackendId("backend-" + std::to_string(number)), .version = version, .phase = phase };
}

void put(AntiEntropy& records, Instant now, const Rumor& rumor)
{
    records.put(now, rumor, contentHash(rumor));
}

}

RC_GTEST_PROP(AntiEntropy, DigestsMatchWhenTheLatestRecordsMatch, ())
{
    auto versions = *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(1, 5));
    AntiEntropy left;
    AntiEntropy right;
    for (size_t number = 0; number < versions.size(); ++number) {
        for (uint64_t version = 1; version <= versions[number]; ++version)
            put(left, {}, record(number, version));
    }
    for (size_t number = versions.size(); number-- > 0;)
        put(right, {}, record(number, versions[number]));
    RC_ASSERT(left.matches(right.digest()));

    put(right, {}, record(1'000, 1));
    auto differing = left.differingBuckets(right.digest(), std::nullopt);
    RC_ASSERT(differing.size() == 1u);
    std::vector<Rumor> records;
    right.appendRecords(differing.front(), records);
    RC_ASSERT(std::ranges::find(records, Rumor { record(1'000, 1) }) != records.end());
}

TEST(AntiEntropy, TombstonesAreLeftOutOfDigestsAndExpire)
{
    AntiEntropy records;
    AntiEntropy empty;
    put(records, {}, record(1, 1));
    EXPECT_FALSE(records.matches(empty.digest()));
    put(records, {}, record(1, 2, BackendPhase::Gone));
    EXPECT_TRUE(records.matches(empty.digest()));
    EXPECT_EQ(records.size(), 1u);
    records.expire(Instant {} + 30min);
    EXPECT_EQ(records.size(), 1u);
    records.expire(Instant {} + 61min);
    EXPECT_EQ(records.size(), 0u);
}

TEST(Dissemination, OnlyTheNewestRecordOfAKeyIsSentUpToTheTransmissionLimit)
{
    Dissemination rumors;
    rumors.add(record(1, 1), Urgency::Piggyback);
    rumors.add(record(1, 2), Urgency::Piggyback);
    constexpr size_t members = 1'500;
    uint32_t sent = 0;
    for (auto taken = rumors.takeForProbe(members, 4'096); !taken.empty(); taken = rumors.takeForProbe(members, 4'096)) {
        ASSERT_EQ(taken, std::vector<Rumor> { record(1, 2) });
        ASSERT_LE(++sent, Dissemination::transmissionLimit(members, Urgency::Piggyback));
    }
    EXPECT_EQ(sent, Dissemination::transmissionLimit(members, Urgency::Piggyback));
    EXPECT_EQ(rumors.bytes(), 0u);
}

TEST(Dissemination, UrgentRumorsAreSentFirstAndThenPiggybackedOnProbes)
{
    Dissemination rumors;
    rumors.add(record(1, 1), Urgency::Immediate);
    EXPECT_TRUE(rumors.hasUnsentUrgent());
    EXPECT_EQ(rumors.takeUrgent(15, 3, 4'096).size(), 1u);
    EXPECT_FALSE(rumors.hasUnsentUrgent());
    while (rumors.hasUrgent())
        rumors.takeUrgent(15, 3, 4'096);
    EXPECT_EQ(rumors.takeForProbe(15, 4'096).size(), 1u);
}

TEST(Dissemination, ProfileRevisionsAreSentBeforeOtherUrgentRumors)
{
    Dissemination rumors;
    ProfileRevision revision { ProfileName("desk"), Revision(1), PublishId("p"), "operator", std::string(40'000, 'x') };
    rumors.add(revision, Urgency::Immediate);
    for (uint64_t number = 0; number < 100; ++number)
        rumors.add(record(number, 1), Urgency::Immediate);
    EXPECT_EQ(rumors.takeUrgent(15, 3, 4'096), std::vector<Rumor> { revision });
    EXPECT_EQ(rumors.takeUrgentProfiles(15, 3, 4'096), std::vector<Rumor> { revision });
    while (!rumors.takeUrgentProfiles(15, 3, 4'096).empty()) { }
    EXPECT_GT(rumors.takeUrgent(15, 3, 4'096).size(), 1u);
}

RC_GTEST_PROP(Dissemination, TheQueueIsBounded, ())
{
    constexpr size_t bound = 512 * 1024;
    Dissemination rumors;
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    for (uint64_t number = 0; number < 4'000; ++number) {
        rumors.add(record(number, 1), random() % 2 ? Urgency::Immediate : Urgency::Piggyback);
        if (random() % 16 == 0)
            rumors.takeForProbe(1'500, 4'096);
        RC_ASSERT(rumors.bytes() <= bound);
    }
    RC_ASSERT(rumors.size() > 0u);
}
