#include <LibTransport/AnswerReader.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace Transport {

static constexpr size_t maximumHeaders = 100;
static constexpr uint16_t switchingProtocols = 101;
static constexpr uint16_t firstFinalStatus = 200;
// Bytes on the wire for each byte of an answer: a chunk of one byte has a line of its own.
static constexpr uint64_t maximumFramingOverhead = 8;
static constexpr int malformed = -1;
static constexpr int incomplete = -2;

AnswerReader::AnswerReader(bool isHeadRequest, uint64_t maximumBytes)
    : m_isHeadRequest(isHeadRequest)
    , m_maximumBytes(maximumBytes)
{
    // The answer ends after the trailer, not after the last chunk.
    m_decoder.consume_trailer = 1;
}

size_t AnswerReader::read(std::span<char> bytes)
{
    size_t taken = 0;
    while (m_state == AnswerState::Incomplete && taken < bytes.size()) {
        auto rest = bytes.subspan(taken);
        auto count = m_hasHead ? readBody(rest) : readHead(rest);
        taken += count;
        if (count == 0)
            break;
    }
    m_takenBytes += taken;
    // Interim answers, chunk extensions and trailers add nothing to the answer, but may come without end.
    if (m_state == AnswerState::Incomplete && m_takenBytes > maximumFramingOverhead * m_maximumBytes)
        breakOff("the answer's framing is too long");
    return taken;
}

size_t AnswerReader::readHead(std::span<char> bytes)
{
    int minorVersion = 0;
    int status = 0;
    const char* phrase = nullptr;
    size_t phraseLength = 0;
    std::array<phr_header, maximumHeaders> headers {};
    size_t headerCount = headers.size();
    int length = phr_parse_response(bytes.data(), bytes.size(), &minorVersion, &status, &phrase, &phraseLength, headers.data(), &headerCount, m_parsedHeadBytes);
    if (length == malformed)
        return breakOff("the answer's head is malformed");
    if (std::min<size_t>(bytes.size(), length == incomplete ? bytes.size() : length) > m_maximumBytes)
        return breakOff("the answer's head is too long");
    m_parsedHeadBytes = length == incomplete ? bytes.size() : 0;
    if (length == incomplete)
        return 0;

    bool isInterim = status < firstFinalStatus && status != switchingProtocols;
    if (!isInterim)
        takeHead(minorVersion, status, std::span(headers).first(headerCount));
    return length;
}

void AnswerReader::takeHead(int minorVersion, int status, std::span<const phr_header> headers)
{
    m_hasHead = true;
    m_response.status = static_cast<uint16_t>(status);
    m_response.headers.reserve(headers.size());
    for (const auto& header : headers) {
        // A line that continues the one before comes without a name.
        // https://www.rfc-editor.org/rfc/rfc9112#section-5.2
        if (!header.name) {
            breakOff("the answer's head has a folded line");
            return;
        }
        std::string name(header.name, header.name_len);
        std::ranges::transform(name, name.begin(), [](unsigned char character) { return std::tolower(character); });
        m_response.headers.push_back({ std::move(name), std::string(header.value, header.value_len) });
    }

    auto verdict = judgeFraming(m_isHeadRequest, m_response.status, m_response.headers, m_maximumBytes);
    if (!verdict.problem.empty()) {
        breakOff(verdict.problem);
        return;
    }
    m_framing = verdict.framing;
    m_missingBytes = verdict.length;
    m_isPersistent = minorVersion >= 1 && !hasConnectionOption(m_response.headers, "close");
    if (m_framing != AnswerFraming::Chunked && m_missingBytes == 0)
        m_state = AnswerState::Whole;
}

size_t AnswerReader::readBody(std::span<char> bytes)
{
    return m_framing == AnswerFraming::Chunked ? readChunkedBody(bytes) : readSizedBody(bytes);
}

size_t AnswerReader::readSizedBody(std::span<char> bytes)
{
    auto count = std::min<uint64_t>(bytes.size(), m_missingBytes);
    if (m_response.body.empty())
        m_response.body.reserve(m_missingBytes);
    m_response.body.append(bytes.data(), count);
    m_missingBytes -= count;
    if (m_missingBytes == 0)
        m_state = AnswerState::Whole;
    return count;
}

size_t AnswerReader::readChunkedBody(std::span<char> bytes)
{
    size_t decoded = bytes.size();
    auto rest = phr_decode_chunked(&m_decoder, bytes.data(), &decoded);
    if (rest == malformed)
        return breakOff("the answer's chunks are malformed");
    m_response.body.append(bytes.data(), decoded);
    if (m_response.body.size() > m_maximumBytes)
        return breakOff("the answer is too long");
    if (rest == incomplete)
        return bytes.size();
    m_state = AnswerState::Whole;
    return bytes.size() - rest;
}

uint64_t AnswerReader::neededBytes() const
{
    constexpr uint64_t growthFactor = 2;
    return m_framing == AnswerFraming::Chunked && m_state == AnswerState::Incomplete ? growthFactor * m_response.body.size() : m_response.body.size() + m_missingBytes;
}

size_t AnswerReader::breakOff(std::string problem)
{
    m_state = AnswerState::Broken;
    m_problem = std::move(problem);
    return 0;
}

}
