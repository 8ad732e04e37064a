#pragma once

#include <LibModel/RouteTable.h>

#include <string>

namespace Control {

// Encodes a route table as one JSON object, the form in which operators publish it and processes exchange it.
std::string encodeRouteTable(const Model::RouteTable&);
// Throws ControlError if the text is malformed, and Model::Error if the table is invalid.
Model::RouteTable decodeRouteTable(const std::string&);

}
