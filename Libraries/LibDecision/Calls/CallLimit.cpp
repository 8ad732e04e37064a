#include <LibDecision/Calls/CallLimit.h>

namespace Decision {

CallLimit::CallLimit(uint32_t maximum)
    : m_maximum(maximum)
{
}

bool CallLimit::acquire(const AccountId& account)
{
    auto entry = m_heldByAccount.find(account);
    size_t holds = entry == m_heldByAccount.end() ? 0 : entry->second;
    if (m_held >= m_maximum || holds >= m_maximum - m_held)
        return false;
    ++m_held;
    ++m_heldByAccount[account];
    return true;
}

void CallLimit::release(const AccountId& account)
{
    auto entry = m_heldByAccount.find(account);
    if (entry == m_heldByAccount.end())
        return;
    --m_held;
    if (--entry->second == 0)
        m_heldByAccount.erase(entry);
}

}
