#include <LibDecision/Admission/AccountUsage.h>
#include <LibDecision/Admission/ColdStartRamp.h>
#include <LibDecision/Admission/CrashWatch.h>
#include <LibDecision/Admission/FairQueue.h>
#include <LibDecision/Admission/PriorityQueue.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Decision;

namespace {

const ServiceName desk("desk");

AccountId accountOf(int number)
{
    return AccountId("account-" + std::to_string(number));
}

}

TEST(FairQueue, ServesOldestRequestOfAccountWithLeastUsage)
{
    FairQueue queue;
    FairQueueLimits limits { 10, 1 };
    queue.offer(SidecarCallId(1), AccountId("heavy"), 1000, 1, limits);
    queue.offer(SidecarCallId(2), AccountId("light"), 10, 1, limits);
    queue.offer(SidecarCallId(3), AccountId("light"), 10, 1, limits);
    EXPECT_EQ(queue.front(), SidecarCallId(2));
    queue.remove(SidecarCallId(2));
    EXPECT_EQ(queue.front(), SidecarCallId(3));
    queue.setUsage(AccountId("light"), 2000);
    EXPECT_EQ(queue.front(), SidecarCallId(1));
}

TEST(FairQueue, DisplacesNewestRequestOfAccountWithHighestUsage)
{
    FairQueue queue;
    FairQueueLimits limits { 2, 1 };
    queue.offer(SidecarCallId(1), AccountId("heavy"), 1000, 1, limits);
    queue.offer(SidecarCallId(2), AccountId("heavy"), 1000, 1, limits);
    auto offer = queue.offer(SidecarCallId(3), AccountId("light"), 0, 1, limits);
    EXPECT_TRUE(offer.isAccepted);
    EXPECT_EQ(offer.displaced, SidecarCallId(2));
    EXPECT_EQ(queue.size(), 2u);

    auto heavier = queue.offer(SidecarCallId(4), AccountId("heavier"), 5000, 1, limits);
    EXPECT_FALSE(heavier.isAccepted);
    EXPECT_EQ(heavier.reason, Reason::QueueFull);
}

TEST(FairQueue, LimitsShareOfOneAccountWhileOthersWait)
{
    FairQueue queue;
    FairQueueLimits limits { 4, 0.5 };
    for (uint64_t call = 1; call <= 3; ++call)
        EXPECT_TRUE(queue.offer(SidecarCallId(call), AccountId("busy"), 0, 1, limits).isAccepted);
    EXPECT_TRUE(queue.offer(SidecarCallId(4), AccountId("clerk"), 0, 1, limits).isAccepted);
    EXPECT_EQ(queue.offer(SidecarCallId(5), AccountId("busy"), 0, 1, limits).reason, Reason::FairShareExceeded);
}

TEST(PriorityQueue, ServesTheMostUrgentFirstAndGivesUpTheLeastUrgent)
{
    PriorityQueue queue;
    FairQueueLimits limits { 2, 1 };
    EXPECT_TRUE(queue.offer(SidecarCallId(1), 2, AccountId("clerk"), 0, 1, limits).isAccepted);
    EXPECT_TRUE(queue.offer(SidecarCallId(2), 1, AccountId("clerk"), 0, 1, limits).isAccepted);
    EXPECT_EQ(queue.front(), SidecarCallId(2));
    EXPECT_EQ(queue.countAhead(1), 1u);
    EXPECT_EQ(queue.countAhead(2), 2u);
    EXPECT_EQ(queue.offer(SidecarCallId(3), 2, AccountId("clerk"), 0, 1, limits).reason, Reason::QueueFull);
    EXPECT_EQ(queue.offer(SidecarCallId(4), 0, AccountId("clerk"), 0, 1, limits).displaced, SidecarCallId(1));
    EXPECT_EQ(queue.front(), SidecarCallId(4));
    queue.remove(SidecarCallId(4));
    EXPECT_EQ(queue.front(), SidecarCallId(2));
}

RC_GTEST_PROP(PriorityQueueProperties, NeverExceedsLengthAndLosesNoRequest, (const std::vector<std::pair<uint8_t, uint8_t>>& steps))
{
    PriorityQueue queue;
    FairQueueLimits limits { 5, 0.6 };
    std::map<SidecarCallId, uint32_t> waiting;
    uint64_t last = 0;
    for (const auto& [kind, value] : steps) {
        if (kind % 3 == 0 && queue.front()) {
            auto mostUrgent = std::ranges::min_element(waiting, {}, [](const auto& entry) { return entry.second; })->second;
            RC_ASSERT(waiting.at(*queue.front()) == mostUrgent);
            waiting.erase(*queue.front());
            queue.remove(*queue.front());
        } else {
            SidecarCallId call(++last);
            uint32_t priority = value % 3;
            auto offer = queue.offer(call, priority, AccountId("account-" + std::to_string(value % 4)), value, 10, limits);
            if (offer.displaced) {
                RC_ASSERT(waiting.at(*offer.displaced) >= priority);
                waiting.erase(*offer.displaced);
            }
            if (offer.isAccepted)
                waiting.emplace(call, priority);
        }
        RC_ASSERT(queue.size() == waiting.size());
        RC_ASSERT(queue.size() <= limits.length);
    }
}

RC_GTEST_PROP(FairQueueProperties, NeverExceedsLengthAndLosesNoRequest, (const std::vector<std::pair<uint8_t, uint8_t>>& steps))
{
    FairQueue queue;
    FairQueueLimits limits { 5, 0.6 };
    std::set<SidecarCallId> waiting;
    uint64_t lastCall = 0;
    for (const auto& [kind, value] : steps) {
        if (kind % 3 == 0 && queue.front()) {
            waiting.erase(*queue.front());
            queue.remove(*queue.front());
        } else if (kind % 3 == 1) {
            queue.setUsage(accountOf(value % 4), value);
        } else {
            SidecarCallId call(++lastCall);
            auto offer = queue.offer(call, accountOf(value % 4), value, 10, limits);
            if (offer.displaced)
                RC_ASSERT(waiting.erase(*offer.displaced) == 1u);
            if (offer.isAccepted)
                waiting.insert(call);
            RC_ASSERT(offer.isAccepted || !offer.displaced);
        }
        RC_ASSERT(queue.size() == waiting.size());
        RC_ASSERT(queue.size() <= limits.length);
        RC_ASSERT(queue.isEmpty() || waiting.contains(*queue.front()));
    }
}

TEST(AccountUsage, DoesNotUnderestimateAndDecays)
{
    AccountUsage usage;
    Instant now { 1h };
    usage.charge(desk, accountOf(1), 100ms, now);
    EXPECT_GE(usage.estimate(desk, accountOf(1), now), 100'000.0);
    EXPECT_NEAR(usage.estimate(desk, accountOf(1), now + AccountUsage::halfLife), 50'000.0, 1.0);
    EXPECT_LT(usage.estimate(desk, accountOf(1), now + 24h), 1.0);
}

TEST(AccountUsage, RanksLightBelowHeavyAmong75000AccountsInFixedMemory)
{
    constexpr int accounts = 75'000;
    AccountUsage usage;
    auto memory = usage.memoryBytes();
    Instant now { 1h };
    for (int number = 0; number < accounts; ++number)
        usage.charge(desk, accountOf(number), 1ms, now);
    for (int request = 0; request < 1000; ++request)
        usage.charge(desk, AccountId("busy"), 1ms, now);
    EXPECT_EQ(usage.memoryBytes(), memory);
    // Every light account must rank below the busy one in spite of hash collisions.
    auto busy = usage.estimate(desk, AccountId("busy"), now);
    for (int number = 0; number < accounts; ++number)
        ASSERT_LT(usage.estimate(desk, accountOf(number), now), busy / 10);
}

TEST(AccountUsage, KeepsOrderAcrossRebasesOverDays)
{
    AccountUsage usage;
    Instant now { 1h };
    for (int hour = 0; hour < 72; ++hour) {
        now += 1h;
        usage.charge(desk, AccountId("busy"), 1s, now);
        usage.charge(desk, AccountId("clerk"), 1ms, now);
        ASSERT_NEAR(usage.estimate(desk, AccountId("busy"), now), 1e6, 1);
        ASSERT_NEAR(usage.estimate(desk, AccountId("clerk"), now), 1e3, 1);
    }
}

RC_GTEST_PROP(ColdStartRampProperties, ReachesAllSlotsInTheAnnouncedSteps, ())
{
    auto slots = *rc::gen::inRange<uint32_t>(1, 50);
    Duration coldStart(*rc::gen::inRange<int64_t>(0, 60'000'000));
    Instant now { 1h };
    ColdStartRamp ramp(now, coldStart, slots);
    auto usable = ramp.usableSlots(now);
    RC_ASSERT(usable >= 1u);
    while (auto step = ramp.nextStep(now)) {
        RC_ASSERT(*step > now);
        RC_ASSERT(ramp.usableSlots(*step - 1us) == usable);
        now = *step;
        RC_ASSERT(ramp.usableSlots(now) > usable);
        usable = ramp.usableSlots(now);
    }
    RC_ASSERT(usable == slots);
    RC_ASSERT(now <= Instant { 1h } + coldStart);
}

TEST(CrashWatch, RemovesCutsOnceALaterRequestIsAnswered)
{
    CrashWatch watch;
    Instant now { 1h };
    watch.addCutRun({ { 1, 1 } }, now - 1ms, now);
    watch.clearCutsUntil(now + 1ms);
    EXPECT_TRUE(watch.takeSuspects(now + 2ms).empty());

    watch.addCutRun({ { 1, 1 } }, now, now + 3ms);
    watch.clearCutsUntil(now + 1ms);
    EXPECT_EQ(watch.takeSuspects(now + 4ms).size(), 1u);
    EXPECT_TRUE(watch.takeSuspects(now + 5ms).empty());
}

TEST(CrashWatch, IgnoresCutsLongBeforeTheCrash)
{
    CrashWatch watch;
    Instant now { 1h };
    watch.addCutRun({ { 1, 1 } }, now - 1ms, now);
    EXPECT_TRUE(watch.takeSuspects(now + CrashWatch::confirmationWindow + 1us).empty());
}

TEST(CrashWatch, SuspectsOnlyRequestsInFlightAtTheFirstCut)
{
    CrashWatch watch;
    Instant now { 1h };
    watch.addCutRun({ { 1, 1 } }, now - 2ms, now);
    watch.addCutRun({ { 2, 2 } }, now - 1ms, now + 1ms);
    watch.addCutRun({ { 3, 3 } }, now, now + 1ms);
    EXPECT_EQ(watch.takeSuspects(now + 2ms), (std::vector<CrashSuspect> { { { 1, 1 } }, { { 2, 2 } } }));
}
