#include <LibDecision/Routing/ZoneCrossing.h>

#include <algorithm>

namespace Decision {

static Duration partOfSlack(const CrossingTerms& terms, double share)
{
    auto slack = std::max(Duration::zero(), terms.latencyObjective - terms.usualServiceTime);
    return std::chrono::duration_cast<Duration>(slack * share);
}

Duration ZoneCrossing::toleratedGap(const CrossingTerms& terms) { return partOfSlack(terms, toleratedShareOfSlack); }

double ZoneCrossing::shareLeaving(const CrossingTerms& terms)
{
    auto gap = terms.homeCost - terms.awayCost - terms.extraRoundTrip;
    auto tolerated = toleratedGap(terms);
    if (gap <= tolerated)
        return 0;
    auto shortestGrowth = std::min<Duration>(growthForOldViews, growthServiceTimes * terms.usualServiceTime);
    auto growth = std::max({ partOfSlack(terms, growthShareOfSlack), shortestGrowth, Duration(1) });
    return std::min(1.0, std::chrono::duration<double>(gap - tolerated) / growth);
}

}
