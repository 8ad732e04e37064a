#pragma once

#include <LibModel/Time.h>

#include <cstddef>

namespace Decision {

using namespace Model;

// What the decision whether a request leaves its availability zone is made from.
struct CrossingTerms {
    // Expected time beyond an idle backend server's service time: waiting, slowdown by load and risk of a failure. Of the
    // best backend server of the own zone and of the best one that was found elsewhere.
    Duration homeCost { 0 };
    Duration awayCost { 0 };
    // How much longer a round trip to the other zone takes.
    Duration extraRoundTrip { 0 };
    // The answer time that the caller needs, and the time that the service usually takes.
    Duration latencyObjective { 0 };
    Duration usualServiceTime { 0 };
};

// Decides how large a share of a service's requests leaves its zone while the zone's own backend servers have too little
// room for them. A request that can wait at home without missing its latency objective stays, because the other zone's
// callers need the other zone's room, and each byte between zones costs money. Beyond that, the share grows with the gap
// between the zones instead of jumping from none to all, so that processes with views of different ages don't move all
// their load at once.
class ZoneCrossing {
public:
    // Share of the time between the usual service time and the latency objective that a request may wait longer at home.
    // The rest covers what the estimate doesn't know: its age, slow runs and a retry.
    static constexpr double toleratedShareOfSlack = 0.1;
    // Share of that time over which the share that leaves grows from none to all.
    static constexpr double growthShareOfSlack = 0.5;
    // The growth takes at least so long, whatever the slack. With a steeper growth, a zone whose view is a second old sends so
    // much that the other zone sends it back: how far a zone's wait moves within a second doesn't depend on the slack.
    static constexpr Duration growthForOldViews = std::chrono::milliseconds(1500);
    // Views of services with short service times don't become as old: LoadTable halves a report's weight with each service time.
    static constexpr int growthServiceTimes = 7;
    // With fewer own backend servers, a single faulty or slow one takes so much of the zone's room that the other zones
    // are part of the everyday choice.
    static constexpr size_t minimumOwnBackends = 8;
    // Backend servers of other zones that are compared for a request. Comparing all of them would send every process with
    // the same view to the same one.
    static constexpr int awayDraws = 4;

    // How much more waiting at home may cost before any request leaves.
    static Duration toleratedGap(const CrossingTerms&);
    // From 0 to 1. It is 0 up to the tolerated gap and grows with the gap from there.
    static double shareLeaving(const CrossingTerms&);
};

}
