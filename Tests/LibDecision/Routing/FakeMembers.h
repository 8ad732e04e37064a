#pragma once

#include "ServiceFixture.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Decision {

// Processes "p-0", "p-1" and so on, distributed over three availability zones in turn.
class FakeMembers {
public:
    explicit FakeMembers(int count)
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
    std::optional<Duration> roundTripTo(const ZoneName& zone) const
    {
        auto distance = roundTrips.find(zone);
        return distance == roundTrips.end() ? std::nullopt : std::optional(distance->second);
    }
    const MemberRecord& self() const { return m_members.at(InstanceId("p-0")); }

    std::set<InstanceId> unreachable;
    std::map<ZoneName, Duration> roundTrips;

private:
    std::map<InstanceId, MemberRecord> m_members;
};

}
