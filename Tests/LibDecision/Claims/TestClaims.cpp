#include "ClaimsFleet.h"

#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Registry/BackendRegistry.h>

#include <gtest/gtest.h>

using namespace ClaimsTest;

static_assert(ClaimGate<Claims<Membership, BackendRegistry>>);

namespace {

const ProcessIncarnation sidecar { InstanceId("1"), Incarnation(1) };
const PartitionId partition { ServiceName("collection-desk"), 0 };

ClaimEntry entryOf(const std::string& key)
{
    return { AccountId("a"), IdempotencyKey(key), { 1, 1 }, RequestId("r"), Outcome::Answered, false, sidecar.instance, sidecar.incarnation, 1, 10s };
}

RequestInfo requestOf(const std::string& key)
{
    RequestInfo request;
    request.service = partition.service;
    request.account = AccountId("a");
    request.key = IdempotencyKey(key);
    return request;
}

// Creates turns for tests that don't use a ClaimsFleet.
struct TurnFactory {
    std::mt19937_64 random { 1 };
    PlatformTag lastTag;

    Turn at(Instant now) { return Turn(now, random, lastTag); }
};

// Returns a fleet in which both partitions with traffic have a settled holder.
std::unique_ptr<ClaimsFleet> settledFleet(uint64_t seed)
{
    auto fleet = std::make_unique<ClaimsFleet>(seed, std::vector<Fault> {});
    fleet->endRefusals();
    for (Instant from { 1s }; from < Instant(12s); from += 300ms)
        fleet->addKey(from, 1);
    fleet->runUntil(Instant(25s));
    return fleet;
}

size_t holderOf(ClaimsFleet& fleet, size_t key)
{
    auto id = partitionOf(partition.service, AccountId("vratka"), fleet.keys()[key].key);
    return std::stoul(fleet.claims(0).partitionManager().directory().find(id)->holder.value());
}

CallerResult sendAndWait(ClaimsFleet& fleet, size_t key, size_t sidecarIndex)
{
    auto attempt = fleet.send(key, sidecarIndex);
    fleet.runUntil(fleet.now() + 1200ms);
    return fleet.attempts()[attempt].result;
}

}

TEST(PartitionRecord, ParsesItsOwnFormat)
{
    PartitionRecord record { ClaimEpoch(7), InstanceId("souss 1"), Incarnation(3), PartitionRecordState::HandedOver, InstanceId("souss 2"), Duration(5) };
    EXPECT_EQ(PartitionRecord::parse(record.format()), record);
    record.successor = {};
    EXPECT_EQ(PartitionRecord::parse(record.format()), record);
}

TEST(PartitionRecord, RejectsMalformedText)
{
    for (auto text : { "", "7", "7\na\n3\nheld\n\n", "x\na\n3\nheld\n\n5\n", "7\na\n3\nlost\n\n5\n", "7\na\n3\nheld\n\n-5\n" })
        EXPECT_FALSE(PartitionRecord::parse(text)) << text;
}

// Processes of different versions must agree on the partition of a key, so these values must never change.
TEST(PartitionMap, GivesTheSamePartitionInEveryVersion)
{
    std::vector<uint32_t> partitions;
    for (auto key : { "a", "b", "c", "d" })
        partitions.push_back(partitionOf(partition.service, AccountId("vratka"), IdempotencyKey(key)).partition);
    EXPECT_EQ(partitions, (std::vector<uint32_t> { 5, 6, 2, 5 }));
}

TEST(HolderLease, CountsFromBeforeTheCall)
{
    TurnFactory turns;
    HolderLease lease(InstanceId("1"), 60s);
    auto asked = turns.at(Instant(100s));
    lease.ensure(asked);
    // The process is paused for 50 s before it reads the reply.
    auto answered = turns.at(Instant(150s));
    auto change = HolderLease::Change::None;
    EXPECT_TRUE(lease.handleReply(answered, { turns.lastTag, PlatformStatus::Done, {}, 0, PlatformLease("l") }, change));
    EXPECT_EQ(change, HolderLease::Change::Granted);
    EXPECT_TRUE(lease.isValid(Instant(153s)));
    EXPECT_FALSE(lease.isValid(Instant(154s)));
}

TEST(ClaimTable, KeepsALaterAttemptWhenAnEarlierOneEndsTwice)
{
    auto chart = loadChart<ClaimState, ClaimEvent>(ChartFile::Claim);
    ClaimTable table(chart);
    ClaimKey key { AccountId("a"), IdempotencyKey("k") };
    ClaimOutcome notRun { 5, partition.service, 0, key.account, key.key, RequestId("r"), Outcome::NotRun };
    table.insert(key, { { 1, 1 }, RequestId("r"), sidecar, 5, ClaimState::Running, Instant(5s), Instant(9s) });
    table.recordOutcome(sidecar, notRun);
    EXPECT_EQ(table.find(key), nullptr);

    table.insert(key, { { 1, 1 }, RequestId("r"), sidecar, 6, ClaimState::Running, Instant(5s), Instant(9s) });
    table.recordOutcome(sidecar, notRun);
    table.recordOutcome({ sidecar.instance, Incarnation(2) }, { 6, partition.service, 0, key.account, key.key, RequestId("r"), Outcome::NotRun });
    ASSERT_NE(table.find(key), nullptr);
    EXPECT_EQ(table.find(key)->state, ClaimState::Running);
    table.removeExpired(Instant(9s));
    EXPECT_EQ(table.size(), 0u);
}

TEST(HandoverInbox, IsCompleteOnlyWithEveryPart)
{
    std::vector<ClaimEntry> entries;
    for (int index = 0; index < 500; ++index)
        entries.push_back(entryOf(std::to_string(index) + std::string(100, 'k')));
    auto parts = splitHandover(partition, ClaimEpoch(3), entries);
    ASSERT_GE(parts.size(), 3u);
    for (const auto& part : parts)
        EXPECT_LE(part.entries.size() * 100, 48u * 1024);

    HandoverInbox inbox;
    PartitionRecord record { ClaimEpoch(3), sidecar.instance, sidecar.incarnation };
    inbox.add(sidecar, parts.back(), Instant(1s));
    for (size_t index = 1; index < parts.size(); ++index)
        inbox.add(sidecar, parts[index], Instant(1s));
    EXPECT_FALSE(inbox.isComplete(partition, record));
    inbox.add(sidecar, parts.front(), Instant(2s));
    EXPECT_TRUE(inbox.isComplete(partition, record));
    EXPECT_FALSE(inbox.isComplete(partition, { ClaimEpoch(4), sidecar.instance, sidecar.incarnation }));

    auto taken = inbox.take(partition, Instant(4s));
    ASSERT_EQ(taken.size(), entries.size());
    // The 2 s that the first part waited in the inbox count.
    EXPECT_EQ(taken.front().remaining, 8s);
}

TEST(KeptAnswers, EvictsTheOldestBeyondItsBound)
{
    TurnFactory turns;
    auto turn = turns.at(Instant(1s));
    KeptAnswers answers(2);
    for (uint64_t call = 1; call <= 3; ++call)
        answers.keep(turn, SidecarCallId(call), requestOf(std::to_string(call)), Instant(60s));
    EXPECT_FALSE(answers.find(requestOf("1")));
    EXPECT_EQ(answers.find(requestOf("3")), SidecarCallId(3));
    auto other = requestOf("3");
    other.fingerprint = { 7, 7 };
    EXPECT_FALSE(answers.find(other));
    auto later = turns.at(Instant(60s));
    answers.handleTimer(later);
    EXPECT_EQ(answers.size(), 0u);
    EXPECT_EQ(later.effects().size(), 2u);
}

TEST(PauseDetector, ReportsStaleInputAfterAPause)
{
    PauseDetector detector;
    detector.start(Instant(1s));
    EXPECT_TRUE(detector.isFresh(Instant(1100ms)));
    detector.handleTimer(Instant(1200ms));
    EXPECT_TRUE(detector.isFresh(Instant(1300ms)));
    detector.handleTimer(Instant(4s));
    EXPECT_FALSE(detector.isFresh(Instant(4100ms)));
    detector.handleTimer(Instant(4200ms));
    detector.handleTimer(Instant(4400ms));
    EXPECT_TRUE(detector.isFresh(Instant(4500ms)));
}

// A restarted process counts its sequences from 1 again, so a late grant to its earlier incarnation has the sequence of
// another request. The process must ignore it.
TEST(Claims, IgnoreRepliesToAnEarlierIncarnation)
{
    TurnFactory turns;
    MemberRecord self { InstanceId("0"), Incarnation(2) };
    FakePeers peers(self);
    peers.put({ InstanceId("1"), Incarnation(1) });
    FakeBackends backends({ InstanceId("1") }, partition.service);
    ProfileRegistry profiles;
    FakeClaims claims(self, peers, backends, profiles);
    auto turn = turns.at(Instant(1s));
    claims.start(turn);
    claims.request(turn, SidecarCallId(1), requestOf("k"), ClaimsFleet::profile());
    auto replyTo = [](uint64_t incarnation) { return Message { InstanceId("1"), Incarnation(1), {}, ClaimReply { 1, Incarnation(incarnation), ClaimVerdict::Granted, 50s, ClaimEpoch(1) } }; };
    claims.receive(turn, replyTo(1));
    EXPECT_TRUE(claims.takeDecisions().empty());
    claims.receive(turn, replyTo(2));
    auto decisions = claims.takeDecisions();
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions.front().verdict, ClaimVerdict::Granted);
    // A request without a deadline gets the profile's maximum deadline.
    EXPECT_EQ(decisions.front().validUntil, Instant(2s));
}

TEST(Claims, ReplayTheFirstAnswerThroughEverySidecar)
{
    auto fleet = settledFleet(1);
    auto key = fleet->newKey();
    // The fake backend servers lose one outcome in ten, so this may need several keys.
    while (sendAndWait(*fleet, key, 0) != CallerResult::Answered)
        key = fleet->newKey();
    for (size_t sidecarIndex = 0; sidecarIndex < 3; ++sidecarIndex)
        EXPECT_EQ(sendAndWait(*fleet, key, sidecarIndex), CallerResult::Replayed);
    EXPECT_EQ(fleet->keys()[key].runs, 1u);
}

TEST(Claims, AreNotGrantedAgainWhileACrashedHoldersClaimsMayBeValid)
{
    auto fleet = settledFleet(2);
    auto key = fleet->newKey();
    auto holder = holderOf(*fleet, key);
    auto sidecarIndex = (holder + 1) % ClaimsFleet::processCount;
    sendAndWait(*fleet, key, sidecarIndex);
    ASSERT_EQ(fleet->keys()[key].runs, 1u);
    fleet->kill(holder, 60s);
    auto killedAt = fleet->now();
    auto refusedUntil = killedAt + ClaimsFleet::profile().idempotency.resendWindow;
    while (fleet->now() < refusedUntil)
        EXPECT_NE(sendAndWait(*fleet, key, sidecarIndex == 4 ? 2 : 4), CallerResult::Answered);
    EXPECT_EQ(fleet->keys()[key].runs, 1u);
}

// A rolling restart must not cause long refusals: 1 s after the holder starts to leave, a resend gets the kept answer.
TEST(Claims, AreHandedOverByALeavingHolder)
{
    auto fleet = settledFleet(3);
    auto key = fleet->newKey();
    auto holder = holderOf(*fleet, key);
    auto sidecarIndex = (holder + 1) % ClaimsFleet::processCount;
    while (sendAndWait(*fleet, key, sidecarIndex) != CallerResult::Answered || holderOf(*fleet, key) != holder)
        key = fleet->newKey();
    fleet->leave(holder, 60s);
    fleet->runUntil(fleet->now() + 1s);
    EXPECT_EQ(sendAndWait(*fleet, key, (holder + 2) % ClaimsFleet::processCount), CallerResult::Replayed);
    EXPECT_EQ(fleet->stuckLeavers(), 0u);
}

TEST(Claims, AreGrantedWhileThePlatformIsDownForLessThanTheLease)
{
    ClaimsFleet fleet(4, { { FaultKind::PlatformDown, 25s, 1500ms } });
    fleet.endRefusals();
    for (Instant from { 1s }; from < Instant(12s); from += 300ms)
        fleet.addKey(from, 1);
    fleet.runUntil(Instant(25100ms));
    EXPECT_NE(sendAndWait(fleet, fleet.newKey(), 0), CallerResult::NotRun);
}
