#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace Decision {

using namespace Model;

// Shortest round trip to any process of each availability zone. Busy processes answer late, so only the shortest says
// something of the distance. It isn't forgotten: a zone doesn't move while a process lives.
class ZoneDistances {
public:
    void record(const ZoneName& zone, Duration roundTrip)
    {
        auto [entry, isNew] = m_shortest.try_emplace(zone, roundTrip);
        if (!isNew)
            entry->second = std::min(entry->second, roundTrip);
    }

    std::optional<Duration> roundTripTo(const ZoneName& zone) const
    {
        auto entry = m_shortest.find(zone);
        return entry == m_shortest.end() ? std::nullopt : std::optional(entry->second);
    }

private:
    std::unordered_map<ZoneName, Duration> m_shortest;
};

}
