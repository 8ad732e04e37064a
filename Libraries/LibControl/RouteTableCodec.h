#pragma once

#include <LibModel/RouteTable.h>

#include <string>

namespace Control {

// The route table as operators publish it and as processes pass it on: one JSON object.
std::string encodeRouteTable(const Model::RouteTable&);
// Throws ControlError if the text is malformed, and Model::Error if the table can't be used.
Model::RouteTable decodeRouteTable(const std::string&);

}
