#include <LibPlatform/PercentEncoding.h>

#include <array>
#include <cctype>
#include <cstdio>

namespace Platform {

std::string percentEncoded(std::string_view text)
{
    static constexpr std::string_view unescaped = "-._~/";
    std::string result;
    for (unsigned char byte : text) {
        if (std::isalnum(byte) || unescaped.find(static_cast<char>(byte)) != std::string_view::npos) {
            result += static_cast<char>(byte);
            continue;
        }
        std::array<char, 4> escaped {};
        snprintf(escaped.data(), escaped.size(), "%%%02X", byte);
        result += escaped.data();
    }
    return result;
}

}
