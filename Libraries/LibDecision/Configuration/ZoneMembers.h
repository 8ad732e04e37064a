#pragma once

#include <LibDecision/Membership/Membership.h>

#include <vector>

namespace Decision {

// Returns the alive and suspect members of the availability zone. Includes this process if it belongs to the zone and
// is not leaving.
std::vector<InstanceId> liveMembersOfZone(const Membership&, const ZoneName&);

}
