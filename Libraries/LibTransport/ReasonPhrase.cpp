#include <LibTransport/ReasonPhrase.h>

#include <algorithm>
#include <array>

namespace Transport {

struct StatusPhrase {
    uint16_t status;
    const char* phrase;
};

static constexpr std::array statusPhrases {
    StatusPhrase { 200, "OK" },
    StatusPhrase { 201, "Created" },
    StatusPhrase { 202, "Accepted" },
    StatusPhrase { 204, "No Content" },
    StatusPhrase { 206, "Partial Content" },
    StatusPhrase { 301, "Moved Permanently" },
    StatusPhrase { 302, "Found" },
    StatusPhrase { 303, "See Other" },
    StatusPhrase { 304, "Not Modified" },
    StatusPhrase { 307, "Temporary Redirect" },
    StatusPhrase { 308, "Permanent Redirect" },
    StatusPhrase { 400, "Bad Request" },
    StatusPhrase { 401, "Unauthorized" },
    StatusPhrase { 403, "Forbidden" },
    StatusPhrase { 404, "Not Found" },
    StatusPhrase { 405, "Method Not Allowed" },
    StatusPhrase { 408, "Request Timeout" },
    StatusPhrase { 409, "Conflict" },
    StatusPhrase { 410, "Gone" },
    StatusPhrase { 413, "Content Too Large" },
    StatusPhrase { 415, "Unsupported Media Type" },
    StatusPhrase { 422, "Unprocessable Content" },
    StatusPhrase { 429, "Too Many Requests" },
    StatusPhrase { 500, "Internal Server Error" },
    StatusPhrase { 501, "Not Implemented" },
    StatusPhrase { 502, "Bad Gateway" },
    StatusPhrase { 503, "Service Unavailable" },
    StatusPhrase { 504, "Gateway Timeout" },
};

const char* reasonPhrase(uint16_t status)
{
    auto entry = std::ranges::find(statusPhrases, status, &StatusPhrase::status);
    return entry == statusPhrases.end() ? "Unknown" : entry->phrase;
}

}
