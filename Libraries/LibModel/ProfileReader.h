#pragma once

#include <LibModel/Profile.h>
#include <LibModel/YamlReader.h>

namespace Model {

// Reads every policy of a profile from one mapping; what is missing keeps its default. Throws DocumentError.
// Only source files include this header, because it brings yaml-cpp with it.
Profile readProfilePolicies(YamlReader);

}
