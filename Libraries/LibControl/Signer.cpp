#include <LibControl/Signer.h>

#include <LibControl/Digest.h>
#include <LibModel/Error.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Control {

Signer::Signer(std::string key)
    : m_key(std::move(key))
{
}

std::string Signer::sign(std::string_view purpose, std::string_view text) const
{
    std::string signedText = std::string(purpose) + '\n' + std::string(text);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    auto result = HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
        reinterpret_cast<const unsigned char*>(signedText.data()), signedText.size(), digest.data(), &length);
    if (!result)
        throw Model::Error("sign", "local", "HMAC failed");

    return toHexadecimal({ digest.data(), length });
}

bool Signer::isValid(std::string_view purpose, std::string_view text, std::string_view signature) const
{
    auto expected = sign(purpose, text);
    return signature.size() == expected.size() && CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0;
}

}
