#include <LibTransport/RequestText.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <array>

namespace Transport {

static bool isDerived(std::string_view name)
{
    static constexpr std::array<std::string_view, 7> names { "host", "content-length", "transfer-encoding", "connection", "keep-alive", "upgrade", "expect" };
    return std::ranges::find(names, name) != names.end();
}

static bool isVisible(char character)
{
    auto byte = static_cast<unsigned char>(character);
    return byte > ' ' && byte != 0x7f;
}

static bool isFieldName(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, isVisible) && name.find(':') == std::string_view::npos;
}

static bool isFieldValue(std::string_view value)
{
    return std::ranges::none_of(value, [](char character) { return character == '\r' || character == '\n' || character == '\0'; });
}

static bool isToken(std::string_view text) { return !text.empty() && std::ranges::all_of(text, isVisible); }

static bool mayHaveBody(std::string_view method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

std::string formatRequestHead(const HttpRequest& request, const Endpoint& to, size_t bodyBytes)
{
    auto host = request.authority.empty() ? to.toString() : request.authority;
    if (!isToken(request.method) || !isToken(request.target) || !isToken(host))
        throw Error("write request", to.toString(), "the method, target or authority holds characters that aren't allowed");

    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nhost: " + host + "\r\n";
    for (const auto& header : request.headers) {
        if (isDerived(header.name))
            continue;
        if (!isFieldName(header.name) || !isFieldValue(header.value))
            throw Error("write request", to.toString(), "a header field holds characters that aren't allowed");
        text += header.name + ": " + header.value + "\r\n";
    }
    if (bodyBytes > 0 || mayHaveBody(request.method))
        text += "content-length: " + std::to_string(bodyBytes) + "\r\n";
    return text + "\r\n";
}

}
