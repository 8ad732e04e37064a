#pragma once

#include <LibModel/Profile.h>
#include <LibModel/RouteTable.h>

#include <optional>
#include <string>
#include <vector>

namespace Check {

using namespace Model;

struct TableDocument {
    std::string file;
    // As it was parsed: not checked, and with the entries that can't be used.
    RouteTable table;
};

struct ProfileDocument {
    std::string file;
    Profile profile;
};

// What operators publish: a route table with its tenants, and profiles.
struct Configuration {
    std::optional<TableDocument> table;
    std::vector<ProfileDocument> profiles;
};

}
