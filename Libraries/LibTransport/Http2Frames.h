#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace Transport {

// Counts the bytes that a peer has sent of HTTP/2 requests which aren't whole yet, from the headers of the frames. The HTTP
// library holds these bytes, but doesn't tell how many.
class Http2Frames {
public:
    // Walks over what came of the input since the last call.
    void read(std::string_view input, uint64_t maximumStreamBytes);
    // The library has taken that many bytes from the front of the input.
    void consume(size_t bytes) { m_walkedBytes -= std::min(m_walkedBytes, bytes); }
    // The library has handed over a whole request with a body of that size.
    void requestHanded(uint64_t bodyBytes);
    // The library has refused the streams whose frames came in the last call.
    void refuseLast();

    // Bytes of requests that aren't whole, or wait to be handed over.
    uint64_t heldBytes() const { return m_openBytes + m_wholeBytes; }

private:
    struct Frame {
        uint32_t length { 0 };
        uint8_t type { 0 };
        uint8_t flags { 0 };
        uint32_t stream { 0 };
    };

    static Frame parse(std::string_view header);
    void take(const Frame&, uint64_t maximumStreamBytes);
    void endStream(uint32_t stream);
    uint64_t forget(uint32_t stream);

    // Bytes at the front of the input that were walked over. A frame is counted once its header is there, so this may lie
    // beyond the end of the input.
    size_t m_walkedBytes { 0 };
    bool m_hasPreface { false };
    std::unordered_map<uint32_t, uint64_t> m_streams;
    std::unordered_set<uint32_t> m_lastStreams;
    uint64_t m_openBytes { 0 };
    uint64_t m_wholeBytes { 0 };
    size_t m_wholeStreams { 0 };
};

// What an HTTP/2 connection begins with. https://www.rfc-editor.org/rfc/rfc9113#section-3.4
constexpr std::string_view http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

}
