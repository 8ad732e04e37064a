#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

constexpr Instant start { 1h };

RunReport answerNaming(std::optional<double> limit)
{
    RunReport report;
    report.status = 200;
    report.elapsed = 20ms;
    report.notice = BackendNotice { limit };
    return report;
}

// A sidecar whose backend server "a" with many slots has answered one request.
class LimitedSidecarTest : public testing::Test {
protected:
    LimitedSidecarTest()
    {
        rig.announce("a", 1, 100);
        rig.arrive(AdmissionRig::arrivalOf(1, "a"));
    }

    // Sends one request after another at once, each of which may wait this long. Returns how many run or wait.
    size_t offer(size_t count, Duration longestWait, Incarnation incarnation = Incarnation(1))
    {
        size_t accepted = 0;
        for (size_t number = 0; number < count; ++number) {
            auto arrival = AdmissionRig::arrivalOf(++m_lastCall, "a");
            arrival.longestWait = longestWait;
            arrival.incarnation = incarnation;
            auto effects = rig.arrive(arrival);
            auto refusals = effectsOf<RefuseSidecarCall>(effects);
            accepted += refusals.empty() ? 1 : 0;
            if (!refusals.empty())
                lastRefusal = refusals.front();
        }
        return accepted;
    }

    static Profile patientProfile()
    {
        auto profile = warmProfile();
        profile.capacity.queueTimeout = 2s;
        return profile;
    }

    AdmissionRig rig { patientProfile() };
    RefuseSidecarCall lastRefusal;

private:
    uint64_t m_lastCall { 1 };
};

}

RC_GTEST_PROP(RequestLimitProperties, NoWindowHoldsMoreThanTheBurstAndTheRate, ())
{
    auto limit = *rc::gen::inRange(0, 200) / 10.0;
    RequestLimit bucket;
    bucket.hear(limit, start, start);
    std::vector<Instant> passed;
    auto now = start;
    for (int step = 0; step < 300; ++step) {
        now += Duration(*rc::gen::inRange(0, 200'000));
        if (!bucket.allows(now))
            continue;
        bucket.countRequest(now);
        passed.push_back(now);
    }
    for (auto end : passed) {
        auto inWindow = std::ranges::count_if(passed, [&](Instant at) { return at > end - 4s && at <= end; });
        RC_ASSERT(static_cast<double>(inWindow) <= 1.5 * limit * 4 + 5);
    }
}

TEST(RequestLimit, AnAnswerThatMayBeOlderNeitherRaisesNorEndsTheLimit)
{
    RequestLimit limit;
    EXPECT_TRUE(limit.hear(2, start, start + 100ms));
    EXPECT_FALSE(limit.hear(std::nullopt, start + 50ms, start + 110ms));
    EXPECT_FALSE(limit.hear(9, start + 50ms, start + 120ms));
    EXPECT_EQ(limit.value(), 2);
    EXPECT_TRUE(limit.hear(1, start + 50ms, start + 130ms));
    EXPECT_FALSE(limit.hear(2, start + 120ms, start + 140ms));
    EXPECT_TRUE(limit.hear(5, start + 130ms, start + 150ms));
    EXPECT_EQ(limit.value(), 5);
    EXPECT_TRUE(limit.hear(std::nullopt, start + 160ms, start + 170ms));
    EXPECT_FALSE(limit.value());
}

TEST(RequestLimit, WhatOtherProcessesKnowHoldsUntilAnAnswerIsHeard)
{
    RequestLimit limit;
    EXPECT_TRUE(limit.learn(3, start));
    EXPECT_FALSE(limit.learn(5, start));
    EXPECT_TRUE(limit.learn(2, start));
    EXPECT_EQ(limit.value(), 2);
    EXPECT_TRUE(limit.hear(std::nullopt, start, start + 20ms));
    EXPECT_FALSE(limit.learn(2, start + 30ms));
    EXPECT_FALSE(limit.value());
    EXPECT_TRUE(limit.wasEverNamed());
}

TEST(RequestLimit, ALimitOfZeroLetsSomeRequestsFindOutWhetherItHolds)
{
    RequestLimit limit;
    limit.hear(0, start, start);
    EXPECT_FALSE(limit.allows(start));
    EXPECT_EQ(limit.waitFor(0, start), 2s);
    EXPECT_TRUE(limit.allows(start + 2s));
}

TEST_F(LimitedSidecarTest, QueuedRequestsStartAtTheRateOfTheLimit)
{
    rig.finish(1, answerNaming(10));
    EXPECT_EQ(offer(3, 1s), 3u);
    EXPECT_TRUE(effectsOf<RunCall>(rig.advance(99ms)).empty());
    EXPECT_EQ(effectsOf<RunCall>(rig.advance(1ms)).size(), 1u);
    EXPECT_EQ(effectsOf<RunCall>(rig.advance(200ms)).size(), 2u);
}

TEST_F(LimitedSidecarTest, ARequestThatTheLimitLetsThroughTooLateIsRefusedAtOnceAndTellsWhenThereIsRoom)
{
    rig.finish(1, answerNaming(1));
    EXPECT_EQ(offer(1, 300ms), 0u);
    EXPECT_EQ(nameOf(lastRefusal.reason), nameOf(Reason::BackendLimited));
    EXPECT_EQ(nameOf(lastRefusal.outcome), nameOf(Outcome::NotRun));
    ASSERT_TRUE(lastRefusal.load.condition);
    EXPECT_EQ(lastRefusal.load.condition->requestLimit, 1);
    EXPECT_EQ(lastRefusal.load.condition->limitWait, 1s);
    rig.advance(800ms);
    EXPECT_EQ(offer(1, 300ms), 1u);
}

TEST_F(LimitedSidecarTest, ALimitEndsWithTheFirstNewerAnswerThatNamesNone)
{
    rig.finish(1, answerNaming(10));
    rig.advance(100ms);
    EXPECT_EQ(offer(1, 1s), 1u);
    rig.advance(20ms);
    rig.finish(2, answerNaming(std::nullopt));
    EXPECT_EQ(offer(50, 1ms), 50u);
}

TEST_F(LimitedSidecarTest, ALimitEndsWithTheIncarnationThatNamedIt)
{
    rig.finish(1, answerNaming(0));
    EXPECT_EQ(offer(1, 1ms), 0u);
    rig.announce("a", 2, 100);
    EXPECT_EQ(offer(50, 1ms, Incarnation(2)), 50u);
}

TEST_F(LimitedSidecarTest, ALimitOutlastsALapseOfTheAnnouncement)
{
    rig.finish(1, answerNaming(0));
    rig.advance(1min);
    ASSERT_EQ(rig.backends.find(BackendId("a"))->phase, BackendPhase::Gone);
    rig.announce("a", 1, 100);
    EXPECT_LE(offer(50, 1ms), 1u);
}

TEST_F(LimitedSidecarTest, ClaimedRequestsKeepTheLimit)
{
    rig.finish(1, answerNaming(1));
    rig.advance(1s);
    size_t runs = 0;
    for (uint64_t call = 101; call <= 103; ++call)
        rig.arrive(AdmissionRig::keyedArrivalOf(call, "a"));
    for (uint64_t call = 101; call <= 103; ++call) {
        ClaimDecision decision { SidecarCallId(call), ClaimVerdict::Granted, rig.now + 1s, {}, {} };
        runs += effectsOf<RunCall>(rig.decide(decision)).size();
    }
    EXPECT_EQ(runs, 1u);
}

TEST_F(LimitedSidecarTest, AHealthCheckCanNameALimitButNotEndIt)
{
    auto probe = answerNaming(0);
    rig.advance(1s);
    rig.turn([&](Turn& step) { rig.admission.probeFinished(step, BackendId("a"), probe); });
    EXPECT_EQ(offer(1, 1ms), 0u);
    rig.advance(100ms);
    rig.turn([&](Turn& step) { rig.admission.probeFinished(step, BackendId("a"), answerNaming(std::nullopt)); });
    EXPECT_EQ(offer(1, 1ms), 0u);
}
