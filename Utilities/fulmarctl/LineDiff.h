#pragma once

#include <string>
#include <string_view>

namespace FulmarCtl {

// Compares two texts by lines: lines only in the first begin with "- ", only in the second with "+ ", in both with
// "  ". Gives an empty text if they are equal.
std::string diffLines(std::string_view first, std::string_view second);

}
