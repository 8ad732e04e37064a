#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Control {

// Returns whether the bytes are a zlib stream rather than the text of a JSON object, judged by the first byte.
bool isCompressed(std::string_view bytes);

// Returns the text as a zlib stream (RFC 1950), or unchanged if it is too short to benefit or if compression fails.
std::string compress(const std::string& text);

// Returns the text of a zlib stream; bytes that aren't compressed are returned unchanged, whatever their length. Throws
// ControlError if the stream is corrupt or truncated, or if its text is longer than the limit in bytes.
std::string decompress(const std::string& bytes, size_t limit);

}
