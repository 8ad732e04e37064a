#pragma once

#include <string>
#include <string_view>

namespace Platform {

// Encodes a key for a path or a query. Slashes stay. https://www.rfc-editor.org/rfc/rfc3986#section-2.1
std::string percentEncoded(std::string_view);

}
