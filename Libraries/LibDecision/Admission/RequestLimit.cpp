#include <LibDecision/Admission/RequestLimit.h>

#include <algorithm>
#include <chrono>

namespace Decision {

bool RequestLimit::hear(std::optional<double> named, Instant sentAt, Instant now)
{
    m_isHeard = true;
    auto limit = named.value_or(unlimited);
    if (limit > m_limit && sentAt < m_namedAt)
        return false;
    return set(limit, now);
}

bool RequestLimit::learn(double limit, Instant now)
{
    m_wasEverNamed = true;
    return !m_isHeard && limit < m_limit && set(limit, now);
}

bool RequestLimit::set(double limit, Instant now)
{
    bool wasLimited = isLimited();
    bool hasChanged = limit != m_limit;
    if (wasLimited)
        m_tokens.refill(rate(), now);
    m_limit = limit;
    m_namedAt = now;
    if (!isLimited())
        return hasChanged;
    m_wasEverNamed = true;
    if (!wasLimited) {
        m_tokens = TokenBucket(burst());
        m_tokens.startAt(now);
    }
    m_tokens.setLimit(burst());
    return hasChanged;
}

std::optional<double> RequestLimit::value() const { return isLimited() ? std::optional(m_limit) : std::nullopt; }

double RequestLimit::rate() const { return std::max(m_limit, minimumRate); }

Duration RequestLimit::waitFor(size_t ahead, Instant now) const
{
    if (!isLimited())
        return Duration::zero();
    auto tokens = m_tokens;
    tokens.refill(rate(), now);
    auto missing = 1 + static_cast<double>(ahead) - tokens.tokens();
    if (missing <= 0)
        return Duration::zero();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / rate()));
}

void RequestLimit::countRequest(Instant now)
{
    if (!isLimited())
        return;
    m_tokens.refill(rate(), now);
    m_tokens.take();
}

}
