#pragma once

#include <LibModel/Request.h>
#include <LibModel/Settings.h>
#include <LibTransport/HttpMessage.h>

#include <cstdint>
#include <random>
#include <string>

namespace Fulmard {

using namespace Model;

// Headers of callers' requests that fulmarsail reads.
namespace CallerHeader {
    // Names the service; without it the first label of the Host does.
    constexpr auto service = "fulmar-service";
    // Names the caller's account; without it the caller's IP number does.
    constexpr auto account = "fulmar-account";
    // https://datatracker.ietf.org/doc/draft-ietf-httpapi-idempotency-key-header/
    constexpr auto idempotencyKey = "idempotency-key";
}

// Thrown if a caller's request can't be understood; what() says why.
class BadRequestError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Reads what the decisions need from a caller's request.
class RequestReader {
public:
    RequestReader(uint64_t randomSeed, EdgeSettings);

    // Gives the request a new id, unless its caller chose one. Throws BadRequestError on a malformed header.
    // An account that the caller names doesn't count in the fingerprint if the request has an API key.
    RequestInfo read(const Transport::HttpRequest&, bool hasKey = false);

private:
    RequestId makeRequestId();
    std::optional<RequestId> parentOf(const RequestId&) const;

    EdgeSettings m_edge;
    std::mt19937_64 m_random;
};

// Hashes what makes two requests the same wherever they enter the fleet: service, account if the caller names one,
// method, target and body. The core adds the tenant of a request that has an API key.
Fingerprint fingerprintOf(const RequestInfo&, const Transport::HttpRequest&, bool hasKey);

}
