#pragma once

#include <LibDecision/Registry/BackendRegistry.h>

#include <algorithm>
#include <concepts>
#include <iterator>
#include <optional>
#include <set>
#include <vector>

namespace Decision {

// A process that has backend servers in the registry but is unknown to membership.
struct OrphanedSidecar {
    InstanceId instance;
    Incarnation incarnation;

    auto operator<=>(const OrphanedSidecar&) const = default;
};

// Periodically finds processes that membership has removed but that still have backend servers in the registry. A
// process is reported only if it was unknown in two consecutive sweeps, because a backend server's record may arrive
// before the record of its sidecar.
class OrphanSweep {
public:
    static constexpr Duration period = std::chrono::minutes(1);

    std::optional<Instant> nextTimer() const { return m_nextSweep; }
    void start(Instant now) { m_nextSweep = now + period; }

    template <std::predicate<const InstanceId&> IsKnown>
    std::vector<OrphanedSidecar> sweep(Instant now, const BackendRegistry& registry, const IsKnown& isKnown)
    {
        m_nextSweep = now + period;
        std::set<OrphanedSidecar> unknown;
        for (const auto& service : registry.services()) {
            for (const auto* record : registry.backendsOf(service)) {
                if (!isKnown(record->sidecar))
                    unknown.insert({ record->sidecar, record->sidecarIncarnation });
            }
        }
        std::vector<OrphanedSidecar> orphans;
        std::ranges::set_intersection(unknown, m_unknownBefore, std::back_inserter(orphans));
        m_unknownBefore = std::move(unknown);
        return orphans;
    }

private:
    std::optional<Instant> m_nextSweep;
    std::set<OrphanedSidecar> m_unknownBefore;
};

}
