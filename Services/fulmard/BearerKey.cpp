#include <Services/fulmard/BearerKey.h>

#include <algorithm>
#include <cctype>

namespace Fulmard {

namespace {

    constexpr std::string_view scheme = "bearer";
    constexpr std::string_view whitespace = " \t";

    bool isScheme(std::string_view text)
    {
        return std::ranges::equal(text, scheme, [](unsigned char left, char right) { return std::tolower(left) == right; });
    }

    std::string_view trimmed(std::string_view text)
    {
        auto begin = text.find_first_not_of(whitespace);
        return begin == std::string_view::npos ? std::string_view {} : text.substr(begin, text.find_last_not_of(whitespace) + 1 - begin);
    }

    bool isKey(std::string_view text)
    {
        return !text.empty() && std::ranges::all_of(text, [](char character) { return character > ' ' && character <= '~'; });
    }

}

std::optional<std::string_view> findBearerKey(const Transport::HeaderList& headers)
{
    if (std::ranges::count(headers, authorizationHeader, &Transport::HttpHeader::name) != 1)
        return std::nullopt;
    auto value = trimmed(*Transport::findHeader(headers, authorizationHeader));
    auto space = value.find(' ');
    if (space == std::string_view::npos || !isScheme(value.substr(0, space)))
        return std::nullopt;
    auto key = value.substr(value.find_first_not_of(' ', space));
    return isKey(key) ? std::optional(key) : std::nullopt;
}

}
