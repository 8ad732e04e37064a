#include <LibTransport/Http2Frames.h>

#include <algorithm>

namespace Transport {

// https://www.rfc-editor.org/rfc/rfc9113#section-4.1
static constexpr size_t frameHeaderBytes = 9;
static constexpr uint8_t dataFrame = 0;
static constexpr uint8_t headersFrame = 1;
static constexpr uint8_t resetFrame = 3;
static constexpr uint8_t continuationFrame = 9;
static constexpr uint8_t endStreamFlag = 1;
static constexpr uint8_t endHeadersFlag = 4;
static constexpr uint8_t paddedFlag = 8;
// Of a type that the protocol leaves unused.
static constexpr uint8_t ignoredFrame = 255;

static uint32_t readNumber(std::string_view bytes)
{
    uint32_t number = 0;
    for (unsigned char byte : bytes)
        number = (number << 8) | byte;
    return number;
}

Http2Frames::Frame Http2Frames::parse(std::string_view header)
{
    constexpr uint32_t streamMask = 0x7fffffff;
    return { readNumber(header.substr(0, 3)), static_cast<uint8_t>(header[3]), static_cast<uint8_t>(header[4]), readNumber(header.substr(5, 4)) & streamMask };
}

void Http2Frames::read(std::string_view input, uint64_t maximumStreamBytes)
{
    m_lastBodies.clear();
    if (!m_hasPreface) {
        if (input.size() < http2Preface.size())
            return;
        m_walkedBytes = input.starts_with(http2Preface) ? http2Preface.size() : 0;
        m_hasPreface = true;
    }
    while (true) {
        if (!m_unfinished) {
            if (m_walkedBytes + frameHeaderBytes > input.size())
                return;
            m_unfinished = parse(input.substr(m_walkedBytes, frameHeaderBytes));
            m_walkedBytes += frameHeaderBytes;
            if (!begin(*m_unfinished))
                m_unfinished->type = ignoredFrame;
        }
        if (m_walkedBytes + m_unfinished->length > input.size())
            return;
        finish(*m_unfinished, input.substr(m_walkedBytes, m_unfinished->length), maximumStreamBytes);
        m_walkedBytes += m_unfinished->length;
        m_unfinished.reset();
    }
}

// Counts the frame's bytes. Gives false if the library ignores the frame: a peer may send on for a while on a stream that
// was refused, and its frames must not count as those of a request that nobody ends.
bool Http2Frames::begin(const Frame& frame)
{
    if (frame.type == headersFrame && frame.stream > m_highestStream) {
        m_highestStream = frame.stream;
        m_streams.emplace(frame.stream, Stream {});
    }
    auto stream = m_streams.find(frame.stream);
    if (stream == m_streams.end())
        return false;
    bool carriesRequest = frame.type == dataFrame || frame.type == headersFrame || frame.type == continuationFrame;
    if (carriesRequest) {
        stream->second.heldBytes += frame.length;
        m_openBytes += frame.length;
    }
    return true;
}

void Http2Frames::finish(const Frame& frame, std::string_view payload, uint64_t maximumStreamBytes)
{
    auto entry = m_streams.find(frame.stream);
    if (entry == m_streams.end())
        return;
    auto& stream = entry->second;
    bool isEnd = (frame.flags & endStreamFlag) != 0;
    switch (frame.type) {
    case resetFrame:
        forget(frame.stream);
        return;
    case dataFrame: {
        auto paddingBytes = (frame.flags & paddedFlag) != 0 && !payload.empty() ? 1 + static_cast<unsigned char>(payload.front()) : 0;
        auto bodyBytes = payload.size() - std::min<size_t>(payload.size(), paddingBytes);
        stream.bodyBytes += bodyBytes;
        if (stream.bodyBytes > 0)
            m_lastBodies.insert(frame.stream);
        // The library resets a stream whose body exceeds the limit.
        if (stream.bodyBytes > maximumStreamBytes)
            forget(frame.stream);
        else if (isEnd)
            endStream(frame.stream);
        return;
    }
    case headersFrame:
        stream.endsWithHead = stream.endsWithHead || isEnd;
        [[fallthrough]];
    case continuationFrame:
        if (stream.endsWithHead && (frame.flags & endHeadersFlag) != 0)
            endStream(frame.stream);
        return;
    default:
        return;
    }
}

void Http2Frames::endStream(uint32_t stream)
{
    ++m_wholeStreams;
    m_wholeBytes += forget(stream);
}

uint64_t Http2Frames::forget(uint32_t stream)
{
    auto entry = m_streams.extract(stream);
    if (entry.empty())
        return 0;
    m_openBytes -= entry.mapped().heldBytes;
    return entry.mapped().heldBytes;
}

// Heads and padding were counted with the bodies; nothing of them is left once no whole request waits.
void Http2Frames::requestHanded(uint64_t bodyBytes)
{
    m_wholeStreams -= std::min<size_t>(m_wholeStreams, 1);
    m_wholeBytes = m_wholeStreams == 0 ? 0 : m_wholeBytes - std::min(m_wholeBytes, bodyBytes);
}

void Http2Frames::refuseLast()
{
    for (auto stream : m_lastBodies)
        forget(stream);
}

void Http2Frames::dropWhole()
{
    m_wholeStreams = 0;
    m_wholeBytes = 0;
}

}
