#pragma once

#include <LibModel/Endpoint.h>

#include <string>
#include <string_view>
#include <vector>

namespace Model {

// What fulmarctl has to know of a fleet, from its YAML file.
struct OperatorSettings {
    // Control endpoints of processes to ask. The others are found through them.
    std::vector<Endpoint> nodes;
    // Endpoints of the platform's key-value service.
    std::vector<Endpoint> platform;
    std::string operatorKey;
    // Written into the history of what this operator publishes; may be empty.
    std::string author;
};

// Reads and checks operators' settings. Throws DocumentError with file, line, key and what is allowed.
OperatorSettings parseOperatorSettings(std::string_view document, const std::string& fileName);

}
