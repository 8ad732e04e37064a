#include <LibDecision/Quotas/QuotaHolder.h>

#include <gtest/gtest.h>

#include <numeric>
#include <optional>
#include <random>
#include <vector>

using namespace Decision;

namespace {

Tenant makeTenant(double rate, double burst) { return { .name = AccountId("hotel"), .requestsPerSecond = rate, .burst = burst }; }

const Instant start { 100s };

uint32_t take(QuotaBuckets& buckets, Duration at, const Tenant& tenant, uint32_t wanted)
{
    return buckets.take(start + at, tenant, { tenant.name, wanted, 0 }).tokens;
}

}

// An earlier holder may have granted a burst just before. With full or empty buckets, each change of holder would grant
// another one.
TEST(QuotaBuckets, BeginABurstBelowNothingAndFillUpToTheBurst)
{
    QuotaBuckets buckets(start);
    auto tenant = makeTenant(10, 40);
    EXPECT_EQ(take(buckets, 0s, tenant, 1), 0u);
    EXPECT_EQ(take(buckets, 2s, tenant, 100), 0u);
    EXPECT_EQ(take(buckets, 3s, tenant, 100), 14u);
    EXPECT_EQ(take(buckets, 60s, tenant, 100), 40u);
}

// A tenant that always asks for more gets what every window allows, and no window has more: neither with a full bucket at the
// beginning nor when another holder takes over at any moment.
TEST(QuotaBuckets, EachWindowHasWhatTheQuotaAllowsAlsoIfTheHolderChanges)
{
    constexpr int steps = 3000;
    constexpr int windowSteps = 550;
    auto terms = QuotaTerms::from({ .quotaSlack = 20 });
    for (auto [rate, burst] : { std::pair { 54.0, 54.0 }, { 100.0, 0.0 }, { 20.0, 200.0 }, { 5.0, 5.0 } }) {
        auto tenant = makeTenant(rate, burst);
        auto allowed = (rate * 5 + burst) * 1.1 + 20;
        for (int change : { steps, 1000, 1100, 1300 }) {
            std::optional<QuotaBuckets> buckets(std::in_place, start - 60s, terms);
            std::vector<uint32_t> granted;
            for (int step = 0; step < steps; ++step) {
                if (step == change)
                    buckets.emplace(start + step * 10ms, terms);
                granted.push_back(take(*buckets, step * 10ms, tenant, 1000));
            }
            for (int from = 0; from + windowSteps <= steps; ++from) {
                auto window = std::accumulate(granted.begin() + from, granted.begin() + from + windowSteps, 0u);
                ASSERT_LE(window, allowed) << rate << ' ' << burst << ' ' << change << ' ' << from;
            }
            auto last = std::accumulate(granted.end() - 1000, granted.end(), 0u);
            EXPECT_GE(last, 0.95 * 2 * (rate * 5 + burst)) << rate << ' ' << burst << ' ' << change;
        }
    }
}

// Tokens that were kept under an earlier, higher quota would exceed the new one for a whole burst.
TEST(QuotaBuckets, ALoweredQuotaAppliesAtOnce)
{
    QuotaBuckets buckets(start);
    EXPECT_EQ(take(buckets, 60s, makeTenant(10, 100), 1), 1u);
    EXPECT_EQ(take(buckets, 60s, makeTenant(2, 10), 100), 10u);
    EXPECT_EQ(take(buckets, 62s, makeTenant(2, 10), 100), 8u);
}

// Callers that were all told the same instant would return together.
TEST(QuotaBuckets, RefusedCallersAreToldToReturnOneAfterTheOther)
{
    QuotaBuckets buckets(start - 60s);
    auto tenant = makeTenant(8, 10);
    take(buckets, 0s, tenant, 10);
    auto first = buckets.take(start, tenant, { tenant.name, 3, 0 });
    auto second = buckets.take(start, tenant, { tenant.name, 1, 0 });
    EXPECT_EQ(first.nextToken, 100ms);
    EXPECT_EQ(first.retryAfter, 100ms);
    EXPECT_EQ(second.nextToken, 100ms);
    EXPECT_EQ(second.retryAfter, 400ms);
    for (int refused = 0; refused < 200; ++refused)
        EXPECT_LE(buckets.take(start, tenant, { tenant.name, 1, 0 }).retryAfter, longestQuotaReturn);
}

// Tokens ahead that expire unused are lost to the tenant.
TEST(QuotaBuckets, GrantTokensAheadOnlyWhileThereArePlenty)
{
    QuotaBuckets buckets(start);
    auto tenant = makeTenant(10, 40);
    EXPECT_EQ(buckets.take(start + 3s, tenant, { tenant.name, 1, 5 }).tokensAhead, 0u);
    EXPECT_EQ(buckets.take(start + 60s, tenant, { tenant.name, 1, 100 }).tokensAhead, 19u);
}

// Requests of a window of 5 s take tokens that were granted within 5.5 s only if no token is used earlier or later.
TEST(QuotaTerms, NoTokenIsUsedAfterTheLeaseThatItWasGrantedUnder)
{
    for (Duration window : { 1s, 2s, 5s, 60s }) {
        auto terms = QuotaTerms::from({ .quotaWindow = window });
        EXPECT_EQ(terms.longestWait() + terms.aheadValidity(), terms.tokenValidity);
        EXPECT_LE(terms.tokenValidity, window / 10);
        EXPECT_GT(terms.grantMargin(), terms.tokenValidity + suspensionTolerance);
        // The lease is renewed every third of its time, and its proof is a tenth shorter.
        EXPECT_GT(quotaLeaseTime - quotaLeaseTime / 10 - terms.grantMargin(), quotaLeaseTime / 3);
    }
}

// A tenant that sends 3/s of its 5/s in clumps found its bucket of 5 tokens empty for one request in twenty.
TEST(QuotaBuckets, ATenantBelowItsRateIsServedAlthoughItsCallersComeInClumps)
{
    std::mt19937_64 random(1);
    std::exponential_distribution<double> pause(1.5);
    auto tenant = makeTenant(5, 5);
    auto refusedOf = [&](const QuotaTerms& terms) {
        QuotaBuckets buckets(start, terms);
        uint32_t refused = 0;
        double at = 10;
        for (int clump = 0; clump < 1000; ++clump) {
            at += pause(random);
            refused += 2 - take(buckets, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)), tenant, 2);
        }
        return refused;
    };
    EXPECT_GT(refusedOf(QuotaTerms::from({})), 40u);
    EXPECT_LT(refusedOf(QuotaTerms::from({ .quotaSlack = 20 })), 10u);
}

// A grant that is answered after a later lease was lost would be taken to last as long as that one.
TEST(HolderLease, ALateGrantIsProvenOnlyFromItsOwnSending)
{
    std::mt19937_64 random(1);
    PlatformTag tag;
    HolderLease lease(InstanceId("node-0"), quotaLeaseTime);
    auto at = [&](Duration passed) { return Turn(start + passed, random, tag); };
    auto answer = [](PlatformTag call, PlatformStatus status, const char* name) {
        PlatformReply reply { .tag = call, .status = status };
        reply.lease = PlatformLease(name);
        return reply;
    };
    HolderLease::Change change;
    for (auto sentAt : { 0ms, 250ms }) {
        auto turn = at(sentAt);
        lease.handleTimer(turn);
        lease.ensure(turn);
    }
    auto second = at(260ms);
    EXPECT_TRUE(lease.handleReply(second, answer(PlatformTag(2), PlatformStatus::Done, "second"), change));
    auto renewal = at(750ms);
    lease.handleTimer(renewal);
    auto lost = at(760ms);
    EXPECT_TRUE(lease.handleReply(lost, answer(PlatformTag(3), PlatformStatus::Refused, ""), change));
    EXPECT_EQ(change, HolderLease::Change::Lost);
    auto late = at(770ms);
    EXPECT_TRUE(lease.handleReply(late, answer(PlatformTag(1), PlatformStatus::Done, "first"), change));
    EXPECT_EQ(lease.provenAt(), start);
    EXPECT_EQ(lease.remaining(start + 770ms), quotaLeaseTime - quotaLeaseTime / 10 - 770ms);
}

TEST(SuspensionClock, NoticesSuspensionsThatAddUp)
{
    SuspensionClock clock;
    EXPECT_FALSE(clock.observe(40ms));
    EXPECT_TRUE(clock.observe(60ms));
    EXPECT_FALSE(clock.observe(60ms));
    EXPECT_TRUE(clock.observe(10s));
    EXPECT_EQ(clock.at(start), start + 10s);
}
