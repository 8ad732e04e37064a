#include <LibTransport/RequestHead.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <strings.h>

namespace Transport {

// The end of a line and an empty line after it. A head may use bare line feeds.
static constexpr size_t longestTerminator = 3;

static size_t emptyLinesAtStart(std::string_view bytes)
{
    return std::min(bytes.find_first_not_of("\r\n"), bytes.size());
}

static std::optional<size_t> findHeadEnd(std::string_view bytes, size_t searchedBytes)
{
    auto begin = std::max(emptyLinesAtStart(bytes), searchedBytes - std::min(searchedBytes, longestTerminator));
    for (auto feed = bytes.find('\n', begin); feed != std::string_view::npos; feed = bytes.find('\n', feed + 1)) {
        auto rest = bytes.substr(feed + 1);
        if (rest.starts_with("\n"))
            return feed + 2;
        if (rest.starts_with("\r\n"))
            return feed + 3;
    }
    return std::nullopt;
}

std::string_view headField(std::string_view head, std::string_view name)
{
    for (auto feed = head.find('\n'); feed != std::string_view::npos; feed = head.find('\n', feed + 1)) {
        auto line = head.substr(feed + 1);
        line = line.substr(0, line.find('\n'));
        if (line.size() <= name.size() || line[name.size()] != ':' || strncasecmp(line.data(), name.data(), name.size()) != 0)
            continue;
        line.remove_prefix(name.size() + 1);
        line.remove_prefix(std::min(line.find_first_not_of(" \t"), line.size()));
        return line.substr(0, line.find_last_not_of(" \t\r") + 1);
    }
    return {};
}

static std::optional<uint64_t> readLength(std::string_view text)
{
    if (text.empty())
        return std::nullopt;
    uint64_t length = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() ? length : std::numeric_limits<uint64_t>::max();
}

std::optional<RequestHead> findRequestHead(std::string_view bytes, size_t searchedBytes)
{
    auto end = findHeadEnd(bytes, searchedBytes);
    if (!end)
        return std::nullopt;
    auto head = bytes.substr(0, *end);
    return RequestHead { *end, readLength(headField(head, "content-length")), !headField(head, "transfer-encoding").empty() };
}

}
