#include <LibDecision/Configuration/ZoneMembers.h>

#include <algorithm>
#include <iterator>

namespace Decision {

std::vector<InstanceId> liveMembersOfZone(const Membership& membership, const ZoneName& zone)
{
    std::vector<InstanceId> members;
    std::ranges::copy_if(membership.liveMembers(), std::back_inserter(members), [&](const InstanceId& member) {
        return membership.find(member)->zone == zone;
    });
    return members;
}

}
