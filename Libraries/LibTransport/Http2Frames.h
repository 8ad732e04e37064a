#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
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
    // The library has refused the streams of which whole frames with a part of a body came in the last call.
    void refuseLast();
    // The library has dropped the whole requests that it didn't hand over.
    void dropWhole();

    // Bytes of requests that aren't whole, or wait to be handed over.
    uint64_t heldBytes() const { return m_openBytes + m_wholeBytes; }
    // Bytes that this object takes for streams that aren't whole. A peer may open any number and never end them.
    uint64_t tableBytes() const { return m_streams.size() * bytesPerStream; }

private:
    // A node of the table.
    static constexpr uint64_t bytesPerStream = 64;

    struct Frame {
        uint32_t length { 0 };
        uint8_t type { 0 };
        uint8_t flags { 0 };
        uint32_t stream { 0 };
    };

    // A request that isn't whole.
    struct Stream {
        uint64_t heldBytes { 0 };
        uint64_t bodyBytes { 0 };
        // Nothing comes after its head.
        bool endsWithHead { false };
    };

    static Frame parse(std::string_view header);
    bool begin(const Frame&);
    void finish(const Frame&, std::string_view payload, uint64_t maximumStreamBytes);
    void endStream(uint32_t stream);
    uint64_t forget(uint32_t stream);

    // Bytes at the front of the input that were walked over: whole frames, and the header of one that isn't whole.
    size_t m_walkedBytes { 0 };
    // The frame whose header was walked over. Its bytes are counted already; the library acts on it once it is whole.
    std::optional<Frame> m_unfinished;
    bool m_hasPreface { false };
    uint32_t m_highestStream { 0 };
    std::unordered_map<uint32_t, Stream> m_streams;
    // Streams that the library refuses if it refuses bodies.
    std::unordered_set<uint32_t> m_lastBodies;
    uint64_t m_openBytes { 0 };
    uint64_t m_wholeBytes { 0 };
    size_t m_wholeStreams { 0 };
};

// What an HTTP/2 connection begins with. https://www.rfc-editor.org/rfc/rfc9113#section-3.4
constexpr std::string_view http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

}
