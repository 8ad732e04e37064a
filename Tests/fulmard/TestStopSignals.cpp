#include <Services/fulmard/StopSignals.h>

#include <gtest/gtest.h>

using namespace Fulmard;

// Planned stops that overlap signal a process twice; its requests in flight must not be cut.
TEST(StopSignals, ARepeatedTerminationSignalCutsNoRequests)
{
    StopSignals signals;
    EXPECT_EQ(signals.receive(SIGTERM), StopAction::Leave);
    EXPECT_EQ(signals.receive(SIGTERM), StopAction::Leave);
    EXPECT_EQ(signals.receive(SIGTERM), StopAction::Leave);
}

TEST(StopSignals, APersonCanCutAStopShort)
{
    StopSignals signals;
    EXPECT_EQ(signals.receive(SIGINT), StopAction::Leave);
    EXPECT_EQ(signals.receive(SIGINT), StopAction::EndNow);
}
