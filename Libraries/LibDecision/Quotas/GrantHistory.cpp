#include <LibDecision/Quotas/GrantHistory.h>

namespace Decision {

uint32_t GrantHistory::count(Instant now, Duration span)
{
    while (!m_steps.empty() && nextRelease(now, span) <= now) {
        m_count -= m_steps.front().tokens;
        m_steps.pop_front();
    }
    return m_count;
}

void GrantHistory::add(Instant now, Duration span, uint32_t tokens)
{
    if (tokens == 0)
        return;
    if (m_steps.empty() || now >= m_steps.back().begin + stepOf(span))
        m_steps.push_back({ now, 0 });
    m_steps.back().tokens += tokens;
    m_count += tokens;
}

Instant GrantHistory::nextRelease(Instant now, Duration span) const
{
    return m_steps.empty() ? now : m_steps.front().begin + stepOf(span) + span;
}

}
