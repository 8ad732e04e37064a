#include <LibDecision/Admission/CrashGuard.h>

#include <algorithm>
#include <utility>

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

void CrashGuard::recordAnswer(Turn& turn, const Fingerprint& fingerprint)
{
    auto position = m_positions.find(fingerprint);
    if (position == m_positions.end())
        return;
    size_t clearedCount = 0;
    for (auto& victim : position->second->victims) {
        if (std::exchange(victim.isCleared, true) || !victim.isConfirmed)
            continue;
        ++clearedCount;
        turn.spread(reportOf(*position->second, victim, turn.now()), Urgency::Immediate);
    }
    if (clearedCount == 0)
        return;
    DecisionEvent event;
    event.kind = DecisionKind::CrashSuspicionCleared;
    event.step = "run";
    event.peer = position->second->victims.back().backend.value();
    event.evidence = "answered completely; " + std::to_string(clearedCount) + " victims no longer count";
    turn.recordDecision(std::move(event));
}

bool CrashGuard::apply(Turn& turn, const CrashReport& report)
{
    return add(turn.now(), report, true);
}

std::vector<CrashReport> CrashGuard::newestReports(Instant now, size_t maximum) const
{
    std::vector<CrashReport> reports;
    for (auto suspect = m_suspects.rbegin(); suspect != m_suspects.rend(); ++suspect) {
        for (const auto& victim : suspect->victims) {
            if (reports.size() == maximum)
                return reports;
            if (victim.isConfirmed)
                reports.push_back(reportOf(*suspect, victim, now));
        }
    }
    return reports;
}

CrashReport CrashGuard::reportOf(const Suspect& suspect, const Victim& victim, Instant now)
{
    return { suspect.fingerprint, victim.backend, victim.incarnation, victim.ranAlone, victim.isCleared, std::max(Duration::zero(), now - victim.at) };
}

size_t CrashGuard::countVictims(const Fingerprint& fingerprint, const CrashPolicy& policy, Instant now) const
{
    auto position = m_positions.find(fingerprint);
    if (position == m_positions.end())
        return 0;
    size_t alone = 0;
    bool hasOthers = false;
    for (const auto& victim : position->second->victims) {
        auto countsFor = victim.isConfirmed ? policy.forgetAfter : std::min<Duration>(confirmationTimeout, policy.forgetAfter);
        if (victim.isCleared || now >= victim.at + countsFor)
            continue;
        alone += victim.ranAlone ? 1 : 0;
        hasOthers |= !victim.ranAlone;
    }
    return alone + (hasOthers ? 1 : 0);
}

bool CrashGuard::add(Instant now, const CrashReport& report, bool isConfirmed)
{
    if (report.fingerprint == Fingerprint {})
        return false;
    auto& victims = touch(now, report.fingerprint).victims;
    auto known = std::ranges::find_if(victims, [&](const Victim& victim) {
        return victim.backend == report.victim && victim.incarnation == report.victimIncarnation;
    });
    if (known == victims.end()) {
        if (victims.size() == maximumVictimsKept)
            victims.erase(victims.begin());
        victims.push_back({ report.victim, report.victimIncarnation, now - report.age, isConfirmed, report.ranAlone, report.isCleared });
        return true;
    }
    bool confirms = isConfirmed && !known->isConfirmed;
    bool saysMore = confirms || (report.ranAlone && !known->ranAlone) || (report.isCleared && !known->isCleared);
    if (confirms)
        known->at = now - report.age;
    known->isConfirmed |= isConfirmed;
    known->ranAlone |= report.ranAlone;
    known->isCleared |= report.isCleared;
    return saysMore;
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
