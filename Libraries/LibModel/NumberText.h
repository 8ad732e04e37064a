#pragma once

#include <string>

namespace Model {

// Writes the shortest text that reads back as the same number.
std::string formatNumber(double);

}
