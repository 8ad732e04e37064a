#include "ServiceFixture.h"

#include <LibDecision/Routing/Router.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Decision;

namespace {

// Processes "p-0" to "p-N" in three zones by turns.
class FakePaths {
public:
    explicit FakePaths(int count)
    {
        for (int number = 0; number < count; ++number) {
            auto member = ServiceFixture::self();
            member.instance = InstanceId("p-" + std::to_string(number));
            member.zone = ZoneName("zone-" + std::to_string(number % 3));
            m_members.emplace(member.instance, member);
        }
    }

    const MemberRecord* find(const InstanceId& instance) const
    {
        auto member = m_members.find(instance);
        return member == m_members.end() ? nullptr : &member->second;
    }
    bool isReachable(const InstanceId& instance) const { return !unreachable.contains(instance); }
    const MemberRecord& self() const { return m_members.at(InstanceId("p-0")); }

    std::set<InstanceId> unreachable;

private:
    std::map<InstanceId, MemberRecord> m_members;
};

std::set<int> arbitraryNumbers(int end)
{
    auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, end));
    return { numbers.begin(), numbers.end() };
}

struct RoutedService {
    explicit RoutedService(int backendCount, Profile profile = {})
        : service(std::move(profile), backendCount)
        , paths(backendCount)
        , router(paths, service.registry, service.health, service.profiles)
    {
        request.service = ServiceName("commission-desk");
    }

    std::optional<RouteChoice> choose()
    {
        std::optional<RouteChoice> choice;
        service.act([&](Turn& turn) { choice = router.choose(turn, request, reason); });
        return choice;
    }

    // Counts the choices of this many requests.
    std::map<BackendId, int> chooseMany(int count)
    {
        std::map<BackendId, int> counts;
        for (int number = 0; number < count; ++number) {
            if (auto choice = choose())
                ++counts[choice->backend.id];
        }
        return counts;
    }

    ServiceFixture service;
    FakePaths paths;
    Router<FakePaths> router;
    RouteRequest request;
    Reason reason { Reason::None };
};

}

RC_GTEST_PROP(Router, NeverChoosesADrainingOrGoneOrUnreachableBackendServer, ())
{
    RoutedService routed(9);
    auto drainable = arbitraryNumbers(9);
    for (auto number : drainable)
        routed.service.setPhase(number, *rc::gen::element(BackendPhase::Draining, BackendPhase::Gone));
    auto cut = arbitraryNumbers(9);
    for (auto number : cut)
        routed.paths.unreachable.insert(InstanceId("p-" + std::to_string(number)));
    if (*rc::gen::arbitrary<bool>())
        routed.request.key = IdempotencyKey("key");
    for (auto tried : arbitraryNumbers(9))
        routed.request.excluded.push_back(ServiceFixture::id(tried));

    std::set<int> usable;
    for (int number = 0; number < 9; ++number) {
        if (!drainable.contains(number) && !cut.contains(number))
            usable.insert(number);
    }
    auto choice = routed.choose();
    RC_ASSERT(choice.has_value() == !usable.empty());
    if (choice)
        RC_ASSERT(std::ranges::any_of(usable, [&](int number) { return ServiceFixture::id(number) == choice->backend.id; }));
}

RC_GTEST_PROP(Router, ComesBackToTriedOnesOnlyIfNothingElseIsLeft, ())
{
    RoutedService routed(6);
    auto tried = arbitraryNumbers(6);
    for (auto number : tried)
        routed.request.excluded.push_back(ServiceFixture::id(number));
    auto choice = routed.choose();
    RC_ASSERT(choice.has_value());
    bool isTried = std::ranges::find(routed.request.excluded, choice->backend.id) != routed.request.excluded.end();
    RC_ASSERT(isTried == (tried.size() == 6));
}

TEST(Router, SaysWhyNothingWasChosen)
{
    RoutedService routed(2);
    routed.request.service = ServiceName("unheard-of");
    EXPECT_FALSE(routed.choose());
    EXPECT_EQ(routed.reason, Reason::NoSuchService);
    routed.request.service = ServiceName("commission-desk");
    routed.service.setPhase(0, BackendPhase::Draining);
    routed.service.setPhase(1, BackendPhase::Draining);
    EXPECT_FALSE(routed.choose());
    EXPECT_EQ(routed.reason, Reason::NoBackend);
}

TEST(Router, StaysInItsZoneUntilItIsBusy)
{
    RoutedService routed(9);
    for (int number = 0; number < 100; ++number)
        EXPECT_EQ(routed.choose()->sidecar.value().back() % 3, '0' % 3);
    for (int number = 0; number < 9; number += 3) {
        for (int request = 0; request < 6; ++request)
            routed.service.act([&](Turn& turn) { routed.router.attemptStarted(turn, ServiceFixture::id(number)); });
    }
    for (int number = 0; number < 100; ++number)
        EXPECT_NE(routed.choose()->sidecar.value().back() % 3, '0' % 3);
}

TEST(Router, SendsAKeyToTheSameBackendServerWhileItIsInUse)
{
    RoutedService routed(9);
    routed.request.key = IdempotencyKey("acceptance-17");
    auto counts = routed.chooseMany(50);
    ASSERT_EQ(counts.size(), 1U);
    auto first = counts.begin()->first;
    routed.request.excluded.push_back(first);
    auto fallback = routed.choose();
    EXPECT_NE(fallback->backend.id, first);
}

TEST(Router, PassesByABackendServerThatShedsLoad)
{
    RoutedService routed(9);
    AttemptReport refusal;
    refusal.result = AttemptResult::RefusedNotRun;
    refusal.reason = Reason::BackendShedding;
    refusal.hasLoad = true;
    refusal.load.slots = 3;
    for (int attempt = 0; attempt < 3; ++attempt) {
        routed.service.act([&](Turn& turn) { routed.router.attemptStarted(turn, ServiceFixture::id(3)); });
        routed.service.act([&](Turn& turn) { routed.router.attemptFinished(turn, ServiceFixture::id(3), refusal); });
    }
    EXPECT_LT(routed.chooseMany(300)[ServiceFixture::id(3)], 60);
    routed.service.advance(10s);
    EXPECT_GT(routed.chooseMany(300)[ServiceFixture::id(3)], 60);
}

TEST(Router, AvoidsAnEjectedBackendServerWhileOthersAreLeft)
{
    RoutedService routed(9);
    routed.service.report(3, 1.5);
    routed.service.advance(1s);
    ASSERT_EQ(routed.service.state(3), StandingState::Ejected);
    EXPECT_FALSE(routed.chooseMany(500).contains(ServiceFixture::id(3)));
}
