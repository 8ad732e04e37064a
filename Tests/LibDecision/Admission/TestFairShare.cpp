#include <Tests/LibDecision/Admission/OverloadModel.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

const AccountId clerk("clerk");

}

RC_GTEST_PROP(FairShareProperties, LightAccountWaitsAtMostOneServiceTime, ())
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto overload = *rc::gen::element(0.8, 1.0, 1.5, 3.0);
    auto busyAccounts = *rc::gen::inRange(1, 4);
    OverloadModel model(warmProfile(), seed);
    auto results = model.run(clerkAmongBusyAccounts(overload, busyAccounts), 20s);
    const auto& light = results[clerk];
    RC_ASSERT(light.refused == 0u);
    // A response takes one service time without load, and at most twice as long under load.
    for (auto wait : light.waits)
        RC_ASSERT(wait <= OverloadModel::serviceTime);
}

TEST(FairShare, BusyAccountGetsTheRestOfTheCapacity)
{
    OverloadModel model(warmProfile(), 1);
    auto results = model.run(clerkAmongBusyAccounts(3, 1), 60s);
    const auto& busy = results[AccountId("busy-0")];
    // At least 98 % of a minute's capacity; the margin covers the start and the end of the run.
    EXPECT_GE(static_cast<double>(busy.waits.size()), 0.98 * 60 * OverloadModel::capacity());
}

TEST(FairShare, EqualAccountsGetEqualShares)
{
    OverloadModel model(warmProfile(), 1);
    auto results = model.run(clerkAmongBusyAccounts(3, 3), 60s);
    auto fairShare = 60 * OverloadModel::capacity() / 3;
    for (int number = 0; number < 3; ++number) {
        auto served = static_cast<double>(results[AccountId("busy-" + std::to_string(number))].waits.size());
        EXPECT_NEAR(served, fairShare, 0.1 * fairShare);
    }
}
