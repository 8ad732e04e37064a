#include "FakeMembers.h"
#include "ServiceFixture.h"

#include <LibDecision/Routing/Router.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Decision;

namespace {

std::set<int> arbitraryNumbers(int end)
{
    auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, end));
    return { numbers.begin(), numbers.end() };
}

struct RouterFixture {
    explicit RouterFixture(int backendCount, Profile profile = {})
        : service(std::move(profile), backendCount)
        , members(backendCount)
        , router(members, service.registry, service.health, service.profiles)
    {
        request.service = ServiceName("commission-desk");
    }

    std::optional<RouteChoice> choose()
    {
        std::optional<RouteChoice> choice;
        service.act([&](Turn& turn) { choice = router.choose(turn, request, reason); });
        return choice;
    }

    // Chooses for this many requests and counts the choices by backend server.
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
    FakeMembers members;
    Router<FakeMembers> router;
    RouteRequest request;
    Reason reason { Reason::None };
};

}

RC_GTEST_PROP(Router, NeverChoosesADrainingGoneOrUnreachableBackendServer, ())
{
    RouterFixture fixture(9);
    auto leaving = arbitraryNumbers(9);
    for (auto number : leaving)
        fixture.service.setPhase(number, *rc::gen::element(BackendPhase::Draining, BackendPhase::Gone));
    auto unreachableNumbers = arbitraryNumbers(9);
    for (auto number : unreachableNumbers)
        fixture.members.unreachable.insert(InstanceId("p-" + std::to_string(number)));
    if (*rc::gen::arbitrary<bool>())
        fixture.request.key = IdempotencyKey("key");
    for (auto tried : arbitraryNumbers(9))
        fixture.request.excluded.push_back(ServiceFixture::id(tried));

    std::set<int> usable;
    for (int number = 0; number < 9; ++number) {
        if (!leaving.contains(number) && !unreachableNumbers.contains(number))
            usable.insert(number);
    }
    auto choice = fixture.choose();
    RC_ASSERT(choice.has_value() == !usable.empty());
    if (choice)
        RC_ASSERT(std::ranges::any_of(usable, [&](int number) { return ServiceFixture::id(number) == choice->backend.id; }));
}

RC_GTEST_PROP(Router, ChoosesATriedBackendServerOnlyIfNoOtherIsLeft, ())
{
    RouterFixture fixture(6);
    auto tried = arbitraryNumbers(6);
    for (auto number : tried)
        fixture.request.excluded.push_back(ServiceFixture::id(number));
    auto choice = fixture.choose();
    RC_ASSERT(choice.has_value());
    bool isTried = std::ranges::find(fixture.request.excluded, choice->backend.id) != fixture.request.excluded.end();
    RC_ASSERT(isTried == (tried.size() == 6));
}

TEST(Router, GivesTheReasonIfNothingIsChosen)
{
    RouterFixture fixture(2);
    fixture.request.service = ServiceName("unheard-of");
    EXPECT_FALSE(fixture.choose());
    EXPECT_EQ(fixture.reason, Reason::NoSuchService);
    fixture.request.service = ServiceName("commission-desk");
    fixture.service.setPhase(0, BackendPhase::Draining);
    fixture.service.setPhase(1, BackendPhase::Draining);
    EXPECT_FALSE(fixture.choose());
    EXPECT_EQ(fixture.reason, Reason::NoBackend);
}

TEST(Router, StaysInItsOwnZoneUntilThatIsBusy)
{
    RouterFixture fixture(9);
    for (int number = 0; number < 100; ++number)
        EXPECT_EQ(fixture.choose()->sidecar.value().back() % 3, '0' % 3);
    for (int number = 0; number < 9; number += 3) {
        for (int request = 0; request < 6; ++request)
            fixture.service.act([&](Turn& turn) { fixture.router.attemptStarted(turn, ServiceFixture::id(number)); });
    }
    for (int number = 0; number < 100; ++number)
        EXPECT_NE(fixture.choose()->sidecar.value().back() % 3, '0' % 3);
}

TEST(Router, SendsAKeyToTheSameBackendServerWhileThatIsUsable)
{
    RouterFixture fixture(9);
    fixture.request.key = IdempotencyKey("acceptance-17");
    auto counts = fixture.chooseMany(50);
    ASSERT_EQ(counts.size(), 1U);
    auto first = counts.begin()->first;
    fixture.request.excluded.push_back(first);
    auto fallback = fixture.choose();
    EXPECT_NE(fallback->backend.id, first);
}

TEST(Router, ReducesTheShareOfABackendServerThatShedsLoad)
{
    RouterFixture fixture(9);
    AttemptReport refusal;
    refusal.result = AttemptResult::RefusedNotRun;
    refusal.reason = Reason::BackendShedding;
    refusal.hasLoad = true;
    refusal.load.slots = 3;
    for (int attempt = 0; attempt < 3; ++attempt) {
        fixture.service.act([&](Turn& turn) { fixture.router.attemptStarted(turn, ServiceFixture::id(3)); });
        fixture.service.act([&](Turn& turn) { fixture.router.attemptFinished(turn, ServiceFixture::id(3), refusal); });
    }
    EXPECT_LT(fixture.chooseMany(300)[ServiceFixture::id(3)], 60);
    fixture.service.advance(10s);
    EXPECT_GT(fixture.chooseMany(300)[ServiceFixture::id(3)], 60);
}

TEST(Router, AvoidsAnEjectedBackendServerWhileOthersAreUsable)
{
    RouterFixture fixture(9);
    fixture.service.report(3, 1.5);
    fixture.service.advance(1s);
    ASSERT_EQ(fixture.service.state(3), StandingState::Ejected);
    EXPECT_FALSE(fixture.chooseMany(500).contains(ServiceFixture::id(3)));
}

namespace {

// Makes the router believe that the backend server takes this many requests a second, and another one after the wait.
void tellLimit(RouterFixture& fixture, int number, double limit, Duration wait, Reason reason = Reason::None)
{
    AttemptReport report;
    report.result = reason == Reason::None ? AttemptResult::Answered : AttemptResult::RefusedNotRun;
    report.status = 200;
    report.reason = reason;
    report.hasLoad = true;
    report.load.slots = 3;
    report.load.condition = BackendCondition { fixture.service.registry.find(ServiceFixture::id(number))->incarnation, limit, wait, true };
    fixture.service.act([&](Turn& turn) { fixture.router.attemptFinished(turn, ServiceFixture::id(number), report); });
}

Profile comparingProfile()
{
    Profile profile;
    profile.health.faultBound = 0.25;
    return profile;
}

}

TEST(Router, OffersNothingToALimitedBackendServerUntilItTakesAnotherRequest)
{
    RouterFixture fixture(3, comparingProfile());
    fixture.request.longestWait = 100ms;
    tellLimit(fixture, 0, 1, 1s);
    EXPECT_FALSE(fixture.chooseMany(100).contains(ServiceFixture::id(0)));
    fixture.service.advance(1s);
    EXPECT_TRUE(fixture.chooseMany(100).contains(ServiceFixture::id(0)));
}

TEST(Router, SaysThatAllBackendServersAreLimitedAndWhenThereIsRoom)
{
    RouterFixture fixture(2, comparingProfile());
    fixture.request.longestWait = 100ms;
    tellLimit(fixture, 0, 1, 800ms);
    tellLimit(fixture, 1, 1, 600ms);
    EXPECT_FALSE(fixture.choose());
    EXPECT_EQ(nameOf(fixture.reason), nameOf(Reason::BackendLimited));
    fixture.service.act([&](Turn& turn) { EXPECT_EQ(fixture.router.limitWait(fixture.request.service, turn.now()), 600ms); });
}

TEST(Router, CarriesTheLimitThatItWasToldUntilASidecarHearsThatThereIsNone)
{
    RouterFixture fixture(1, comparingProfile());
    tellLimit(fixture, 0, 5, 0s);
    EXPECT_EQ(fixture.choose()->knownLimit, 5);
    AttemptReport report;
    report.hasLoad = true;
    report.load.slots = 3;
    auto incarnation = fixture.service.registry.find(ServiceFixture::id(0))->incarnation;
    // A sidecar that has just started hasn't heard anything.
    report.load.condition = BackendCondition { incarnation, std::nullopt, 0s, false };
    fixture.service.act([&](Turn& turn) { fixture.router.attemptFinished(turn, ServiceFixture::id(0), report); });
    EXPECT_EQ(fixture.choose()->knownLimit, 5);
    report.load.condition->isHeard = true;
    fixture.service.act([&](Turn& turn) { fixture.router.attemptFinished(turn, ServiceFixture::id(0), report); });
    EXPECT_FALSE(fixture.choose()->knownLimit);
}

// A later process beside it may have heard only an old announcement.
TEST(Router, NeverChoosesAnIncarnationThatWasToldToLeave)
{
    RouterFixture fixture(1);
    auto incarnation = fixture.service.registry.find(ServiceFixture::id(0))->incarnation;
    AttemptReport report;
    report.hasLoad = true;
    report.load.slots = 3;
    report.load.condition = BackendCondition { .incarnation = incarnation, .isHeard = true, .isLeaving = true };
    fixture.service.act([&](Turn& turn) { fixture.router.attemptFinished(turn, ServiceFixture::id(0), report); });
    EXPECT_FALSE(fixture.choose());
    EXPECT_EQ(nameOf(fixture.reason), nameOf(Reason::NoBackend));
}
