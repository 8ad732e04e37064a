#pragma once

#include <LibTransport/HttpMessage.h>

#include <cstddef>
#include <string>

namespace Transport {

// Writes the head of an HTTP/1.1 request. Host, the length and the connection's own fields are derived; such
// fields in the request are left out. Throws Error if a part holds characters that would end it early.
std::string formatRequestHead(const HttpRequest&, const Endpoint& to, size_t bodyBytes);

}
