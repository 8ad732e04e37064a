#pragma once

#include <string>
#include <string_view>

namespace Control {

// Signs texts and verifies signatures with HMAC-SHA256 and a shared key. https://www.rfc-editor.org/rfc/rfc2104
class Signer {
public:
    explicit Signer(std::string key);

    // Returns the signature as 64 lowercase hexadecimal digits. The purpose is signed with the text for domain
    // separation: a signature made for one purpose isn't valid for another.
    std::string sign(std::string_view purpose, std::string_view text) const;
    // Compares the signatures in constant time.
    bool isValid(std::string_view purpose, std::string_view text, std::string_view signature) const;

private:
    std::string m_key;
};

}
