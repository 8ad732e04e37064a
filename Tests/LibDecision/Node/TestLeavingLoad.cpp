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
