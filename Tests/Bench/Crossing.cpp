#include "Crossing.h"

#include <LibDecision/Routing/ZoneCrossing.h>
#include <LibModel/EnumNames.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iomanip>
#include <numbers>
#include <random>
#include <string>
#include <vector>

namespace Bench {

namespace {

    enum class CrossingRule {
        // Requests stay in their zone.
        Never,
        // Zones don't matter: any backend server at random.
        Always,
        // The least cost, to which a constant is added outside the own zone.
        FixedCost,
        Weighed,
    };

}

}

template <>
struct Model::EnumNames<Bench::CrossingRule> {
    static constexpr std::array entries {
        EnumName { Bench::CrossingRule::Never, "never" },
        EnumName { Bench::CrossingRule::Always, "always" },
        EnumName { Bench::CrossingRule::FixedCost, "fixed cost" },
        EnumName { Bench::CrossingRule::Weighed, "weighed" },
    };
};

namespace Bench {

namespace {

    using namespace Model;
    using Seconds = std::chrono::duration<double>;

    constexpr size_t zoneCount = 3;
    constexpr size_t slotsPerZone = 30;
    constexpr double measuredSeconds = 600;
    constexpr double viewAge = 1;
    constexpr double viewInterval = 0.05;
    constexpr size_t keptViews = viewAge / viewInterval;
    constexpr double bytesPerExchange = 20'000;
    constexpr double fixedCost = 0.05;
    constexpr double extraRoundTrip = 0.007;
    // As in Router::comparisonCost().
    constexpr double randomShare = 0.1;

    struct Service {
        double usualServiceTime;
        double latencyObjective;
    };

    // Requests that arrive in a zone, as a share of what its backend servers can take.
    struct Load {
        std::string name;
        std::array<double, zoneCount> mean;
        double waveShare;
    };

    constexpr std::array services { Service { 0.22, 0.8 }, Service { 0.7, 3 } };
    const std::array loads { Load { "uneven", { 1.25, 0.6, 0.5 }, 0 }, Load { "waves", { 0.75, 0.75, 0.75 }, 0.55 } };

    struct CrossingResult {
        uint64_t requests { 0 };
        uint64_t inTime { 0 };
        uint64_t crossed { 0 };
        // Crossings into a zone from which requests left within the last view.
        uint64_t returned { 0 };
    };

    // Zones whose backend servers serve their requests in the order of arrival. What a zone costs is known as it was a second
    // ago.
    class ZoneModel {
    public:
        ZoneModel(const Service& service, const Load& load, CrossingRule rule, uint64_t seed)
            : m_service(service)
            , m_load(load)
            , m_rule(rule)
            , m_random(seed)
        {
            m_lastLeft.fill(-viewAge);
            for (auto& zone : m_freeAt)
                zone.resize(slotsPerZone, 0);
        }

        CrossingResult run()
        {
            auto highest = *std::ranges::max_element(m_load.mean) * (1 + m_load.waveShare) * capacity();
            std::exponential_distribution<double> untilNext(highest * zoneCount);
            std::uniform_int_distribution<size_t> anyZone(0, zoneCount - 1);
            for (m_now = untilNext(m_random); m_now < measuredSeconds; m_now += untilNext(m_random)) {
                takeViews();
                auto zone = anyZone(m_random);
                if (draw() * highest < arrivalRate(zone))
                    serve(zone, choose(zone));
            }
            return m_result;
        }

    private:
        double capacity() const { return slotsPerZone / m_service.usualServiceTime; }
        double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

        double arrivalRate(size_t zone) const
        {
            constexpr double wavePeriod = 13;
            auto angle = 2 * std::numbers::pi * (m_now / wavePeriod + static_cast<double>(zone) / zoneCount);
            return m_load.mean[zone] * (1 + m_load.waveShare * std::sin(angle)) * capacity();
        }

        // The wait for a slot and the slowdown by load, as in LoadTable::expectedOverhead().
        double cost(size_t zone) const
        {
            const auto& slots = m_freeAt[zone];
            auto wait = std::max(0.0, *std::ranges::min_element(slots) - m_now);
            auto busy = static_cast<double>(std::ranges::count_if(slots, [this](double freeAt) { return freeAt > m_now; })) / slotsPerZone;
            return wait + m_service.usualServiceTime * busy * busy * busy;
        }

        void takeViews()
        {
            for (; m_nextView <= m_now; m_nextView += viewInterval) {
                std::array<double, zoneCount> costs {};
                for (size_t zone = 0; zone < zoneCount; ++zone)
                    costs[zone] = cost(zone);
                m_views.push_back(costs);
                if (m_views.size() > keptViews)
                    m_views.pop_front();
            }
        }

        double seenCost(size_t zone) { return m_views.front()[zone] + m_service.usualServiceTime * randomShare * draw(); }

        size_t choose(size_t home)
        {
            std::uniform_int_distribution<size_t> anyOther(1, zoneCount - 1);
            switch (m_rule) {
            case CrossingRule::Never:
                return home;
            case CrossingRule::Always:
                return (home + std::uniform_int_distribution<size_t>(0, zoneCount - 1)(m_random)) % zoneCount;
            case CrossingRule::FixedCost: {
                std::array<double, zoneCount> costs {};
                for (size_t zone = 0; zone < zoneCount; ++zone)
                    costs[zone] = seenCost(zone) + (zone == home ? 0 : fixedCost);
                return std::ranges::min_element(costs) - costs.begin();
            }
            case CrossingRule::Weighed:
                break;
            }
            size_t away = home;
            double awayCost = 0;
            for (int number = 0; number < Decision::ZoneCrossing::awayDraws; ++number) {
                auto zone = (home + anyOther(m_random)) % zoneCount;
                auto zoneCost = seenCost(zone);
                if (away == home || zoneCost < awayCost) {
                    away = zone;
                    awayCost = zoneCost;
                }
            }
            auto duration = [](double seconds) { return std::chrono::duration_cast<Duration>(Seconds(seconds)); };
            Decision::CrossingTerms terms { duration(seenCost(home)), duration(awayCost), duration(extraRoundTrip), duration(m_service.latencyObjective), duration(m_service.usualServiceTime) };
            return draw() < Decision::ZoneCrossing::shareLeaving(terms) ? away : home;
        }

        void serve(size_t home, size_t zone)
        {
            auto slot = std::ranges::min_element(m_freeAt[zone]);
            auto begin = std::max(m_now, *slot);
            // Half of the service time is the same for all requests.
            *slot = begin + m_service.usualServiceTime * (0.5 + std::exponential_distribution<double>(2)(m_random));
            auto took = *slot - m_now + (zone == home ? 0 : extraRoundTrip);
            ++m_result.requests;
            m_result.inTime += took <= m_service.latencyObjective ? 1 : 0;
            if (zone == home)
                return;
            ++m_result.crossed;
            m_result.returned += m_now - m_lastLeft[zone] < viewAge ? 1 : 0;
            m_lastLeft[home] = m_now;
        }

        const Service& m_service;
        const Load& m_load;
        CrossingRule m_rule;
        std::mt19937_64 m_random;
        double m_now { 0 };
        double m_nextView { 0 };
        std::array<std::vector<double>, zoneCount> m_freeAt;
        std::deque<std::array<double, zoneCount>> m_views;
        std::array<double, zoneCount> m_lastLeft {};
        CrossingResult m_result;
    };

    double percent(uint64_t part, uint64_t whole) { return whole > 0 ? 100.0 * static_cast<double>(part) / static_cast<double>(whole) : 0; }

}

void measureCrossing(std::ostream& output, uint64_t seed)
{
    output << "| service time, objective | load | rule | in time % | kB between zones a request | crossings into a zone that others leave % |\n|---|---|---|---|---|---|\n";
    output << std::fixed << std::setprecision(1);
    for (const auto& service : services) {
        for (const auto& load : loads) {
            for (const auto& rule : EnumNames<CrossingRule>::entries) {
                auto result = ZoneModel(service, load, rule.value, seed).run();
                output << "| " << std::lround(service.usualServiceTime * 1000) << " ms, " << std::lround(service.latencyObjective * 1000) << " ms | " << load.name << " | " << rule.name
                       << " | " << percent(result.inTime, result.requests) << " | " << static_cast<double>(result.crossed) * bytesPerExchange / 1000 / static_cast<double>(result.requests)
                       << " | " << percent(result.returned, result.crossed) << " |\n";
            }
        }
    }
}

}
