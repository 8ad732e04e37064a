#include <LibTransport/HttpMessage.h>

#include <algorithm>
#include <array>

namespace Transport {

static std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char character) { return std::tolower(character); });
    return lower;
}

static std::vector<std::string> connectionOptions(const HeaderList& headers)
{
    std::vector<std::string> options;
    for (const auto& header : headers) {
        if (header.name != "connection")
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            auto comma = std::min(rest.find(','), rest.size());
            options.push_back(lowerCase(trimmed(rest.substr(0, comma))));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return options;
}

std::optional<std::string_view> findHeader(const HeaderList& headers, std::string_view name)
{
    auto header = std::ranges::find(headers, name, &HttpHeader::name);
    if (header == headers.end())
        return std::nullopt;
    return header->value;
}

void setHeader(HeaderList& headers, std::string_view name, std::string value)
{
    std::erase_if(headers, [&](const HttpHeader& header) { return header.name == name; });
    headers.push_back({ std::string(name), std::move(value) });
}

bool hasConnectionOption(const HeaderList& headers, std::string_view option)
{
    auto options = connectionOptions(headers);
    return std::ranges::find(options, option) != options.end();
}

void removeHopByHopHeaders(HeaderList& headers)
{
    static constexpr std::array<std::string_view, 9> always { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };
    auto named = connectionOptions(headers);
    std::erase_if(headers, [&](const HttpHeader& header) {
        return std::ranges::find(always, header.name) != always.end() || std::ranges::find(named, header.name) != named.end();
    });
}

HttpRequest withoutBody(const HttpRequest& request)
{
    return { request.method, request.authority, request.target, request.headers, {}, request.peerAddress, request.peerPort, request.protocol, nullptr };
}

}
