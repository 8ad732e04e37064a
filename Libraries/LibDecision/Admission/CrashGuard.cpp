#include <LibDecision/Admission/CrashGuard.h>

#include <algorithm>

namespace Decision {

std::optional<Instant> CrashGuard::nextTimer() const
{
    if (m_suspects.empty())
        return std::nullopt;
    return m_suspects.front().lastVictimAt + retention;
}

void CrashGuard::handleTimer(Turn& turn)
{
    while (!m_suspects.empty() && m_suspects.front().lastVictimAt + retention <= turn.now()) {
        m_positions.erase(m_suspects.front().fingerprint);
        m_suspects.pop_front();
    }
}

bool CrashGuard::isRefused(const Fingerprint& fingerprint, const CrashPolicy& policy, Instant now) const
{
    return countVictims(fingerprint, policy, now) >= policy.maximumVictims;
}

bool CrashGuard::isSuspected(const Fingerprint& fingerprint, const CrashPolicy& policy, Instant now) const
{
    return countVictims(fingerprint, policy, now) > 0;
}

void CrashGuard::recordVictim(Turn& turn, const CrashReport& report, const CrashPolicy& policy)
{
    if (!add(turn.now(), report, true))
        return;
    turn.spread(report, Urgency::Immediate);

    DecisionEvent event;
    event.kind = DecisionKind::CrashSuspected;
    event.step = "run";
    event.peer = report.victim.value();
    event.backend = report.victim;
    event.evidence = "victim " + std::to_string(countVictims(report.fingerprint, policy, turn.now())) + " of at most " + std::to_string(policy.maximumVictims);
    turn.recordDecision(std::move(event));
}

void CrashGuard::recordCut(Turn& turn, const CrashReport& report)
{
    add(turn.now(), report, false);
}

void CrashGuard::recordAnswer(Turn&, const Fingerprint& fingerprint)
{
    auto position = m_positions.find(fingerprint);
    if (position == m_positions.end())
        return;
    for (auto& victim : position->second->victims)
        victim.isCleared = true;
}

bool CrashGuard::apply(Turn& turn, const CrashReport& report)
{
    return add(turn.now(), report, true);
}

size_t CrashGuard::countVictims(const Fingerprint& fingerprint, const CrashPolicy& policy, Instant now) const
{
    auto position = m_positions.find(fingerprint);
    if (position == m_positions.end())
        return 0;
    return std::ranges::count_if(position->second->victims, [&](const Victim& victim) {
        auto countsFor = victim.isConfirmed ? policy.forgetAfter : std::min<Duration>(confirmationTimeout, policy.forgetAfter);
        return !victim.isCleared && now < victim.at + countsFor;
    });
}

bool CrashGuard::add(Instant now, const CrashReport& report, bool isConfirmed)
{
    if (report.fingerprint == Fingerprint {})
        return false;
    auto& victims = touch(now, report.fingerprint).victims;
    auto known = std::ranges::find_if(victims, [&](const Victim& victim) {
        return victim.backend == report.victim && victim.incarnation == report.victimIncarnation;
    });
    if (known != victims.end()) {
        bool isNew = isConfirmed && !known->isConfirmed;
        if (isNew)
            *known = { report.victim, report.victimIncarnation, now, true, known->isCleared };
        return isNew;
    }
    if (victims.size() == maximumVictimsKept)
        victims.erase(victims.begin());
    victims.push_back({ report.victim, report.victimIncarnation, now, isConfirmed, false });
    return true;
}

CrashGuard::Suspect& CrashGuard::touch(Instant now, const Fingerprint& fingerprint)
{
    auto position = m_positions.find(fingerprint);
    if (position != m_positions.end()) {
        m_suspects.splice(m_suspects.end(), m_suspects, position->second);
        m_suspects.back().lastVictimAt = now;
        return m_suspects.back();
    }
    if (m_suspects.size() == maximumFingerprints) {
        m_positions.erase(m_suspects.front().fingerprint);
        m_suspects.pop_front();
    }
    m_suspects.push_back({ fingerprint, now, {} });
    m_positions.emplace(fingerprint, std::prev(m_suspects.end()));
    return m_suspects.back();
}

}
