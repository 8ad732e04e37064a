#include <LibDecision/Claims/ClaimTable.h>

#include <algorithm>

namespace Decision {

namespace {

    ClaimEvent eventOf(Outcome outcome)
    {
        switch (outcome) {
        case Outcome::Answered:
            return ClaimEvent::Answered;
        case Outcome::NotRun:
            return ClaimEvent::NotRun;
        case Outcome::Unknown:
            break;
        }
        return ClaimEvent::OutcomeLost;
    }

    Outcome outcomeOf(ClaimState state)
    {
        return state == ClaimState::Finished ? Outcome::Answered : Outcome::Unknown;
    }

    ClaimState stateOf(const ClaimEntry& entry)
    {
        if (entry.isRunning)
            return ClaimState::Running;
        return entry.outcome == Outcome::Answered ? ClaimState::Finished : ClaimState::Unknown;
    }

}

ClaimTable::ClaimTable(const ClaimChart& chart)
    : m_chart(&chart)
{
}

const Claim* ClaimTable::find(const ClaimKey& key) const
{
    auto slot = m_claims.find(key);
    return slot == m_claims.end() ? nullptr : &slot->second.claim;
}

void ClaimTable::insert(const ClaimKey& key, Claim claim)
{
    auto expiresAt = claim.expiresAt;
    auto [slot, isNew] = m_claims.try_emplace(key, Slot { std::move(claim), {} });
    if (isNew)
        slot->second.expiry = m_expiries.emplace(expiresAt, &slot->first);
}

void ClaimTable::recordOutcome(const ProcessIncarnation& owner, const ClaimOutcome& outcome)
{
    auto slot = m_claims.find({ outcome.account, outcome.key });
    if (slot == m_claims.end())
        return;
    const auto& claim = slot->second.claim;
    if (claim.owner == owner && claim.sequence == outcome.sequence)
        advance(slot, eventOf(outcome.outcome));
}

void ClaimTable::advance(Slots::iterator slot, ClaimEvent event)
{
    auto& state = slot->second.claim.state;
    state = m_chart->next(state, event);
    if (state != ClaimState::Freed)
        return;
    m_expiries.erase(slot->second.expiry);
    m_claims.erase(slot);
}

void ClaimTable::removeExpired(Instant now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_claims.erase(m_claims.find(*m_expiries.begin()->second));
        m_expiries.erase(m_expiries.begin());
    }
}

void ClaimTable::clear()
{
    m_expiries.clear();
    m_claims.clear();
}

std::vector<ClaimEntry> ClaimTable::entries(Instant now) const
{
    std::vector<ClaimEntry> entries;
    entries.reserve(m_claims.size());
    for (const auto& [key, slot] : m_claims) {
        const auto& claim = slot.claim;
        if (claim.expiresAt <= now)
            continue;
        entries.push_back({ key.account, key.key, claim.fingerprint, claim.request, outcomeOf(claim.state),
            claim.state == ClaimState::Running, claim.owner.instance, claim.owner.incarnation, claim.sequence, claim.expiresAt - now });
    }
    return entries;
}

void ClaimTable::adopt(const std::vector<ClaimEntry>& entries, Instant now)
{
    for (const auto& entry : entries) {
        ProcessIncarnation owner { entry.outcomeKeeper, entry.keeperIncarnation };
        auto expiresAt = now + entry.remaining;
        insert({ entry.account, entry.key }, { entry.fingerprint, entry.request, owner, entry.sequence, stateOf(entry), expiresAt, expiresAt });
    }
}

bool isSameClaim(const Claim& claim, const ProcessIncarnation& requester, const ClaimRequest& request)
{
    return claim.owner == requester && claim.sequence == request.sequence && claim.request == request.request;
}

}
