#include "ServiceFixture.h"

#include <gtest/gtest.h>

using namespace Decision;

namespace {

constexpr int backendCount = 15;
constexpr Duration usualTime = 25ms;

Profile profileOf(HealthPriority priority)
{
    Profile profile;
    profile.health.priority = priority;
    profile.health.floor = 0.7;
    return profile;
}

// The sidecar of backend server 0, with enough samples in the service's baselines.
struct SidecarFixture : ServiceFixture {
    explicit SidecarFixture(HealthPriority priority = HealthPriority::DetectionTime)
        : ServiceFixture(profileOf(priority), backendCount)
    {
        for (int request = 0; request < 1000; ++request)
            attempt(1 + request % (backendCount - 1), healthyAnswer());
    }

    // Log-normal latencies around usualTime, with 1% of outliers that are 8 times as long.
    Duration usual()
    {
        std::lognormal_distribution<double> spread(0, 0.5);
        bool isOutlier = std::bernoulli_distribution(0.01)(random);
        return std::chrono::duration_cast<Duration>(usualTime * spread(random) * (isOutlier ? 8 : 1));
    }

    AttemptReport healthyAnswer(double strength = 0)
    {
        AttemptReport report;
        report.status = 200;
        report.serviceTime = usual();
        report.elapsed = 1ms;
        report.hasLoad = true;
        report.load.slots = 3;
        report.load.suspicion = suspicionFromStrength(strength);
        return report;
    }

    // Runs requests until the local backend server is ejected. Returns the number of requests, or the maximum.
    template <typename MakeReport>
    int runsUntilEjected(int maximum, MakeReport makeReport)
    {
        for (int request = 0; request < maximum; ++request) {
            if (state(0) == StandingState::Ejected)
                return request;
            run(0, makeReport());
        }
        return maximum;
    }

    RunReport answered(uint16_t status, Duration elapsed)
    {
        RunReport report;
        report.status = status;
        report.elapsed = elapsed;
        return report;
    }

    RunReport failed(AttemptResult result)
    {
        RunReport report;
        report.result = result;
        report.elapsed = usual();
        return report;
    }
};

constexpr int manyRequests = 2000;

}

TEST(HealthFaults, EjectsASlowBackendServerWithinFewRequests)
{
    SidecarFixture three;
    EXPECT_LT(three.runsUntilEjected(manyRequests, [&] { return three.answered(200, 3 * three.usual()); }), 100);
    SidecarFixture ten;
    EXPECT_LT(ten.runsUntilEjected(manyRequests, [&] { return ten.answered(200, 10 * ten.usual()); }), 20);
}

TEST(HealthFaults, DoesNotEjectAHealthyBackendServer)
{
    SidecarFixture service;
    EXPECT_EQ(service.runsUntilEjected(20'000, [&] { return service.answered(200, service.usual()); }), 20'000);
    EXPECT_EQ(service.eventCount(DecisionKind::BackendEjected), 0U);
}

TEST(HealthFaults, EjectsAStuckBackendServerByItsOpenRequests)
{
    SidecarFixture service;
    auto stuckAt = service.now;
    for (uint64_t run = 1; run <= 3; ++run)
        service.act([&](Turn& turn) { service.health.runStarted(turn, SidecarCallId(1'000'000 + run), ServiceFixture::id(0)); });
    service.advanceUntil(stuckAt + 1s);
    EXPECT_EQ(service.state(0), StandingState::Ejected);
}

TEST(HealthFaults, EjectsSoonerWithAHigherErrorShare)
{
    auto requestsFor = [](double share) {
        SidecarFixture service;
        std::bernoulli_distribution fails(share);
        return service.runsUntilEjected(manyRequests, [&] { return service.answered(fails(service.random) ? 500 : 200, service.usual()); });
    };
    auto few = requestsFor(0.05);
    auto some = requestsFor(0.3);
    auto all = requestsFor(1);
    EXPECT_LT(few, manyRequests);
    EXPECT_LT(some, few);
    EXPECT_LT(all, some);
    EXPECT_LE(all, 12);
}

TEST(HealthFaults, EjectsForCutAndMalformedAnswersAlthoughProbesSucceed)
{
    for (auto result : { AttemptResult::ConnectionLost, AttemptResult::Malformed, AttemptResult::NotSent }) {
        SidecarFixture service;
        EXPECT_LT(service.runsUntilEjected(manyRequests, [&] { return service.failed(result); }), 20) << nameOf(result);
        service.health.setProbeEndpoint(ServiceFixture::id(0), Endpoint { "127.0.0.1", 1 });
        service.advance(6s);
        ASSERT_EQ(service.probes.size(), 1U);
        service.act([&](Turn& turn) { service.health.probeFinished(turn, ServiceFixture::id(0), service.answered(200, usualTime)); });
        ASSERT_EQ(service.state(0), StandingState::Returning);
        // The probe succeeded although requests still fail. The next ejection needs fewer failures than the first one.
        EXPECT_LT(service.runsUntilEjected(manyRequests, [&] { return service.failed(result); }), 10) << nameOf(result);
    }
}

TEST(HealthFaults, DoesNotCountShedLoadAndStaleConnectionsAsFailures)
{
    SidecarFixture service;
    auto shed = service.failed(AttemptResult::RefusedNotRun);
    shed.reason = Reason::BackendShedding;
    EXPECT_EQ(service.runsUntilEjected(500, [&] { return shed; }), 500);
    auto silent = service.failed(AttemptResult::Stalled);
    silent.wasFreshConnection = false;
    EXPECT_EQ(service.runsUntilEjected(500, [&] { return silent; }), 500);
    EXPECT_EQ(service.state(0), StandingState::Healthy);
}

TEST(HealthFaults, EjectsNothingIfAllBackendServersAreSlow)
{
    SidecarFixture service;
    // The other sidecars report evidence that grows as fast as the local evidence.
    constexpr double strengthPerRequest = 0.09;
    for (int round = 0; round < 300; ++round) {
        service.run(0, service.answered(200, 3 * service.usual()));
        for (int number = 1; number < backendCount; ++number) {
            auto answer = service.healthyAnswer(std::min(2.0, strengthPerRequest * round));
            answer.serviceTime *= 3;
            service.attempt(number, answer);
        }
    }
    EXPECT_EQ(service.eventCount(DecisionKind::BackendEjected), 0U);
    EXPECT_GT(service.eventCount(DecisionKind::BackendEjectionWithheld), 0U);
}

TEST(HealthFaults, EjectsNoMoreThanTheFloorAllowsIfAThirdIsFaulty)
{
    SidecarFixture service;
    for (int number = 1; number <= 5; ++number)
        service.report(number, 1.5);
    service.advance(1s);
    EXPECT_EQ(service.eventCount(DecisionKind::BackendEjected), 4U);
    EXPECT_EQ(service.eventCount(DecisionKind::BackendEjectionWithheld), 1U);
    EXPECT_GE(service.shareInUse(), 0.7);
}

TEST(HealthFaults, CountsUnreachableDrainingAndColdBackendServersAsOutOfUse)
{
    SidecarFixture service;
    service.setPhase(9, BackendPhase::Draining);
    service.setPhase(10, BackendPhase::Warming);
    service.unreachable.insert(InstanceId("p-11"));
    for (int number = 1; number <= 5; ++number)
        service.report(number, 1.5);
    service.advance(1s);
    EXPECT_EQ(service.eventCount(DecisionKind::BackendEjected), 1U);
}

TEST(HealthFaults, TakesTheLeastFaultyBackWhenTheFloorIsBroken)
{
    SidecarFixture service;
    for (int number = 1; number <= 4; ++number) {
        service.report(number, 1 + 0.2 * number);
        service.advance(200ms);
    }
    ASSERT_EQ(service.eventCount(DecisionKind::BackendEjected), 4U);
    service.setPhase(9, BackendPhase::Draining);
    EXPECT_GE(service.shareInUse(), 0.7);
    EXPECT_NE(service.state(1), StandingState::Ejected);
    EXPECT_EQ(service.state(4), StandingState::Ejected);
}

TEST(HealthFaults, EjectsAFlappingBackendServerForLongerEachTime)
{
    SidecarFixture service;
    std::vector<Duration> lengths;
    for (int repetition = 0; repetition < 4; ++repetition) {
        service.runsUntilEjected(manyRequests, [&] { return service.answered(500, 3ms); });
        auto ejectedAt = service.now;
        while (service.state(0) == StandingState::Ejected)
            service.advance(100ms);
        lengths.push_back(service.now - ejectedAt);
    }
    EXPECT_TRUE(std::ranges::is_sorted(lengths));
    EXPECT_GE(lengths.back(), 4 * lengths.front());
}

TEST(HealthFaults, EjectsForABrokenPathWithoutPublishingAReport)
{
    SidecarFixture service;
    auto cutAt = service.now;
    for (uint64_t call = 1; call <= 4; ++call)
        service.act([&](Turn& turn) { service.health.attemptStarted(turn, CallId(2'000'000 + call), service.record(3)); });
    service.advanceUntil(cutAt + 1s);
    EXPECT_EQ(service.state(3), StandingState::Ejected);
    EXPECT_TRUE(service.reports.empty());
    EXPECT_NE(service.standing(3).evidence.find("path"), std::string::npos);
}

TEST(HealthFaults, DoesNotSuspectAPathOnWhichTheSidecarResponds)
{
    SidecarFixture service;
    for (uint64_t call = 1; call <= 4; ++call)
        service.act([&](Turn& turn) { service.health.attemptStarted(turn, CallId(2'000'000 + call), service.record(3)); });
    auto refusal = service.healthyAnswer();
    refusal.result = AttemptResult::RefusedNotRun;
    refusal.reason = Reason::QueueFull;
    for (int round = 0; round < 10; ++round) {
        service.advance(100ms);
        service.attempt(3, refusal);
    }
    EXPECT_EQ(service.state(3), StandingState::Healthy);
}

TEST(HealthFaults, IncreasesTheShareOfAColdBackendServerStepByStep)
{
    SidecarFixture service;
    service.setPhase(5, BackendPhase::Warming);
    service.advance(3s);
    service.setPhase(5, BackendPhase::Serving);
    double last = 0;
    for (int second = 0; second < 10; ++second) {
        EXPECT_GE(service.standing(5).share, last);
        last = service.standing(5).share;
        service.advance(1s);
    }
    EXPECT_LT(last, 1);
    EXPECT_EQ(service.standing(5).share, 1);
    EXPECT_EQ(service.state(5), StandingState::Healthy);
}

TEST(HealthFaults, DoesNotEjectForAColdStart)
{
    SidecarFixture service;
    service.setPhase(0, BackendPhase::Warming);
    service.setPhase(0, BackendPhase::Serving);
    for (int request = 0; request < 80; ++request)
        service.run(0, service.answered(200, 3 * service.usual()));
    EXPECT_EQ(service.eventCount(DecisionKind::BackendEjected), 0U);
}

TEST(HealthFaults, EjectsForAReportThatJustReachesTheThreshold)
{
    SidecarFixture service;
    service.report(3, 1.0001);
    service.advance(500ms);
    EXPECT_EQ(service.state(3), StandingState::Ejected);
}

TEST(HealthFaults, DoesNotTakeANewRecordVersionForAColdStart)
{
    SidecarFixture service;
    service.advance(1min);
    service.setPhase(5, BackendPhase::Serving);
    EXPECT_EQ(service.standing(5).share, 1);
}

TEST(HealthFaults, CompletesAReturnAfterTheFloorPreventedAnotherEjection)
{
    SidecarFixture service;
    service.report(3, 1.5);
    service.advance(1s);
    ASSERT_EQ(service.state(3), StandingState::Ejected);
    service.report(3, 0);
    ASSERT_EQ(service.state(3), StandingState::Returning);
    for (int number = 6; number <= 10; ++number)
        service.setPhase(number, BackendPhase::Warming);
    service.report(3, 1);
    for (int number = 6; number <= 10; ++number)
        service.setPhase(number, BackendPhase::Serving);
    service.advance(3min);
    EXPECT_EQ(service.standing(3).share, 1);
}

TEST(HealthFaults, PublishesFewReportsAboutItsBackendServer)
{
    SidecarFixture service;
    service.runsUntilEjected(manyRequests, [&] { return service.failed(AttemptResult::ConnectionLost); });
    ASSERT_FALSE(service.reports.empty());
    EXPECT_TRUE(service.reports.back().isFromSidecar);
    EXPECT_GE(service.reports.back().suspicion, suspicionFromStrength(1));
    EXPECT_LE(service.reports.size(), 3U);
}

TEST(HealthFaults, DetectionPriorityOfTheProfileDecidesHowSoonItEjects)
{
    auto requestsFor = [](HealthPriority priority) {
        SidecarFixture service(priority);
        return service.runsUntilEjected(manyRequests, [&] { return service.answered(200, 3 * service.usual()); });
    };
    EXPECT_LT(requestsFor(HealthPriority::DetectionTime), requestsFor(HealthPriority::FewFalseEjections));
    EXPECT_LT(requestsFor(HealthPriority::FewFalseEjections), manyRequests);
}

TEST(HealthFaults, DecisionEventsContainFiguresAndTheRevision)
{
    SidecarFixture service;
    service.runsUntilEjected(manyRequests, [&] { return service.answered(500, 3ms); });
    auto ejected = std::ranges::find(service.events, DecisionKind::BackendEjected, &DecisionEvent::kind);
    ASSERT_NE(ejected, service.events.end());
    EXPECT_EQ(ejected->revision, Revision(7));
    EXPECT_NE(ejected->evidence.find("requests failed"), std::string::npos);
    EXPECT_NE(ejected->evidence.find("45 of 45 slots"), std::string::npos);
}
