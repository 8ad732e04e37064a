#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Control {

// Says whether the bytes are a zlib stream and no JSON text.
bool isCompressed(std::string_view bytes);

// Gives a zlib stream (RFC 1950), or the text itself if it is too short to gain from that.
std::string compress(const std::string& text);

// Gives the text back. Throws ControlError if the stream is broken or the text would be longer than the limit in bytes.
std::string decompress(const std::string& bytes, size_t limit);

}
