#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Control {

// Returns the bytes as lowercase hexadecimal digits.
std::string toHexadecimal(std::span<const unsigned char>);

// Returns the SHA-256 of the text as 64 lowercase hexadecimal digits, the form in which processes hold API keys.
std::string sha256(std::string_view text);

}
