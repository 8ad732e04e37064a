#include "FakeMembers.h"
#include "ServiceFixture.h"

#include <LibDecision/Membership/ZoneDistances.h>
#include <LibDecision/Routing/Router.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>
#include <vector>

using namespace Decision;

namespace {

// The latency objective less the usual service time of termsOf(): who waits longer misses the objective.
constexpr Duration longestWait = 2300ms;

struct Service {
    Duration latencyObjective;
    Duration usualServiceTime;
};

CrossingTerms termsOf(Duration home, Duration away, Service service = { 3s, 700ms })
{
    return { home, away, 7ms, service.latencyObjective, service.usualServiceTime };
}

// Two zones under load in steps of 50 ms. Each decides with the views of a second ago what share of its requests crosses.
// Requests that a zone can't run at once wait there.
class TwoZones {
public:
    // Capacities and loads are requests a second.
    TwoZones(double capacity, double firstLoad, double secondLoad, Service service = { 3s, 700ms })
        : m_capacity(capacity)
        , m_loads { firstLoad, secondLoad }
        , m_service(service)
    {
    }

    void step(bool isAlwaysHome = false)
    {
        std::vector<double> arrivals(2, 0);
        auto views = m_views.size() < viewAge ? std::vector<Duration>(2, 0ms) : m_views.front();
        std::vector<double> crossed(2, 0);
        for (size_t zone = 0; zone < 2; ++zone) {
            auto share = isAlwaysHome ? 0 : ZoneCrossing::shareLeaving(termsOf(views[zone], views[1 - zone], m_service));
            crossed[zone] = m_loads[zone] * stepSeconds * share;
            arrivals[zone] += m_loads[zone] * stepSeconds - crossed[zone];
            arrivals[1 - zone] += crossed[zone];
        }
        for (size_t zone = 0; zone < 2; ++zone)
            m_waiting[zone] = std::max(0.0, m_waiting[zone] + arrivals[zone] - m_capacity * stepSeconds);
        isMutual |= crossed[0] > 0 && crossed[1] > 0;
        hasSecondSent |= crossed[1] > 0;
        m_views.push_back({ waitOf(0), waitOf(1) });
        if (m_views.size() > viewAge)
            m_views.pop_front();
    }

    Duration waitOf(size_t zone) const { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_waiting[zone] / m_capacity)); }
    void setLoads(double first, double second) { m_loads = { first, second }; }

    bool isMutual { false };
    bool hasSecondSent { false };

private:
    static constexpr double stepSeconds = 0.05;
    static constexpr size_t viewAge = 20;

    double m_capacity;
    std::vector<double> m_loads;
    Service m_service;
    std::vector<double> m_waiting { 0, 0 };
    std::deque<std::vector<Duration>> m_views;
};

struct ZonesFixture {
    explicit ZonesFixture(Duration extraRoundTrip, int backends = 30)
        : service(adaptive(), backends)
        , members(backends)
        , router(members, service.registry, service.health, service.profiles)
    {
        members.roundTrips = { { ZoneName("zone-0"), 1ms }, { ZoneName("zone-1"), 1ms + extraRoundTrip }, { ZoneName("zone-2"), 1ms + extraRoundTrip } };
        request.service = ServiceName("commission-desk");
        request.latencyObjective = 3s;
    }

    static Profile adaptive()
    {
        Profile profile;
        profile.health.faultBound = 0.25;
        profile.placement.adaptiveCrossingFrom = 2ms;
        profile.placement.zoneCrossingCost = 50ms;
        return profile;
    }

    // Sends this many requests that don't end. Returns how many left the zone.
    int send(int count)
    {
        int left = 0;
        for (int number = 0; number < count; ++number) {
            service.act([&](Turn& turn) {
                auto choice = router.choose(turn, request, reason);
                if (!choice)
                    return;
                left += members.find(choice->sidecar)->zone == members.self().zone ? 0 : 1;
                router.attemptStarted(turn, choice->backend.id);
            });
        }
        return left;
    }

    ServiceFixture service;
    FakeMembers members;
    Router<FakeMembers> router;
    RouteRequest request;
    Reason reason { Reason::None };
};

}

TEST(ZoneCrossing, RequestsThatCanWaitAtHomeStay)
{
    EXPECT_EQ(ZoneCrossing::shareLeaving(termsOf(0ms, 0ms)), 0);
    EXPECT_EQ(ZoneCrossing::shareLeaving(termsOf(230ms, 0ms)), 0);
    EXPECT_EQ(ZoneCrossing::shareLeaving(termsOf(900ms, 700ms)), 0);
}

TEST(ZoneCrossing, ShareGrowsWithTheGapUpToAll)
{
    auto little = ZoneCrossing::shareLeaving(termsOf(300ms, 0ms));
    auto more = ZoneCrossing::shareLeaving(termsOf(400ms, 0ms));
    EXPECT_GT(little, 0);
    EXPECT_GT(more, little);
    EXPECT_LT(more, 1);
    EXPECT_EQ(ZoneCrossing::shareLeaving(termsOf(2s, 0ms)), 1);
}

// Guards against requests without time to wait that all leave for a small gain, and against any that leave for none.
TEST(ZoneCrossing, RequestsWithoutTimeToWaitLeaveInProportionToTheGain)
{
    Service late { 500ms, 700ms };
    auto little = ZoneCrossing::shareLeaving(termsOf(20ms, 0ms, late));
    EXPECT_GT(little, 0);
    EXPECT_LT(little, 0.05);
    EXPECT_EQ(ZoneCrossing::shareLeaving(termsOf(2s, 0ms, late)), 1);
    EXPECT_EQ(ZoneCrossing::shareLeaving(termsOf(5ms, 0ms, late)), 0);
}

// Guards against two zones that send their load to each other, and against load that moves to and fro as a whole, with views
// that are a second old.
TEST(ZoneCrossing, OverloadIsSharedWithoutSwingingUnderOldViews)
{
    TwoZones zones(100, 130, 60);
    TwoZones never(100, 130, 60);
    std::vector<Duration> waits;
    for (int step = 0; step < 600; ++step) {
        zones.step();
        never.step(true);
        if (step >= 300)
            waits.push_back(zones.waitOf(0));
    }
    EXPECT_FALSE(zones.isMutual);
    EXPECT_FALSE(zones.hasSecondSent);
    EXPECT_GT(never.waitOf(0), 8s);
    EXPECT_LT(*std::ranges::max_element(waits), longestWait);
    EXPECT_LT(zones.waitOf(1), longestWait);
}

// Guards against a growth that is measured by the slack alone: the less time a service has to wait, the more load was sent to and
// fro.
TEST(ZoneCrossing, OverloadOfServicesWithLittleTimeToWaitDoesntSwingEither)
{
    for (auto service : { Service { 2s, 700ms }, Service { 800ms, 220ms }, Service { 500ms, 700ms } }) {
        TwoZones zones(100, 130, 60, service);
        for (int step = 0; step < 600; ++step)
            zones.step();
        EXPECT_FALSE(zones.hasSecondSent);
        EXPECT_LT(zones.waitOf(0), 600ms);
    }
}

TEST(ZoneCrossing, WavesWithAPhaseForEachZoneDontMakeZonesExchangeLoad)
{
    TwoZones zones(100, 80, 80);
    auto longest = Duration(0ms);
    for (int step = 0; step < 1200; ++step) {
        auto angle = step * 0.05 / 13 * 2 * M_PI;
        zones.setLoads(80 * (1 + 0.55 * std::sin(angle)), 80 * (1 + 0.55 * std::sin(angle + M_PI)));
        zones.step();
        longest = std::max({ longest, zones.waitOf(0), zones.waitOf(1) });
    }
    EXPECT_FALSE(zones.isMutual);
    EXPECT_LT(longest, longestWait);
}

TEST(ZoneCrossing, ZoneWithRoomKeepsItsRequests)
{
    ZonesFixture fixture(7ms);
    // Ten backend servers of three slots each stand in the own zone.
    EXPECT_EQ(fixture.send(20), 0);
    EXPECT_EQ(fixture.router.crossings().stayed, 20u);
}

TEST(ZoneCrossing, RequestsBeyondTheZonesRoomLeave)
{
    ZonesFixture fixture(7ms);
    fixture.request.latencyObjective = 200ms;
    fixture.send(30);
    EXPECT_GT(fixture.send(400), 100);
    EXPECT_GT(fixture.router.crossings().left, 0u);
}

TEST(ZoneCrossing, ZonesThatStandCloseAreServedByTheFixedCost)
{
    ZonesFixture fixture(1ms);
    fixture.send(20);
    EXPECT_EQ(fixture.router.crossings().stayed + fixture.router.crossings().left, 0u);
}

TEST(ZoneCrossing, ZoneOfFewBackendServersIsServedByTheFixedCost)
{
    ZonesFixture fixture(7ms, 9);
    fixture.send(9);
    EXPECT_EQ(fixture.router.crossings().stayed + fixture.router.crossings().left, 0u);
}

TEST(ZoneDistances, ShortestRoundTripCounts)
{
    ZoneDistances distances;
    EXPECT_FALSE(distances.roundTripTo(ZoneName("a")));
    distances.record(ZoneName("a"), 9ms);
    distances.record(ZoneName("a"), 3ms);
    distances.record(ZoneName("a"), 40ms);
    EXPECT_EQ(distances.roundTripTo(ZoneName("a")), std::optional(Duration(3ms)));
}
