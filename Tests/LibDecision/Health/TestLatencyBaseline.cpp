#include <LibDecision/Health/LatencyBaseline.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

LatencyBaseline baselineOf(const std::vector<int>& milliseconds)
{
    LatencyBaseline baseline;
    for (auto latency : milliseconds)
        baseline.add(std::chrono::milliseconds(latency), Instant {});
    return baseline;
}

}

RC_GTEST_PROP(LatencyBaseline, SurprisalNeverFallsWithLatency, ())
{
    auto samples = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 400));
    auto baseline = baselineOf(samples);
    auto shorter = std::chrono::microseconds(*rc::gen::inRange(100, 2'000'000));
    auto longer = shorter + std::chrono::microseconds(*rc::gen::inRange(0, 2'000'000));
    RC_ASSERT(baseline.surprisal(longer) >= baseline.surprisal(shorter) - 1e-9);
}

RC_GTEST_PROP(LatencyBaseline, MeanSurprisalOfItsOwnSamplesIsAtMostOneNat, ())
{
    auto samples = *rc::gen::container<std::vector<int>>(1000, rc::gen::inRange(5, 400));
    auto baseline = baselineOf(samples);
    double sum = 0;
    for (auto sample : samples)
        sum += baseline.surprisal(std::chrono::milliseconds(sample));
    RC_ASSERT(sum / 1000 <= 1.0);
}

TEST(LatencyBaseline, IsNotReadyWithFewSamples)
{
    EXPECT_FALSE(baselineOf(std::vector<int>(10, 25)).isReady());
    EXPECT_TRUE(baselineOf(std::vector<int>(100, 25)).isReady());
}

TEST(LatencyBaseline, SurprisalIsLowForAConstantLatency)
{
    EXPECT_LT(baselineOf(std::vector<int>(1000, 25)).surprisal(25ms), 0.1);
    EXPECT_GT(baselineOf(std::vector<int>(1000, 25)).surprisal(250ms), 6.0);
}

TEST(LatencyBaseline, OldSamplesLoseWeight)
{
    auto baseline = baselineOf(std::vector<int>(3000, 20));
    for (int sample = 0; sample < 20'000; ++sample)
        baseline.add(200ms, Instant {});
    EXPECT_LT(baseline.surprisal(200ms), 1.0);
    EXPECT_GT(baseline.upperQuantile(0.5), 100ms);
}
