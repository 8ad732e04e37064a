#include <Tests/LibDecision/Admission/OverloadModel.h>

#include <LibDecision/Admission/RequestPriority.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <tuple>

using namespace Decision;

namespace {

constexpr size_t smallTenants = 12;

// A profile as the users' platform has it.
Profile platformProfile()
{
    auto profile = warmProfile();
    profile.capacity.queueLength = 12;
    profile.capacity.queueTimeout = 2s;
    profile.fairness.maximumAccountShare = 1;
    return profile;
}

double shareOf(uint64_t part, uint64_t whole) { return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole); }
double servedShareOf(const AccountResult& result) { return shareOf(result.waits.size(), result.sent); }

double servedShareOfAll(const std::map<AccountId, AccountResult>& results)
{
    AccountResult all;
    for (const auto& [account, result] : results) {
        all.sent += result.sent;
        all.waits.insert(all.waits.end(), result.waits.begin(), result.waits.end());
    }
    return servedShareOf(all);
}

// Small tenants that together send `rest` of the capacity, and one tenant that sends `load` of it.
std::vector<AccountLoad> oneAmongSmallTenants(double load, double rest)
{
    std::vector<AccountLoad> loads { { AccountId("one"), load * OverloadModel::capacity() } };
    for (size_t number = 0; number < smallTenants; ++number)
        loads.push_back({ AccountId("small-" + std::to_string(number)), rest * OverloadModel::capacity() / smallTenants });
    return loads;
}

std::vector<AccountId> accountsServed(AdmissionRig& rig, std::map<SidecarCallId, AccountId>& accounts, uint64_t running, size_t count)
{
    std::vector<AccountId> order;
    RunReport report;
    report.status = 200;
    report.elapsed = 25ms;
    for (size_t step = 0; step < count; ++step) {
        rig.now += 1ms;
        auto runs = effectsOf<RunCall>(rig.finish(running, report));
        if (runs.size() != 1)
            break;
        running = runs.front().call.value();
        order.push_back(accounts.at(runs.front().call));
    }
    return order;
}

}

// Guards against an order in which a tenant's priority doesn't go before the route's, or priorities of large numbers wrap.
RC_GTEST_PROP(RequestPriority, TenantsPriorityGoesBeforeTheRoutes, ())
{
    auto anyPriority = [] { return *rc::gen::oneOf(rc::gen::inRange<uint32_t>(0, 4), rc::gen::arbitrary<uint32_t>()); };
    auto [tenant, route, otherTenant, otherRoute] = std::tuple(anyPriority(), anyPriority(), anyPriority(), anyPriority());
    auto clamped = [](uint32_t tenantPriority, uint32_t routePriority) {
        return std::pair(std::min(tenantPriority, 65535U), std::min(routePriority, 65534U));
    };
    auto combined = combinedPriority(tenant, route);
    auto other = combinedPriority(otherTenant, otherRoute);
    RC_ASSERT((combined < other) == (clamped(tenant, route) < clamped(otherTenant, otherRoute)));
    RC_ASSERT((queuePriority(combined, std::nullopt) < queuePriority(other, std::nullopt)) == (combined < other));
}

// Guards against a call of a running request that waits behind its parent's like, as that would waste the parent's work.
RC_GTEST_PROP(RequestPriority, CallsOfRunningRequestsGoBeforeTheirParents, ())
{
    auto parent = queuePriority(combinedPriority(*rc::gen::inRange<uint32_t>(0, 4), *rc::gen::arbitrary<uint32_t>()), std::nullopt);
    auto ownRoute = *rc::gen::arbitrary<uint32_t>();
    auto call = queuePriority(ownRoute, parent);
    RC_ASSERT(call == parent - 1);
    // It goes before its parent's like, but not before requests of more urgent tenants.
    auto tenantOf = [](uint32_t priority) { return priority >> RequestPriorities::routeBits; };
    RC_ASSERT(tenantOf(call) == tenantOf(parent));
    RC_ASSERT(queuePriority(ownRoute, 0U) == 0U);
}

TEST(RequestPriority, OrderWithoutTenantsIsThatOfTheRoutes)
{
    EXPECT_LT(queuePriority(0, std::nullopt), queuePriority(1, std::nullopt));
    EXPECT_EQ(queuePriority(3, std::nullopt), 4U);
    // One more than the highest number would be the most urgent one.
    EXPECT_EQ(queuePriority(UINT32_MAX, std::nullopt), UINT32_MAX);
}

// Guards against another order in deployments without tenants: there the account with the least recent usage goes first, of
// several the one whose oldest request came first.
RC_GTEST_PROP(TenantTurns, WithoutTenantsTheLeastUsageGoesFirst, (const std::vector<std::pair<uint8_t, uint8_t>>& steps))
{
    FairQueue queue;
    std::map<AccountId, double> usages;
    std::vector<std::pair<SidecarCallId, AccountId>> waiting;
    uint64_t last = 0;
    for (const auto& [kind, value] : steps) {
        AccountId account("account-" + std::to_string(value % 5));
        usages[account] = value % 7;
        if (kind % 2 == 0) {
            waiting.emplace_back(++last, account);
            queue.offer(waiting.back().first, account, usages[account], 10, { 1000, 1 });
        } else {
            queue.setUsage(account, usages[account]);
        }
        if (kind % 3 == 0 && !waiting.empty()) {
            auto next = std::ranges::min_element(waiting, {}, [&](const auto& entry) { return usages.at(entry.second); });
            RC_ASSERT(*queue.front() == next->first);
            queue.remove(next->first);
            waiting.erase(next);
        }
    }
}

// Guards against a tenant whose many waiting requests are served before the few of others.
TEST(TenantTurns, WaitingRequestsAreServedInTurnsOfAccounts)
{
    AdmissionRig rig(platformProfile());
    rig.admission.takeTurns(true);
    rig.announce("b", 1, 1);
    std::map<SidecarCallId, AccountId> accounts;
    uint64_t last = 0;
    for (const auto* account : { "running", "hot", "hot", "hot", "light", "hot", "other", "light" }) {
        accounts[SidecarCallId(++last)] = AccountId(account);
        rig.arrive(AdmissionRig::arrivalOf(last, "b", account));
    }
    auto order = accountsServed(rig, accounts, 1, 7);
    std::vector<AccountId> expected;
    for (const auto* account : { "hot", "light", "other", "hot", "light", "hot", "hot" })
        expected.emplace_back(account);
    EXPECT_EQ(order, expected);
}

// Guards against refusing a light tenant's request because a hot one's requests fill the queue, although it would go first.
TEST(TenantTurns, ExpectedWaitCountsTurnsRatherThanAllWaitingRequests)
{
    PriorityQueue queue;
    FairQueueLimits limits { 20, 1 };
    for (uint64_t call = 1; call <= 8; ++call)
        queue.offer(SidecarCallId(call), 1, AccountId("hot"), 0, 1, limits, 5);
    queue.offer(SidecarCallId(9), 0, AccountId("urgent"), 0, 1, limits);
    EXPECT_EQ(queue.countAheadInTurns(1, AccountId("light")), 2u);
    EXPECT_EQ(queue.countAheadInTurns(1, AccountId("hot")), 9u);
    EXPECT_EQ(queue.countAheadInTurns(0, AccountId("light")), 1u);
}

// Guards against a hot tenant that crowds out others: it sends 7.5 times what each of the others sends.
RC_GTEST_PROP(TenantTurns, HotTenantCrowdsOutNoOther, ())
{
    OverloadModel model(platformProfile(), *rc::gen::arbitrary<uint64_t>(), true);
    auto results = model.run(oneAmongSmallTenants(7.5 * 0.8 / smallTenants, 0.8), 30s);
    for (const auto& [account, result] : results) {
        if (account != AccountId("one"))
            RC_ASSERT(servedShareOf(result) >= 0.9);
    }
}

// Guards against starving a tenant that always sends more than others: equal turns alone would.
RC_GTEST_PROP(TenantTurns, NoTenantIsServedLessThanAQuarterAsOftenAsAll, ())
{
    auto load = *rc::gen::element(0.3, 0.6, 1.0, 2.0);
    auto rest = *rc::gen::element(0.8, 1.2, 2.0);
    OverloadModel model(platformProfile(), *rc::gen::arbitrary<uint64_t>(), true);
    auto results = model.run(oneAmongSmallTenants(load, rest), 60s);
    for (const auto& [account, result] : results)
        RC_ASSERT(servedShareOf(result) >= servedShareOfAll(results) / 4);
}

// Guards against a table of accounts that grows with whoever calls.
TEST(TenantTurns, QuietAccountsAreForgotten)
{
    AccountTurns turns;
    Instant now { 1h };
    for (int number = 0; number < 100'000; ++number) {
        now += 10ms;
        turns.requested(AccountId("account-" + std::to_string(number)), now);
        turns.served(AccountId("account-" + std::to_string(number)), now);
    }
    // An account that sent one request is remembered for 33 s, within which 3,300 others send one.
    EXPECT_LE(turns.size(), 2 * 3400u);
}
