#include "ArbitraryFaults.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

RC_GTEST_PROP(RetryLoadProperties, RepeatedArrivalsOfTheFleetStayWithinTheLimitInEveryWindow, ())
{
    FaultyLoad load(*rc::gen::arbitrary<uint64_t>(), arbitraryLoadFaults());
    load.run();
    RC_ASSERT(load.largestRetryExcess() <= 0);
}

// Runs of one service fail and are repeated while its callers press, so that their calls pile up at the other service.
TEST(RetryLoad, CallsOfRepeatedRunsStayWithinTheLimitOfTheCalledService)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        FaultyLoad load(seed, {
                                  { LoadFaultKind::Burst, 1s, 12s, 0, 0 },
                                  { LoadFaultKind::Cuts, 1s, 12s, 0, 2 },
                              });
        load.run();
        EXPECT_LE(load.largestRetryExcess(), 0) << "seed " << seed;
    }
}

TEST(RetryLoad, RequestsThatBackendServersRefuseAsMisdirectedCountAsArrivals)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        FaultyLoad load(seed, { { LoadFaultKind::Misdirects, 1s, 12s, 0, 8 } });
        load.run();
        EXPECT_LE(load.largestRetryExcess(), 0) << "seed " << seed;
    }
}

// Such a run may be a repeated one: its ingress gave it up, or its sidecar was restarted beside it.
TEST(RetryLoad, CallsOfRunsThatAreNotKnownCountAsRepeated)
{
    NodeFleet fleet(1, 2, FaultyLoad::fleetOptions());
    fleet.addBackend("archive", 0);
    fleet.runFor(20s);
    auto call = fleet.makeRequest("archive", Method::Get);
    call.id = RequestId("lost-run.1");
    call.parent = RequestId("lost-run");
    call.remaining = 500ms;
    fleet.send(1, call);
    fleet.runFor(1s);
    EXPECT_EQ(fleet.state(0).admission().arrivals().countedAsRetry, 1u);
    EXPECT_EQ(fleet.state(0).admission().arrivals().first, 0u);
}

TEST(RetryLoad, RestartedProcessesDoNotAddToTheLimit)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        std::vector<LoadFault> faults { { LoadFaultKind::Cuts, 500ms, 14s, 0, 5 }, { LoadFaultKind::Cuts, 500ms, 14s, 1, 5 } };
        for (int kill = 0; kill < 8; ++kill)
            faults.push_back({ LoadFaultKind::Kill, 2s + kill * 1200ms, 200ms, 0, FaultyLoad::nodeCount - 2 });
        FaultyLoad load(seed, faults);
        load.run();
        EXPECT_LE(load.largestRetryExcess(), 0) << "seed " << seed;
    }
}
