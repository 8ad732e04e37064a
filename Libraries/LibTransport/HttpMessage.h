#pragma once

#include <LibModel/Endpoint.h>
#include <LibTransport/MemoryBudget.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Transport {

using namespace Model;

// A header field; names are lower case.
struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

using HeaderList = std::vector<HttpHeader>;

// Gives the first field of that lower-case name.
std::optional<std::string_view> findHeader(const HeaderList&, std::string_view name);

// Replaces every field of that lower-case name by one.
void setHeader(HeaderList&, std::string_view name, std::string value);

// Says whether a Connection field names the lower-case option.
bool hasConnectionOption(const HeaderList&, std::string_view option);

// Removes the fields that concern one connection only, and those that a Connection field names.
// https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1
void removeHopByHopHeaders(HeaderList&);

// A request with its whole body.
struct HttpRequest {
    std::string method;
    std::string authority;
    // Path and query.
    std::string target;
    HeaderList headers;
    std::string body;
    // IP number of the sender.
    std::string peerAddress;
    // Port of the sender; tells its connections apart.
    uint16_t peerPort { 0 };
    // "HTTP/1.1" or "HTTP/2".
    std::string protocol;
    // Accounts for the head and body; copies share it. Empty if nobody keeps account.
    std::shared_ptr<Reservation> reservation;
};

// Copies all but the body.
HttpRequest withoutBody(const HttpRequest&);

// An answer with its whole body. Content-Length is derived from the body.
struct HttpResponse {
    uint16_t status { 200 };
    HeaderList headers;
    std::string body;
    // Accounts for the body; copies share it. Empty if nobody keeps account.
    std::shared_ptr<Reservation> reservation;
};

}
