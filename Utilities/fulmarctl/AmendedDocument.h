#pragma once

#include <string>
#include <string_view>

namespace FulmarCtl {

// Sets one value of a profile's document. The assignment reads SECTION.KEY=VALUE. Comments and layout of the document
// aren't kept: the result holds every value of the profile. Throws Model::Error if the assignment is malformed, and
// DocumentError if the result is no profile.
std::string amendDocument(const std::string& document, std::string_view assignment);

}
