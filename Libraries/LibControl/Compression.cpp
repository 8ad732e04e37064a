#include <LibControl/Compression.h>

#include <LibControl/ControlError.h>

#include <algorithm>
#include <zlib.h>

namespace Control {

namespace {

    // Shorter texts don't get smaller by what they save in work.
    constexpr size_t shortestCompressed = 200;

    constexpr char jsonBegin = '{';

    // Most messages fit; longer ones are read again into the largest buffer.
    constexpr size_t usualTextSize = 8 * 1024;

}

bool isCompressed(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() != jsonBegin;
}

std::string compress(const std::string& text)
{
    if (text.size() < shortestCompressed)
        return text;
    auto length = compressBound(text.size());
    std::string stream(length, '\0');
    auto status = compress2(reinterpret_cast<Bytef*>(stream.data()), &length, reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
    if (status != Z_OK)
        return text;
    stream.resize(length);
    return stream;
}

std::string decompress(const std::string& bytes, size_t limit)
{
    if (!isCompressed(bytes))
        return bytes;
    std::string text;
    auto status = Z_BUF_ERROR;
    for (auto capacity = std::min(usualTextSize, limit); status == Z_BUF_ERROR; capacity = limit) {
        bool isLastTry = capacity == limit;
        auto length = static_cast<uLongf>(capacity);
        text.resize(capacity);
        status = uncompress(reinterpret_cast<Bytef*>(text.data()), &length, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
        text.resize(length);
        if (isLastTry)
            break;
    }
    if (status == Z_BUF_ERROR)
        throw ControlError(Refusal::Oversized, "unknown", "more than " + std::to_string(limit) + " bytes, or cut short");
    if (status != Z_OK)
        throw ControlError(Refusal::Malformed, "unknown", "no zlib stream");
    return text;
}

}
