#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// Token bucket that is filled by deposits and at a rate over time. It starts empty, and take() may make it negative.
class TokenBucket {
public:
    explicit TokenBucket(double limit);

    // The next refill counts from this instant, which may be in the future.
    void startAt(Instant);
    // Discards the tokens above the new limit.
    void setLimit(double limit);
    void deposit(double tokens);
    // Adds the tokens for the time since the last call; the first call adds one second's worth.
    void refill(double tokensPerSecond, Instant now);
    // Returns true if at least one whole token is available.
    bool hasToken() const { return m_tokens >= 1; }
    double tokens() const { return m_tokens; }
    void take(double tokens = 1) { m_tokens -= tokens; }

private:
    double m_limit;
    double m_tokens { 0 };
    Instant m_refilledAt;
    bool m_hasBeenRefilled { false };
};

}
