#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// Holds tokens up to a limit. Fills by deposits and with time; empty at first.
class TokenBucket {
public:
    explicit TokenBucket(double limit);

    // Tokens beyond a lower limit are lost.
    void setLimit(double limit);
    void deposit(double tokens);
    // Adds what the rate gives since the last call; the first call adds one second's tokens.
    void refill(double tokensPerSecond, Instant now);
    // Says whether a whole token is there.
    bool hasToken() const { return m_tokens >= 1; }
    void take() { m_tokens -= 1; }

private:
    double m_limit;
    double m_tokens { 0 };
    Instant m_filledAt;
    bool m_isRunning { false };
};

}
