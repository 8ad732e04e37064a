#include <Services/fulmard/QueryString.h>

#include <algorithm>
#include <charconv>

namespace Fulmard {

namespace {

    std::string percentDecoded(std::string_view text)
    {
        constexpr int hexadecimal = 16;
        std::string decoded;
        for (size_t position = 0; position < text.size(); ++position) {
            uint8_t byte = 0;
            auto digits = text.substr(position + 1, 2);
            bool isEscape = text[position] == '%' && digits.size() == 2
                && std::from_chars(digits.data(), digits.data() + 2, byte, hexadecimal).ptr == digits.data() + 2;
            decoded += isEscape ? static_cast<char>(byte) : text[position];
            position += isEscape ? 2 : 0;
        }
        return decoded;
    }

}

QueryString::QueryString(std::string_view target)
{
    auto questionMark = std::min(target.find('?'), target.size());
    m_path = percentDecoded(target.substr(0, questionMark));
    auto query = target.substr(std::min(questionMark + 1, target.size()));
    while (!query.empty()) {
        auto parameter = query.substr(0, query.find('&'));
        auto equals = std::min(parameter.find('='), parameter.size());
        m_parameters.push_back({ percentDecoded(parameter.substr(0, equals)), percentDecoded(parameter.substr(std::min(equals + 1, parameter.size()))) });
        query.remove_prefix(std::min(parameter.size() + 1, query.size()));
    }
}

std::string QueryString::value(std::string_view name) const
{
    auto parameter = std::ranges::find(m_parameters, name, &Parameter::name);
    return parameter == m_parameters.end() ? std::string() : parameter->value;
}

std::optional<uint64_t> QueryString::number(std::string_view name) const
{
    auto text = value(name);
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

}
