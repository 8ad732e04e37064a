#pragma once

#include <LibModel/RouteTable.h>

#include <string>
#include <vector>

namespace Control {

// Encodes a route table as one JSON object, the form in which operators publish it and processes exchange it.
std::string encodeRouteTable(const Model::RouteTable&);
// Throws ControlError if the text is malformed, and Model::Error if the table is invalid.
Model::RouteTable decodeRouteTable(const std::string&);
// Decodes without checkRouteTable(). Throws ControlError if the text is malformed.
Model::RouteTable parseRouteTable(const std::string&);
// The entries, such as "routes[3]", for which parseRouteTable() refuses a JSON text; none if no single entry is the
// reason. Throws ControlError if the text is no JSON.
std::vector<Model::EntryProblem> findMalformedEntries(const std::string&);

}
