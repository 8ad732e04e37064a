#pragma once

#include <string>

namespace Model {

// Reads a whole file. Throws Model::Error that names it.
std::string readTextFile(const std::string& path);

}
