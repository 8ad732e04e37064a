#include "QuotaFleet.h"
#include "QuotaSchedule.h"

#include <gtest/gtest.h>

using namespace Testing;

namespace {

const AccountId hotel("hotel");
const auto hotelPartition = quotaPartitionOf(hotel);

bool isPassed(const QuotaCall& call) { return call.isPassed; }

class QuotaTest : public testing::Test {
protected:
    // Lets the candidates take their partitions and the buckets fill.
    void settle() { fleet.runFor(8s); }
    size_t holder() { return fleet.holderOf(hotelPartition).value(); }
    size_t other(size_t distance = 1) { return (holder() + distance) % 5; }

    QuotaFleet fleet { 7, 5, { tenant("hotel", 100, 100) } };
};

}

TEST_F(QuotaTest, CostsNothingWithoutTenantsWithAQuota)
{
    QuotaFleet without(1, 3, { tenant("hotel", 0, 0) });
    size_t messages = 0;
    without.fleet().onSend = [&](size_t, const SendMessage&) { ++messages; };
    without.send(0, hotel);
    without.runFor(10s);
    EXPECT_EQ(without.count(hotel, isPassed), 1u);
    EXPECT_EQ(messages, 0u);
    // Each process reads the list of seeds once.
    EXPECT_EQ(without.platform().reads() + without.platform().writes(), 3u);
    EXPECT_FALSE(without.fleet().process(0).nextTimer());
}

TEST_F(QuotaTest, RefusesAtOnceWhatExceedsTheQuotaAndSpreadsTheReturns)
{
    settle();
    for (int number = 0; number < 300; ++number)
        fleet.send(other(), hotel);
    fleet.runFor(20ms);
    // The burst, and the half of the slack that deepens the bucket.
    EXPECT_NEAR(static_cast<double>(fleet.count(hotel, isPassed)), 110, 5);
    std::set<Duration> returns;
    for (const auto& call : fleet.calls()) {
        ASSERT_TRUE(call.decidedAt);
        if (call.isPassed)
            continue;
        EXPECT_EQ(call.refusal, Reason::QuotaExceeded);
        EXPECT_GT(call.retryAfter, Duration::zero());
        returns.insert(call.retryAfter);
    }
    EXPECT_GT(returns.size(), 150u);
}

TEST_F(QuotaTest, ATenantFarBelowItsQuotaDoesntCostAQuestionForEachRequest)
{
    settle();
    fleet.offer(hotel, 80, { other() }, fleet.fleet().now() + 10s);
    fleet.runFor(11s);
    const auto& counters = fleet.fleet().process(other()).quotas().requester().counters();
    EXPECT_EQ(counters.exceeded + counters.unavailable, 0u);
    EXPECT_LT(counters.questions, counters.passed / 2);
}

TEST_F(QuotaTest, AVacantPartitionHasAHolderAgainWithinTwoSeconds)
{
    for (auto seed : { 1, 2, 3 }) {
        QuotaFleet crashed(static_cast<uint64_t>(seed), 5, { tenant("hotel", 100, 100) });
        crashed.runFor(8s);
        auto holder = crashed.holderOf(hotelPartition).value();
        crashed.offer(hotel, 50, { (holder + 1) % 5, (holder + 2) % 5 }, crashed.fleet().now() + 10s);
        crashed.runFor(1s);
        crashed.kill(holder);
        auto taken = crashed.fleet().runUntil(5s, 10ms, [&] { return crashed.holderOf(hotelPartition).has_value(); });
        ASSERT_TRUE(taken);
        EXPECT_LE(*taken, 2s);
    }
}

TEST_F(QuotaTest, ALeavingHolderHandsOverOnceItsTokensHaveExpired)
{
    settle();
    auto before = holder();
    fleet.offer(hotel, 50, { other(), other(2) }, fleet.fleet().now() + 10s);
    fleet.runFor(1s);
    fleet.leave(before);
    EXPECT_FALSE(fleet.holderOf(hotelPartition));
    auto taken = fleet.fleet().runUntil(5s, 10ms, [&] { return fleet.holderOf(hotelPartition).has_value(); });
    ASSERT_TRUE(taken);
    EXPECT_GE(*taken, longestTokenValidity);
    EXPECT_LE(*taken, 1200ms);
    fleet.runFor(500ms);
    EXPECT_TRUE(fleet.fleet().process(before).quotas().isIdle());
}

TEST_F(QuotaTest, WithoutAHolderCallsAreRefusedAsUnavailableWithATimeToReturn)
{
    settle();
    fleet.isStoreDown = true;
    fleet.runFor(3s);
    auto first = fleet.send(0, hotel);
    fleet.runFor(100ms);
    EXPECT_FALSE(fleet.calls()[first].decidedAt);
    fleet.runFor(400ms);
    auto probing = fleet.send(0, hotel);
    auto second = fleet.send(0, hotel);
    EXPECT_EQ(fleet.calls()[first].refusal, Reason::QuotaUnavailable);
    EXPECT_GE(fleet.calls()[first].retryAfter, 1s);
    // Only one call at a time waits once nobody answered.
    EXPECT_FALSE(fleet.calls()[probing].decidedAt);
    EXPECT_EQ(fleet.calls()[second].refusal, Reason::QuotaUnavailable);
}

// The holder reaches the store and the other processes, so that no one takes its partition over. Until the requests were
// forwarded, this ingress refused all of them.
TEST_F(QuotaTest, AnIngressThatDoesntReachTheHolderAsksThroughAnotherProcess)
{
    settle();
    auto holding = holder();
    auto cutOff = other();
    fleet.fleet().cut = [&](size_t from, size_t to) { return (from == holding && to == cutOff) || (from == cutOff && to == holding); };
    fleet.offer(hotel, 50, { cutOff }, fleet.fleet().now() + 12s);
    fleet.runFor(13s);
    EXPECT_EQ(fleet.holderOf(hotelPartition), holding);
    EXPECT_EQ(fleet.count(hotel, isPassed), fleet.calls().size());
    EXPECT_GT(fleet.fleet().process(cutOff).quotas().requester().counters().forwardedQuestions, 0u);
}

// Each read of the store is paid for, and every process of a fleet that starts asks for each partition.
TEST_F(QuotaTest, AProcessThatKnowsTheHolderReadsTheStoreAgainOnlyIfTheHolderDoesntAnswer)
{
    settle();
    auto readsOf = [&](const QuotaRequest& request) {
        auto before = fleet.platform().reads();
        for (int number = 0; number < 20; ++number) {
            fleet.fleet().deliver(other(), MessageReceived { { InstanceId("node-9"), Incarnation(2), { "127.0.0.1", 2009 }, request, Revision(1) }, {} });
            fleet.runFor(100ms);
        }
        return fleet.platform().reads() - before;
    };
    QuotaRequest request { .sequence = 1, .partition = hotelPartition };
    EXPECT_EQ(readsOf(request), 1u);
    request.unanswering = InstanceId(QuotaFleet::nameOf(holder()));
    EXPECT_GE(readsOf(request), 3u);
}

// A renewal is answered after the next one was sent. If only the latest one's answer counted, no lease would last.
TEST_F(QuotaTest, AStoreThatTakesFractionsOfASecondKeepsItsHolders)
{
    fleet.slowestStoreCall = 260ms;
    fleet.runFor(15s);
    fleet.offer(hotel, 80, { 0, 1, 2, 3, 4 }, fleet.fleet().now() + 20s);
    fleet.runFor(21s);
    EXPECT_GE(static_cast<double>(fleet.count(hotel, isPassed)), 0.9 * 80 * 20);
}

// A holder that reaches the store no longer would go on while the other side of the split has a new one.
TEST(QuotaSplit, BothSidesTogetherKeepTheQuota)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        QuotaSchedule schedule(seed, { { QuotaFaultKind::Split, 3s, 15s, QuotaSchedule::processCount, 0 } });
        schedule.run();
        EXPECT_LE(schedule.largestExcess(), 0) << "seed " << seed;
        EXPECT_GE(schedule.shareServed(6s), 0.7) << "seed " << seed;
    }
}

// A reply that arrives after a suspension may be older than the steady clock tells.
TEST_F(QuotaTest, ASuspendedRequesterUsesNoOldReply)
{
    settle();
    auto requester = other();
    auto call = fleet.send(requester, hotel);
    fleet.pause(requester, 10s, true);
    fleet.runFor(11s);
    EXPECT_EQ(fleet.calls()[call].refusal, Reason::QuotaUnavailable);
}

// What was sent during a pause would be let through in addition to what the other processes let through meanwhile.
TEST_F(QuotaTest, CallsThatWaitedDuringAPauseAreRefused)
{
    settle();
    auto paused = other();
    fleet.pause(paused, 3s, false);
    fleet.runFor(1s);
    auto call = fleet.send(paused, hotel);
    fleet.runFor(2100ms);
    EXPECT_EQ(fleet.calls()[call].refusal, Reason::QuotaUnavailable);
    fleet.runFor(1s);
    call = fleet.send(paused, hotel);
    fleet.runFor(100ms);
    EXPECT_TRUE(fleet.calls()[call].isPassed);
}

// The steady clock of a suspended holder tells that its lease is still valid.
TEST_F(QuotaTest, ASuspendedHolderGrantsNothingAfterItsLease)
{
    settle();
    auto suspended = holder();
    fleet.pause(suspended, 10s, true);
    fleet.runFor(3s);
    fleet.send((suspended + 1) % 5, hotel);
    fleet.runFor(6990ms);
    QuotaRequest request { 1, hotelPartition, { { hotel, 1, 0 } } };
    auto granted = fleet.fleet().process(suspended).quotas().holder().counters().tokensGranted;
    fleet.fleet().deliver(suspended, MessageReceived { { InstanceId("node-1"), Incarnation(2), { "127.0.0.1", 2001 }, request, Revision(1) }, {} });
    fleet.runFor(20ms);
    EXPECT_EQ(fleet.fleet().process(suspended).quotas().holder().counters().tokensGranted, granted);
}

// A holder of the earlier era may grant until its lease would have ended.
TEST_F(QuotaTest, NobodyGrantsForALeaseTimeAfterTheStoreCameBackFromACopy)
{
    fleet.platform().takeSnapshot();
    settle();
    fleet.offer(hotel, 50, { 0, 1, 2, 3, 4 }, fleet.fleet().now() + 20s);
    fleet.runFor(1s);
    auto before = holder();
    fleet.withoutStore = { before };
    fleet.platform().restoreSnapshot(fleet.fleet().now());
    std::set<size_t> granting;
    auto restoredAt = fleet.fleet().now();
    while (fleet.fleet().now() < restoredAt + 1500ms) {
        fleet.runFor(10ms);
        if (auto granted = fleet.holderOf(hotelPartition))
            granting.insert(*granted);
    }
    EXPECT_EQ(granting, std::set { before });
    fleet.runFor(2s);
    EXPECT_TRUE(fleet.holderOf(hotelPartition));
}

// An equal split would give the tenant a hundredth.
TEST(QuotaFleet, ATenantAtOneProcessGetsItsWholeQuotaInCalm)
{
    QuotaFleet fleet(2, 100, { tenant("hotel", 100, 100) });
    fleet.runFor(8s);
    fleet.offer(hotel, 300, { 0 }, fleet.fleet().now() + 25s);
    fleet.runFor(5s);
    auto from = fleet.fleet().now();
    fleet.runFor(20s);
    auto passed = fleet.count(hotel, [&](const QuotaCall& call) { return call.isPassed && call.sentAt >= from; });
    EXPECT_GE(static_cast<double>(passed), 0.9 * 100 * 20);
}

// The rise of the era ends the lease that a leaving process is about to end.
TEST_F(QuotaTest, AHolderLeavesAlthoughTheStoreComesBackFromACopyMeanwhile)
{
    settle();
    auto leaving = holder();
    fleet.leave(leaving);
    fleet.platform().restoreSnapshot(fleet.fleet().now());
    fleet.runFor(2s);
    EXPECT_TRUE(fleet.fleet().process(leaving).quotas().isIdle());
}

// The first process of a fleet would otherwise hold all partitions for good.
TEST(QuotaFleet, PartitionsMoveToTheirFirstCandidates)
{
    std::vector<Tenant> tenants;
    for (int number = 0; number < 40; ++number)
        tenants.push_back(tenant("tenant-" + std::to_string(number), 10, 10));
    QuotaFleet fleet(3, 4, tenants);
    for (size_t process : { 1, 2, 3 })
        fleet.kill(process);
    fleet.runFor(5s);
    auto all = fleet.fleet().process(0).quotas().holder().heldCount();
    for (size_t process : { 1, 2, 3 })
        fleet.restart(process);
    fleet.runFor(2min);
    size_t held = 0;
    for (size_t process = 0; process < 4; ++process) {
        held += fleet.fleet().process(process).quotas().holder().heldCount();
        EXPECT_GT(fleet.fleet().process(process).quotas().holder().heldCount(), 0u);
    }
    EXPECT_EQ(held, all);
}
