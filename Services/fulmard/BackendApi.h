#pragma once

#include <LibModel/Backend.h>

#include <string>
#include <string_view>

namespace Fulmard {

// Reads the JSON body of `PUT /v1/backends/ID`:
// {"service": "commission-desk", "profile": "office-desk", "endpoint": "127.0.0.1:9000", "incarnation": 1,
//  "slots": 3, "weight": 1.0, "phase": "serving"}. Weight, phase and profile may be left out.
// Throws Model::Error that names the key and what is allowed.
Model::BackendAnnouncement readAnnouncement(const std::string& id, std::string_view json);

}
