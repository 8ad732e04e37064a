#pragma once

#include <LibDecision/Calls/TokenBucket.h>

#include <cstddef>
#include <limits>
#include <optional>

namespace Decision {

// The rate of requests that one incarnation of a backend server takes, as it names it in its answers, and a token bucket
// that keeps the requests of its sidecar to that rate.
//
// In any window of w seconds the bucket lets at most burst() + w * rate() requests through. It starts empty, because
// the backend server has just got more than it takes, or because a predecessor of this process may have used its burst.
class RequestLimit {
public:
    // Requests a second that are let through whatever the limit: only an answer shows that a limit has ended.
    static constexpr double minimumRate = 0.5;

    // Takes what an answer names; nullopt if it names no limit. An answer whose request was sent before the limit in
    // force was last named may be older than that naming, so it can lower the limit, but not raise or end it.
    // Returns true if the limit has changed.
    bool hear(std::optional<double> named, Instant sentAt, Instant now);
    // Takes the limit that another process knows. It isn't put in force once this process has heard an answer, since that
    // is newer. Returns true if the limit has changed.
    bool learn(double limit, Instant now);

    // Requests a second; nullopt without a limit.
    std::optional<double> value() const;
    // Whether any answer has told this process if there is a limit.
    bool isHeard() const { return m_isHeard; }
    // Whether any process may know of a limit, although none may be in force.
    bool wasEverNamed() const { return m_wasEverNamed; }
    // Time until the bucket lets the next request through if this many others go before it; zero without a limit.
    Duration waitFor(size_t ahead, Instant now) const;
    bool allows(Instant now) const { return waitFor(0, now) == Duration::zero(); }
    void countRequest(Instant now);

private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    bool isLimited() const { return m_limit != unlimited; }
    double rate() const;
    double burst() const { return 1 + m_limit; }
    bool set(double limit, Instant now);

    double m_limit { unlimited };
    // When the limit in force was last named.
    Instant m_namedAt;
    bool m_isHeard { false };
    bool m_wasEverNamed { false };
    TokenBucket m_tokens { 0 };
};

}
