#include <LibPlatform/Base64.h>

#include <openssl/evp.h>

namespace Platform {

std::string encodeBase64(const std::string& bytes)
{
    // The library ends the text with a zero byte.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(length);
    return text;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // The library counts the padding as bytes.
    auto padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(length - padding);
    return bytes;
}

}
