#include <LibDecision/Calls/TokenBucket.h>

#include <algorithm>

namespace Decision {

TokenBucket::TokenBucket(double limit)
    : m_limit(limit)
{
}

void TokenBucket::startAt(Instant now)
{
    m_hasBeenRefilled = true;
    m_refilledAt = now;
}

void TokenBucket::setLimit(double limit)
{
    m_limit = limit;
    m_tokens = std::min(m_tokens, m_limit);
}

void TokenBucket::deposit(double tokens)
{
    m_tokens = std::min(m_limit, m_tokens + tokens);
}

void TokenBucket::refill(double tokensPerSecond, Instant now)
{
    if (m_hasBeenRefilled && now < m_refilledAt)
        return;
    Duration elapsed = m_hasBeenRefilled ? now - m_refilledAt : std::chrono::seconds(1);
    deposit(tokensPerSecond * std::chrono::duration<double>(elapsed).count());
    m_hasBeenRefilled = true;
    m_refilledAt = now;
}

}
