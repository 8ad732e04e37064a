#include <LibControl/Compression.h>

#include <LibControl/ControlError.h>

#include <algorithm>
#include <zlib.h>

namespace Control {

namespace {

    // Minimum text size in bytes for compression. The savings on shorter texts don't justify the CPU time.
    constexpr size_t minimumTextSizeToCompress = 200;

    constexpr char jsonObjectStart = '{';

    // Output buffer size in bytes of the first attempt to decompress. Most messages fit; for longer ones, decompression
    // starts over with a buffer of the maximum size.
    constexpr size_t initialBufferSize = 8 * 1024;

}

bool isCompressed(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() != jsonObjectStart;
}

std::string compress(const std::string& text)
{
    if (text.size() < minimumTextSizeToCompress)
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
    for (auto capacity = std::min(initialBufferSize, limit); status == Z_BUF_ERROR; capacity = limit) {
        bool isLastAttempt = capacity == limit;
        auto length = static_cast<uLongf>(capacity);
        text.resize(capacity);
        status = uncompress(reinterpret_cast<Bytef*>(text.data()), &length, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
        text.resize(length);
        if (isLastAttempt)
            break;
    }
    if (status == Z_BUF_ERROR)
        throw ControlError(Refusal::Oversized, "unknown", "more than " + std::to_string(limit) + " bytes, or cut short");
    if (status != Z_OK)
        throw ControlError(Refusal::Malformed, "unknown", "no zlib stream");
    return text;
}

}
