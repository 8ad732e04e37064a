#pragma once

#include <LibControl/Signer.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace Control {

// The signed parts of an operator's HTTP request.
struct OperatorCall {
    std::string method;
    // Request target: path and query.
    std::string target;
    std::string body;
};

// Returns the value of the header `fulmar-operator`: SECONDS.NONCE.SIGNATURE, with the signing time in seconds since
// the Unix epoch.
std::string signOperatorCall(const Signer&, const OperatorCall&, uint64_t unixSeconds, uint64_t nonce);

// Authenticates operators' calls. A call is accepted if it is signed with the operator key, its signing time differs
// from the local clock by at most five minutes, and it isn't a replay.
class OperatorGate {
public:
    explicit OperatorGate(const std::string& operatorKey);

    // Verifies a call and records its signature to detect replays. The header value is that of `fulmar-operator`.
    // Throws ControlError if the call is refused.
    void check(const OperatorCall&, std::string_view headerValue, uint64_t unixSeconds);

private:
    struct SeenCall {
        uint64_t seconds;
        std::string signature;
    };

    void removeExpiredCalls(uint64_t unixSeconds);

    Signer m_signer;
    std::deque<SeenCall> m_seen;
    std::unordered_set<std::string> m_seenSignatures;
};

}
