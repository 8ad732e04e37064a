#include <LibTransport/AnswerFraming.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <strings.h>

namespace Transport {

static constexpr uint16_t switchingProtocols = 101;
static constexpr uint16_t noContent = 204;
static constexpr uint16_t notModified = 304;

static std::optional<uint64_t> parseLength(std::string_view text)
{
    uint64_t length = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

FramingVerdict judgeFraming(bool isHeadRequest, uint16_t status, const HeaderList& headers, uint64_t maximumBytes)
{
    auto lengths = std::ranges::count(headers, "content-length", &HttpHeader::name);
    auto encodings = std::ranges::count(headers, "transfer-encoding", &HttpHeader::name);
    if (status == switchingProtocols)
        return { AnswerFraming::NoBody, 0, "the peer switched protocols unasked" };
    if (lengths + encodings > 1)
        return { AnswerFraming::NoBody, 0, "the answer states its length more than once" };

    auto text = findHeader(headers, "content-length");
    auto length = text ? parseLength(*text) : std::nullopt;
    if (text && !length)
        return { AnswerFraming::NoBody, 0, "the answer's Content-Length is no number" };
    if (isHeadRequest || status == noContent || status == notModified)
        return { AnswerFraming::NoBody, 0, {} };
    if (length)
        return { AnswerFraming::ContentLength, *length, *length > maximumBytes ? "the answer is too long" : "" };

    auto encoding = findHeader(headers, "transfer-encoding");
    if (encoding && encoding->size() == 7 && strncasecmp(encoding->data(), "chunked", 7) == 0)
        return { AnswerFraming::Chunked, 0, {} };
    return { AnswerFraming::NoBody, 0, "the answer doesn't state its length" };
}

}
