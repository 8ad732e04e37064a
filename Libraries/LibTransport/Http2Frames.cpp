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
    m_lastStreams.clear();
    if (!m_hasPreface) {
        if (input.size() < http2Preface.size())
            return;
        m_walkedBytes = input.starts_with(http2Preface) ? http2Preface.size() : 0;
        m_hasPreface = true;
    }
    while (m_walkedBytes + frameHeaderBytes <= input.size()) {
        auto frame = parse(input.substr(m_walkedBytes, frameHeaderBytes));
        m_walkedBytes += frameHeaderBytes + frame.length;
        take(frame, maximumStreamBytes);
    }
}

void Http2Frames::take(const Frame& frame, uint64_t maximumStreamBytes)
{
    if (frame.type == resetFrame)
        forget(frame.stream);
    bool carriesRequest = frame.type == dataFrame || frame.type == headersFrame || frame.type == continuationFrame;
    if (!carriesRequest)
        return;
    m_lastStreams.insert(frame.stream);
    auto& bytes = m_streams[frame.stream];
    bytes += frame.length;
    m_openBytes += frame.length;
    // The library resets a stream whose body exceeds the limit.
    if (bytes > maximumStreamBytes)
        forget(frame.stream);
    else if (frame.type != continuationFrame && (frame.flags & endStreamFlag) != 0)
        endStream(frame.stream);
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
    m_openBytes -= entry.mapped();
    return entry.mapped();
}

// Heads and padding were counted with the bodies; nothing of them is left once no whole request waits.
void Http2Frames::requestHanded(uint64_t bodyBytes)
{
    m_wholeStreams -= std::min<size_t>(m_wholeStreams, 1);
    m_wholeBytes = m_wholeStreams == 0 ? 0 : m_wholeBytes - std::min(m_wholeBytes, bodyBytes);
}

void Http2Frames::refuseLast()
{
    for (auto stream : m_lastStreams)
        forget(stream);
}

}
