#include <LibDecision/Calls/AttemptTimeout.h>
#include <LibDecision/Calls/CallLimit.h>
#include <LibDecision/Calls/RetryBudget.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

RC_GTEST_PROP(RetryBudgetProperties, RetriesStayWithinTheBudget, (const std::vector<std::pair<bool, uint16_t>>& steps))
{
    RetryPolicy policy;
    policy.budget = *rc::gen::element(0.0, 0.1, 0.5);
    policy.minimumPerSecond = *rc::gen::element(0.0, 1.0, 5.0);
    RetryBudget budget;
    Instant start { 1h };
    auto now = start;
    double firsts = 0;
    double reruns = 0;
    double reroutes = 0;
    for (const auto& [isFirst, elapsed] : steps) {
        now += Duration(elapsed);
        if (isFirst) {
            budget.countFirstAttempt(policy, now);
            ++firsts;
        } else {
            reruns += budget.take(RetryKind::Rerun, policy, now) ? 1 : 0;
            reroutes += budget.take(RetryKind::Reroute, policy, now) ? 1 : 0;
        }
        auto seconds = 1 + std::chrono::duration<double>(now - start).count();
        constexpr double rounding = 1e-6;
        RC_ASSERT(reruns <= policy.budget * firsts + policy.minimumPerSecond * seconds + rounding);
        RC_ASSERT(reroutes <= RetryBudget::rerouteShare * firsts + RetryBudget::reroutesPerSecond * seconds + rounding);
    }
}

TEST(RetryBudget, ZeroBudgetAllowsNoRerun)
{
    RetryPolicy policy;
    policy.budget = 0;
    policy.minimumPerSecond = 0;
    RetryBudget budget;
    Instant now { 1h };
    budget.countFirstAttempt(policy, now);
    EXPECT_FALSE(budget.take(RetryKind::Rerun, policy, now));
    EXPECT_FALSE(budget.take(RetryKind::Rerun, policy, now + 1h));
}

TEST(RetryBudget, ServiceWithLittleTrafficMayRetry)
{
    RetryBudget budget;
    budget.countFirstAttempt({}, Instant { 1h });
    EXPECT_TRUE(budget.take(RetryKind::Rerun, {}, Instant { 1h }));
    EXPECT_FALSE(budget.take(RetryKind::Rerun, {}, Instant { 1h }));
    EXPECT_TRUE(budget.take(RetryKind::Rerun, {}, Instant { 1h + 1s }));
}

TEST(RetryBudget, ReroutesDoNotUseUpReruns)
{
    RetryBudget budget;
    budget.countFirstAttempt({}, Instant { 1h });
    while (budget.take(RetryKind::Reroute, {}, Instant { 1h })) { }
    EXPECT_TRUE(budget.take(RetryKind::Rerun, {}, Instant { 1h }));
}

TEST(AttemptTimeout, FollowsLatencyAndLeavesTimeForAnotherAttempt)
{
    AttemptTimeout timeout;
    EXPECT_EQ(timeout.timeout(10s), AttemptTimeout::initial);
    EXPECT_EQ(timeout.timeout(1s), 500ms);
    EXPECT_FALSE(timeout.timeout(99ms));
    for (int sample = 0; sample < 100; ++sample)
        timeout.observe(25ms);
    EXPECT_LE(timeout.timeout(10s), AttemptTimeout::minimum + 1ms);
    for (int sample = 0; sample < 100; ++sample)
        timeout.observe(1s);
    EXPECT_GE(timeout.timeout(10s), 1s);
}

RC_GTEST_PROP(CallLimitProperties, AdmitsAnAccountWithoutCallsRegardlessOfOthers, (const std::vector<uint8_t>& accountNumbers))
{
    constexpr uint32_t maximum = 32;
    CallLimit limit(maximum);
    std::ranges::for_each(accountNumbers, [&](uint8_t number) { limit.acquire(AccountId("busy-" + std::to_string(number % 4))); });
    RC_ASSERT(limit.held() < maximum);
    RC_ASSERT(limit.acquire(AccountId("clerk")));
}

TEST(CallLimit, ReleasedPlacesCanBeAcquiredAgain)
{
    CallLimit limit(2);
    EXPECT_TRUE(limit.acquire(AccountId("busy")));
    EXPECT_FALSE(limit.acquire(AccountId("busy")));
    limit.release(AccountId("busy"));
    EXPECT_EQ(limit.held(), 0u);
    EXPECT_TRUE(limit.acquire(AccountId("busy")));
}
