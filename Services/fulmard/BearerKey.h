#pragma once

#include <LibTransport/HttpMessage.h>

#include <optional>
#include <string_view>

namespace Fulmard {

// Header that carries a caller's API key.
constexpr auto authorizationHeader = "authorization";

// Returns the key of the only Authorization field, which reads "Bearer KEY"; nothing if there is no such field, more than
// one, or a malformed one. https://www.rfc-editor.org/rfc/rfc6750#section-2.1
std::optional<std::string_view> findBearerKey(const Transport::HeaderList&);

}
