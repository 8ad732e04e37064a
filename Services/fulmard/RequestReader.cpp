#include <Services/fulmard/RequestReader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace Fulmard {

namespace {

    constexpr size_t longestName = 256;

    bool isPrintableAscii(std::string_view text)
    {
        return std::ranges::all_of(text, [](char character) { return character >= ' ' && character <= '~'; });
    }

    std::string readName(const Transport::HttpRequest& request, const char* header, std::string fallback)
    {
        auto value = Transport::findHeader(request.headers, header);
        if (!value)
            return fallback;
        if (value->empty() || value->size() > longestName || !isPrintableAscii(*value))
            throw BadRequestError(std::string(header) + " must have 1 to " + std::to_string(longestName) + " printable ASCII characters");
        return std::string(*value);
    }

    std::string firstLabel(std::string_view authority)
    {
        return std::string(authority.substr(0, authority.find_first_of(".:")));
    }

    // Percent-encodes what isn't printable ASCII, since paths travel in JSON.
    std::string asciiPath(std::string_view target)
    {
        std::string path;
        for (char character : target.substr(0, target.find('?'))) {
            if (character > ' ' && character <= '~') {
                path += character;
                continue;
            }
            std::array<char, 4> encoded {};
            std::snprintf(encoded.data(), encoded.size(), "%%%02X", static_cast<unsigned char>(character));
            path += encoded.data();
        }
        return path;
    }

    std::optional<Duration> readDeadline(const Transport::HttpRequest& request, const std::string& name)
    {
        auto value = Transport::findHeader(request.headers, name);
        if (!value)
            return std::nullopt;
        uint32_t milliseconds = 0;
        auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), milliseconds);
        if (error != std::errc() || end != value->data() + value->size())
            throw BadRequestError(name + " must be whole milliseconds");
        return std::chrono::milliseconds(milliseconds);
    }

    // Keys are structured-field strings, so quotes around them don't count.
    // https://www.rfc-editor.org/rfc/rfc8941#section-3.3.3
    std::string unquoted(std::string text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            return text.substr(1, text.size() - 2);
        return text;
    }

}

RequestReader::RequestReader(uint64_t randomSeed, EdgeSettings edge)
    : m_edge(std::move(edge))
    , m_random(randomSeed)
{
}

RequestInfo RequestReader::read(const Transport::HttpRequest& request, bool hasKey)
{
    RequestInfo info;
    if (m_edge.hasCallerRequestIds)
        info.id = RequestId(readName(request, m_edge.requestId.c_str(), ""));
    if (info.id.isEmpty())
        info.id = makeRequestId();
    info.parent = parentOf(info.id);
    info.service = ServiceName(readName(request, CallerHeader::service, firstLabel(request.authority)));
    info.account = AccountId(readName(request, CallerHeader::account, request.peerAddress));
    info.method = enumFromName<Method>(request.method).value_or(Method::Other);
    info.path = asciiPath(request.target);
    info.remaining = readDeadline(request, m_edge.deadline);
    if (Transport::findHeader(request.headers, CallerHeader::idempotencyKey)) {
        auto key = unquoted(readName(request, CallerHeader::idempotencyKey, ""));
        if (key.empty())
            throw BadRequestError("idempotency-key must not be empty");
        info.key = IdempotencyKey(std::move(key));
    }
    info.fingerprint = fingerprintOf(info, request, hasKey);
    return info;
}

std::optional<RequestId> RequestReader::parentOf(const RequestId& id) const
{
    auto end = m_edge.parentSeparator.empty() ? std::string::npos : id.value().rfind(m_edge.parentSeparator);
    return end == std::string::npos ? std::nullopt : std::optional(RequestId(id.value().substr(0, end)));
}

RequestId RequestReader::makeRequestId()
{
    std::array<char, 33> text {};
    auto high = static_cast<unsigned long long>(m_random());
    auto low = static_cast<unsigned long long>(m_random());
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return RequestId(text.data());
}

Fingerprint fingerprintOf(const RequestInfo& info, const Transport::HttpRequest& request, bool hasKey)
{
    // The address that stands for an unnamed account is that of wherever the request entered the fleet.
    auto namedAccount = hasKey ? "" : Transport::findHeader(request.headers, CallerHeader::account).value_or("");
    std::string identity;
    for (std::string_view part : { std::string_view(info.service.value()), std::string_view(namedAccount),
             std::string_view(request.method), std::string_view(request.target) }) {
        identity += part;
        identity += '\0';
    }
    // A long body isn't copied for it.
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), XXH3_freeState);
    XXH3_128bits_reset(state.get());
    XXH3_128bits_update(state.get(), identity.data(), identity.size());
    XXH3_128bits_update(state.get(), request.body.data(), request.body.size());
    auto hash = XXH3_128bits_digest(state.get());
    return { hash.high64, hash.low64 };
}

}
