#include <LibControl/Digest.h>

#include <LibModel/Error.h>

#include <array>
#include <openssl/evp.h>

namespace Control {

std::string toHexadecimal(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (auto byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    if (!EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr))
        throw Model::Error("digest", "local", "SHA-256 failed");
    return toHexadecimal({ digest.data(), length });
}

}
