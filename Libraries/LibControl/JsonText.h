#pragma once

#include <json/value.h>
#include <string>
#include <string_view>

namespace Control {

// Parses one JSON document, in jsoncpp's strict mode except that the root may be any value. Throws ControlError if the
// text is malformed or nested too deeply.
Json::Value parseJson(std::string_view);

// Formats JSON on a single line; characters outside ASCII are escaped.
std::string formatJson(const Json::Value&);

}
