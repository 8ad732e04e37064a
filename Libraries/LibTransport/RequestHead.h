#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Transport {

// What the head of an HTTP/1 request tells of its body.
struct RequestHead {
    // With the empty line at its end.
    size_t bytes { 0 };
    std::optional<uint64_t> contentLength;
    bool isChunked { false };
};

// Gives nothing while the head isn't whole. The search for its end begins at the offset, which is the number of bytes
// that were searched before.
std::optional<RequestHead> findRequestHead(std::string_view bytes, size_t searchedBytes);

// Gives the first field of that name from the bytes of a head; empty if there is none.
std::string_view headField(std::string_view head, std::string_view name);

}
