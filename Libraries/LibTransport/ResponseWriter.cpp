#include <LibTransport/ResponseWriter.h>

#include <LibTransport/ReasonPhrase.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace Transport {

static constexpr uint16_t noContent = 204;
static constexpr uint16_t notModified = 304;

h2o_generator_t* responseGenerator()
{
    static h2o_generator_t generator { nullptr, nullptr };
    return &generator;
}

static bool isWrittenByLibrary(std::string_view name)
{
    static constexpr std::array<std::string_view, 5> names { "connection", "content-length", "date", "server", "transfer-encoding" };
    return std::ranges::find(names, name) != names.end();
}

static bool isHead(const h2o_req_t& request) { return std::string_view(request.method.base, request.method.len) == "HEAD"; }

// An answer without a body may still tell the length that a body would have.
static size_t contentLength(const h2o_req_t& request, const HttpResponse& response)
{
    if (!isHead(request) && response.status != notModified)
        return response.status == noContent ? SIZE_MAX : response.body.size();
    auto text = findHeader(response.headers, "content-length");
    size_t length = response.body.empty() ? SIZE_MAX : response.body.size();
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), length);
    return length;
}

void writeHead(h2o_req_t& request, const HttpResponse& response)
{
    request.res.status = response.status;
    request.res.reason = reasonPhrase(response.status);
    request.res.content_length = contentLength(request, response);
    for (const auto& header : response.headers) {
        if (isWrittenByLibrary(header.name))
            continue;
        auto name = h2o_strdup(&request.pool, header.name.data(), header.name.size());
        auto value = h2o_strdup(&request.pool, header.value.data(), header.value.size());
        h2o_add_header_by_str(&request.pool, &request.res.headers, name.base, name.len, 1, nullptr, value.base, value.len);
    }
}

static h2o_generator_t* cutGenerator()
{
    static h2o_generator_t generator {
        [](h2o_generator_t*, h2o_req_t* request) { h2o_send(request, nullptr, 0, H2O_SEND_STATE_ERROR); },
        nullptr,
    };
    return &generator;
}

void writeCutResponse(h2o_req_t& request, HttpResponse response, size_t bodyBytes, std::string& bodyStorage)
{
    writeHead(request, response);
    request.http1_is_persistent = 0;
    bodyStorage = response.body.substr(0, bodyBytes);
    auto body = h2o_iovec_init(bodyStorage.data(), bodyStorage.size());
    h2o_start_response(&request, cutGenerator());
    if (body.len == 0) {
        h2o_send(&request, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    h2o_send(&request, &body, 1, H2O_SEND_STATE_IN_PROGRESS);
}

void writeResponse(h2o_req_t& request, HttpResponse response, std::string& bodyStorage)
{
    writeHead(request, response);
    bodyStorage = std::move(response.body);
    auto body = h2o_iovec_init(bodyStorage.data(), bodyStorage.size());
    bool hasBody = !isHead(request) && response.status != noContent && response.status != notModified && body.len != 0;
    h2o_start_response(&request, responseGenerator());
    h2o_send(&request, &body, hasBody ? 1 : 0, H2O_SEND_STATE_FINAL);
}

}
