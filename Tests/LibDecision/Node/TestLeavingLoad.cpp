#include "ArbitraryFaults.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

RC_GTEST_PROP(LeavingLoadProperties, ProcessesThatWereToldSendNothingToABackendServerThatLeaves, ())
{
    auto faults = arbitraryLoadFaults();
    faults.push_back({ LoadFaultKind::SaysItLeaves, std::chrono::milliseconds(*rc::gen::inRange(0, 8'000)), 0s, *rc::gen::inRange<size_t>(0, FaultyLoad::nodeCount), 0 });
    FaultyLoad load(*rc::gen::arbitrary<uint64_t>(), faults);
    load.run();
    RC_ASSERT(load.arrivalsAfterLeaving() == 0u);
}

// The sidecar is replaced again and again, and the backend server goes on announcing that it serves.
TEST(LeavingLoad, ALaterProcessBesideABackendServerThatLeavesGetsNoRequestsForIt)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        std::vector<LoadFault> faults { { LoadFaultKind::SaysItLeaves, 1s, 0s, 0, 0 } };
        for (int kill = 0; kill < 4; ++kill)
            faults.push_back({ LoadFaultKind::Kill, 3s + kill * 3500ms, 200ms, 0, FaultyLoad::nodeCount - 1 });
        FaultyLoad load(seed, faults);
        load.run();
        EXPECT_EQ(load.arrivalsAfterLeaving(), 0u) << "seed " << seed;
        // The processes 0 and 1 are replaced and have to hear the news themselves.
        auto late = std::ranges::count_if(load.fleet().arrivals(), [&](const BackendArrival& arrival) {
            return arrival.backend == 0 && arrival.ingress > 1 && arrival.sentAt >= load.beganAt() + 3s;
        });
        EXPECT_EQ(late, 0) << "seed " << seed;
    }
}

namespace {

// A process is restarted, the backend server beside it withdraws before it has announced itself to the new one, and goes on
// announcing that it serves. Gives the arrivals later than the bound of a drain.
size_t arrivalsAfterWithdrawal(uint64_t seed, Duration withdrawnAfter, bool endsAgain)
{
    constexpr Duration drainBound = 2s;
    constexpr size_t nodeCount = 4;
    NodeFleet fleet(seed, nodeCount, { .areBackendsTied = true });
    for (size_t node = 0; node < nodeCount; ++node)
        fleet.addBackend("desk", node);
    fleet.runFor(20s);
    fleet.kill(0);
    fleet.restart(0);
    fleet.runFor(withdrawnAfter);
    fleet.withdraw(0);
    auto bound = fleet.fleet().now() + drainBound;
    if (endsAgain) {
        fleet.runFor(300ms);
        fleet.kill(0);
        fleet.restart(0);
    }
    for (size_t number = 0; number < 1000; ++number) {
        fleet.send(number % nodeCount, fleet.makeRequest("desk", Method::Get));
        fleet.runFor(10ms);
    }
    return std::ranges::count_if(fleet.arrivals(), [&](const BackendArrival& arrival) { return arrival.backend == 0 && arrival.at > bound; });
}

}

TEST(LeavingLoad, AWithdrawalToAProcessThatHasJustStartedHoldsAgainstLateAnnouncements)
{
    for (uint64_t seed = 1; seed <= 10; ++seed)
        EXPECT_EQ(arrivalsAfterWithdrawal(seed, 50ms * static_cast<int64_t>(seed), false), 0u) << "seed " << seed;
}

TEST(LeavingLoad, AWithdrawalOutlivesTheProcessThatConfirmedIt)
{
    for (uint64_t seed = 1; seed <= 10; ++seed)
        EXPECT_EQ(arrivalsAfterWithdrawal(seed, 50ms * static_cast<int64_t>(seed), true), 0u) << "seed " << seed;
}
