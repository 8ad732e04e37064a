#pragma once

#include <LibModel/Profile.h>
#include <Utilities/fulmarctl/FleetClient.h>

#include <optional>

namespace FulmarCtl {

// Asks the configured processes one after the other for the revision in force. Gives nothing if none of the name was
// accepted, or if no process answers.
std::optional<ProfileRevision> findInForce(FleetClient&, const ProfileName&);

}
