#include "RetryLoad.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

constexpr int lastFaultKind = static_cast<int>(RetryFaultKind::Burst);

std::vector<RetryFault> arbitraryFaults()
{
    std::vector<RetryFault> faults(*rc::gen::inRange<size_t>(1, 8));
    for (auto& fault : faults) {
        fault.kind = static_cast<RetryFaultKind>(*rc::gen::inRange(0, lastFaultKind + 1));
        fault.at = std::chrono::milliseconds(*rc::gen::inRange(0, 12'000));
        fault.length = std::chrono::milliseconds(*rc::gen::inRange(100, 12'000));
        fault.first = *rc::gen::inRange<size_t>(0, 16);
        fault.second = *rc::gen::inRange<size_t>(0, 16);
    }
    return faults;
}

}

RC_GTEST_PROP(RetryLoadProperties, RepeatedArrivalsOfTheFleetStayWithinTheLimitInEveryWindow, ())
{
    RetryLoad load(*rc::gen::arbitrary<uint64_t>(), arbitraryFaults());
    load.run();
    RC_ASSERT(load.largestExcess() <= 0);
}

// Runs of one service fail and are repeated while its callers press, so that their calls pile up at the other service.
TEST(RetryLoad, CallsOfRepeatedRunsStayWithinTheLimitOfTheCalledService)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        RetryLoad load(seed, {
                                 { RetryFaultKind::Burst, 1s, 12s, 0, 0 },
                                 { RetryFaultKind::Cuts, 1s, 12s, 0, 2 },
                             });
        load.run();
        EXPECT_LE(load.largestExcess(), 0) << "seed " << seed;
    }
}

TEST(RetryLoad, RequestsThatBackendServersRefuseAsMisdirectedCountAsArrivals)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        RetryLoad load(seed, { { RetryFaultKind::Misdirects, 1s, 12s, 0, 8 } });
        load.run();
        EXPECT_LE(load.largestExcess(), 0) << "seed " << seed;
    }
}

// Such a run may be a repeated one: its ingress gave it up, or its sidecar was restarted beside it.
TEST(RetryLoad, CallsOfRunsThatAreNotKnownCountAsRepeated)
{
    NodeFleet fleet(1, 2, RetryLoad::fleetOptions());
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
        std::vector<RetryFault> faults { { RetryFaultKind::Cuts, 500ms, 14s, 0, 5 }, { RetryFaultKind::Cuts, 500ms, 14s, 1, 5 } };
        for (int kill = 0; kill < 8; ++kill)
            faults.push_back({ RetryFaultKind::Kill, 2s + kill * 1200ms, 200ms, 0, RetryLoad::nodeCount - 2 });
        RetryLoad load(seed, faults);
        load.run();
        EXPECT_LE(load.largestExcess(), 0) << "seed " << seed;
    }
}
