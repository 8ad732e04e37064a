#include <Tests/LibDecision/Admission/AdmissionRig.h>

#include <LibDecision/Admission/FleetRetryShare.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

RetryPolicy fleetPolicy(double extra)
{
    RetryPolicy policy;
    policy.budget = 0.2;
    policy.fleetExtra = extra;
    return policy;
}

SidecarCallArrived retryOf(uint64_t call)
{
    auto arrival = AdmissionRig::arrivalOf(call, "b");
    arrival.arrival = ArrivalKind::Retry;
    return arrival;
}

RunReport goodRun()
{
    RunReport report;
    report.status = 200;
    report.elapsed = 1ms;
    return report;
}

Profile fleetProfile(double extra)
{
    auto profile = warmProfile();
    profile.retries = fleetPolicy(extra);
    return profile;
}

// Sends retries until one is refused; returns how many ran.
uint32_t retriesUntilRefusal(AdmissionRig& rig, uint64_t firstCall)
{
    constexpr uint32_t most = 1000;
    for (uint32_t count = 0; count < most; ++count) {
        if (effectsOf<RunCall>(rig.arrive(retryOf(firstCall + count))).empty())
            return count;
        rig.finish(firstCall + count, goodRun());
    }
    return most;
}

}

RC_GTEST_PROP(FleetRetryShareProperties, AllSidecarsTogetherStayWithinTheLimitInEveryWindow, ())
{
    auto policy = fleetPolicy(*rc::gen::inRange<uint32_t>(40, 300));
    auto sidecars = *rc::gen::inRange<size_t>(1, 40);
    auto requestsPerSecond = *rc::gen::inRange(1, 200);
    std::vector<Instant> firsts;
    std::vector<Instant> retries;
    Instant start { 1h };
    std::vector<FleetRetryShare> shares;
    for (size_t sidecar = 0; sidecar < sidecars; ++sidecar)
        shares.emplace_back(start - *rc::gen::inRange(0, 60) * 1s);
    for (int step = 0; step < 20 * requestsPerSecond; ++step) {
        auto now = start + step * Duration(1s) / requestsPerSecond;
        auto& share = shares[step % sidecars];
        share.countFirstArrival(policy, sidecars, now);
        firsts.push_back(now);
        while (share.hasRetryLeft(policy, sidecars, now)) {
            share.spend(policy, sidecars, now);
            retries.push_back(now);
        }
    }
    for (auto from = start; from < start + 10s; from += 500ms) {
        auto isInWindow = [&](Instant at) { return at >= from && at < from + policy.window; };
        auto allowed = policy.budget * static_cast<double>(std::ranges::count_if(firsts, isInWindow)) + policy.fleetExtra;
        RC_ASSERT(static_cast<double>(std::ranges::count_if(retries, isInWindow)) <= allowed);
    }
}

// Processes start without knowing the others, are killed after they have used up their shares, and leave.
RC_GTEST_PROP(FleetRetryShareProperties, SidecarsThatStartAndLeaveStayWithinTheLimitTogether, ())
{
    constexpr double extra = 60;
    constexpr auto step = 50ms;
    auto policy = fleetPolicy(extra);
    auto sidecars = *rc::gen::inRange<size_t>(4, 20);
    auto killInterval = *rc::gen::inRange(20, 300);
    auto joinTime = std::chrono::milliseconds(*rc::gen::inRange(0, 2500));
    auto leaving = *rc::gen::inRange<size_t>(0, sidecars / 2 + 1);
    Instant start { 1h };
    struct Process {
        FleetRetryShare share;
        Instant startedAt;
    };
    std::vector<Process> processes(sidecars, Process { FleetRetryShare(start - 1min), start - 1min });
    std::vector<Instant> arrivals;
    for (int count = 0; count < 600; ++count) {
        auto now = start + count * step;
        if (count == 100)
            processes.erase(processes.end() - static_cast<std::ptrdiff_t>(leaving), processes.end());
        for (auto& process : processes) {
            if (count % killInterval == killInterval - 1)
                process = { FleetRetryShare(now), now };
            size_t known = now - process.startedAt < joinTime ? 1 : processes.size();
            while (process.share.hasRetryLeft(policy, known, now) || process.share.hasReserveLeft(policy, known, now)) {
                process.share.spend(policy, known, now);
                arrivals.push_back(now);
            }
        }
    }
    for (auto from = start; from < start + 20s; from += 200ms) {
        auto inWindow = std::ranges::count_if(arrivals, [&](Instant at) { return at >= from && at < from + policy.window; });
        RC_ASSERT(static_cast<double>(inWindow) <= extra);
    }
}

TEST(FleetRetryShare, NegativeShareIsRefilledBeforeRetriesAreAllowed)
{
    auto policy = fleetPolicy(100);
    Instant now { 1h };
    FleetRetryShare share(now);
    for (int count = 0; count < 20; ++count)
        share.spend(policy, 10, now);
    // A share of 10 refills 0.35 retries per second, so 20 retries beyond the share take about a minute.
    EXPECT_FALSE(share.hasRetryLeft(policy, 10, now + 30s));
    EXPECT_TRUE(share.hasRetryLeft(policy, 10, now + 70s));
}

TEST(FleetRetryShare, RefusesRetriesBeyondTheShareAsNotRun)
{
    AdmissionRig rig(fleetProfile(60));
    rig.admission.useServiceSize([](const ServiceName&) { return size_t(15); });
    rig.announce("b", 1, 3);
    // A share starts empty, so that starting processes don't add retries to those already used by others.
    EXPECT_EQ(retriesUntilRefusal(rig, 1000), 0u);
    rig.now += 30s;
    auto ran = retriesUntilRefusal(rig, 1);
    EXPECT_GE(ran, 1u);
    EXPECT_LE(ran, 4u);
    auto refusals = effectsOf<RefuseSidecarCall>(rig.arrive(retryOf(100)));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
    EXPECT_EQ(refusals.front().reason, Reason::RetryBudgetExhausted);
    EXPECT_EQ(effectsOf<RunCall>(rig.arrive(AdmissionRig::arrivalOf(101, "b"))).size(), 1u);
}

TEST(FleetRetryShare, OnlyFirstArrivalsOfCallersRequestsDepositRetries)
{
    AdmissionRig callers(fleetProfile(10));
    AdmissionRig nested(fleetProfile(10));
    for (auto* rig : { &callers, &nested }) {
        rig->admission.useServiceSize([](const ServiceName&) { return size_t(10); });
        rig->announce("b", 1, 3);
        retriesUntilRefusal(*rig, 1000);
    }
    for (uint64_t call = 1; call <= 20; ++call) {
        callers.arrive(AdmissionRig::arrivalOf(call, "b"));
        callers.finish(call, goodRun());
        auto arrival = AdmissionRig::arrivalOf(call, "b");
        arrival.request.parent = RequestId("parent");
        nested.arrive(arrival);
        nested.finish(call, goodRun());
    }
    EXPECT_GE(retriesUntilRefusal(callers, 2000), 1u);
    EXPECT_EQ(retriesUntilRefusal(nested, 2000), 0u);
}

TEST(FleetRetryShare, RequestRefusedForNoFreeSlotDepositsNoRetries)
{
    AdmissionRig rig(fleetProfile(10));
    rig.admission.useServiceSize([](const ServiceName&) { return size_t(10); });
    rig.announce("b", 1, 1);
    retriesUntilRefusal(rig, 1000);
    rig.arrive(AdmissionRig::arrivalOf(1, "b"));
    for (uint64_t call = 2; call <= 40; ++call) {
        auto arrival = AdmissionRig::arrivalOf(call, "b");
        arrival.isOnlyForFreeSlot = true;
        EXPECT_EQ(effectsOf<RefuseSidecarCall>(rig.arrive(arrival)).size(), 1u);
    }
    rig.finish(1, goodRun());
    EXPECT_EQ(retriesUntilRefusal(rig, 2000), 0u);
}

TEST(FleetRetryShare, CallsOfARetriedRunAreAdmittedAfterRetriesAreRefusedButWithinTheLimit)
{
    constexpr double extra = 100;
    AdmissionRig rig(fleetProfile(extra));
    rig.announce("b", 1, 3);
    rig.now += 30s;
    auto retries = retriesUntilRefusal(rig, 1000);
    EXPECT_EQ(retries, FleetRetryShare::burstFraction * extra);
    uint32_t calls = 0;
    for (uint64_t call = 1; call <= extra; ++call) {
        auto arrival = AdmissionRig::arrivalOf(call, "b");
        arrival.request.parent = RequestId("parent");
        arrival.arrival = ArrivalKind::CountedAsRetry;
        auto effects = rig.arrive(arrival);
        auto refusals = effectsOf<RefuseSidecarCall>(effects);
        if (!refusals.empty()) {
            EXPECT_EQ(refusals.front().outcome, Outcome::NotRun);
            EXPECT_EQ(refusals.front().reason, Reason::RetryBudgetExhausted);
            continue;
        }
        EXPECT_EQ(effectsOf<RunCall>(effects).size(), 1u);
        ++calls;
        rig.finish(call, goodRun());
    }
    EXPECT_EQ(calls, FleetRetryShare::reserveFraction * extra);
    EXPECT_EQ(retriesUntilRefusal(rig, 2000), 0u);
}

TEST(FleetRetryShare, ReportsWhichRunsAreFirstArrivals)
{
    AdmissionRig rig(fleetProfile(60));
    rig.announce("b", 1, 3);
    rig.now += 30s;
    rig.arrive(AdmissionRig::arrivalOf(1, "b"));
    rig.arrive(retryOf(2));
    rig.arrive(AdmissionRig::arrivalOf(3, "b"));
    EXPECT_TRUE(rig.admission.isRunningFirstArrival(RequestId("request-1")));
    EXPECT_FALSE(rig.admission.isRunningFirstArrival(RequestId("request-2")));
    rig.finish(1, goodRun());
    EXPECT_FALSE(rig.admission.isRunningFirstArrival(RequestId("request-1")));
}

TEST(FleetRetryShare, QueuedRetriesDoNotExceedTheShareTogether)
{
    AdmissionRig rig(fleetProfile(60));
    rig.admission.useServiceSize([](const ServiceName&) { return size_t(15); });
    rig.announce("b", 1, 1);
    retriesUntilRefusal(rig, 1000);
    rig.now += 30s;
    rig.arrive(AdmissionRig::arrivalOf(1, "b"));
    uint32_t queued = 0;
    for (uint64_t call = 2; call <= 7; ++call)
        queued += effectsOf<RefuseSidecarCall>(rig.arrive(retryOf(call))).empty() ? 1 : 0;
    EXPECT_GE(queued, 1u);
    EXPECT_LE(queued, 4u);
    // Retries that timed out in the queue are refunded.
    rig.advance(1s);
    rig.finish(1, goodRun());
    EXPECT_GE(retriesUntilRefusal(rig, 100), queued);
}

TEST(FleetRetryShare, CountsForTheBackendServersServiceNotTheRequestedOne)
{
    AdmissionRig rig(fleetProfile(60));
    std::vector<ServiceName> asked;
    rig.admission.useServiceSize([&](const ServiceName& service) {
        asked.push_back(service);
        return size_t(1);
    });
    rig.announce("b", 1, 3);
    auto arrival = retryOf(1);
    arrival.request.service = ServiceName("the caller's host");
    rig.arrive(arrival);
    ASSERT_FALSE(asked.empty());
    EXPECT_TRUE(std::ranges::all_of(asked, [](const ServiceName& service) { return service == ServiceName("desk"); }));
}
