#include <LibDecision/Admission/AccountTurns.h>

#include <algorithm>
#include <cmath>

namespace Decision {

void FadingCount::add(Instant now)
{
    m_value = value(now) + 1;
    m_at = now;
}

double FadingCount::value(Instant now) const
{
    return m_value * std::exp2(-static_cast<double>((now - m_at).count()) / static_cast<double>(halfLife.count()));
}

void AccountTurns::requested(const AccountId& account, Instant now)
{
    m_accounts[account].requested.add(now);
    m_all.requested.add(now);
    if (m_accounts.size() >= m_sweepAt)
        forgetQuietAccounts(now);
}

void AccountTurns::served(const AccountId& account, Instant now)
{
    auto& record = m_accounts[account];
    record.served.add(now);
    m_all.served.add(now);
    record.lastTurn = ++m_all.lastTurn;
}

uint64_t AccountTurns::turnOf(const AccountId& account, Instant now) const
{
    auto record = m_accounts.find(account);
    if (record == m_accounts.end())
        return 0;
    auto requested = record->second.requested.value(now);
    bool isOwed = requested >= fewestRequests
        && record->second.served.value(now) * m_all.requested.value(now) < leastServedFraction * requested * m_all.served.value(now);
    return isOwed ? 0 : record->second.lastTurn;
}

void AccountTurns::forgetQuietAccounts(Instant now)
{
    std::erase_if(m_accounts, [&](const auto& entry) { return entry.second.requested.value(now) < forgottenBelow; });
    m_sweepAt = std::max(smallestSweep, 2 * m_accounts.size());
}

}
