#include "ArbitraryFaults.h"

#include <LibDecision/NodeState.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

RC_GTEST_PROP(LimitLoadProperties, BackendServersGetNoMoreThanTheyNameInAnyWindow, ())
{
    auto faults = arbitraryLoadFaults();
    faults.push_back({ LoadFaultKind::NamedLimit, 500ms, 18s, *rc::gen::inRange<size_t>(0, 2), *rc::gen::inRange<size_t>(0, 16) });
    FaultyLoad load(*rc::gen::arbitrary<uint64_t>(), faults);
    load.run();
    RC_ASSERT(load.largestLimitExcess() <= 0);
}

TEST(LimitLoad, AllProcessesTogetherKeepTheLimitThatABackendServerNames)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        FaultyLoad load(seed, { { LoadFaultKind::NamedLimit, 500ms, 18s, 0, 1 }, { LoadFaultKind::Burst, 5s, 10s, 0, 0 } });
        load.run();
        EXPECT_LE(load.largestLimitExcess(), 0) << "seed " << seed;
    }
}

TEST(LimitLoad, ARestartedProcessKeepsTheLimitThatOnlyItsPredecessorHeard)
{
    // Limits of 0 and 3.2 a second.
    for (size_t limit : { 0, 4 }) {
        std::vector<LoadFault> faults { { LoadFaultKind::NamedLimit, 500ms, 18s, 0, limit }, { LoadFaultKind::Slow, 3s, 15s, 0, 8 }, { LoadFaultKind::Burst, 3s, 15s, 0, 0 } };
        for (int kill = 0; kill < 12; ++kill)
            faults.push_back({ LoadFaultKind::Kill, 4s + kill * 800ms, 200ms, 0, 0 });
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            FaultyLoad load(seed, faults);
            load.run();
            EXPECT_LE(load.largestLimitExcess(), 0) << "seed " << seed;
        }
    }
}
