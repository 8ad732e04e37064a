#pragma once

#include <optional>
#include <string>

namespace Platform {

// Standard base64 with padding. https://www.rfc-editor.org/rfc/rfc4648#section-4
std::string encodeBase64(const std::string& bytes);
// Gives nothing if the text is no base64.
std::optional<std::string> decodeBase64(const std::string& text);

}
