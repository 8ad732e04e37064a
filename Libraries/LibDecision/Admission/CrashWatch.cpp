#include <LibDecision/Admission/CrashWatch.h>

#include <algorithm>
#include <utility>

namespace Decision {

void CrashWatch::addCutRun(const CrashSuspect& suspect, Instant sentAt, Instant now)
{
    std::erase_if(m_cuts, [&](const Cut& cut) { return now - cut.at > confirmationWindow; });
    bool isAfterAnotherCut = !m_cuts.empty() && m_cuts.front().at <= sentAt;
    if (suspect.fingerprint == Fingerprint {} || isAfterAnotherCut || m_cuts.size() == maximumSuspects)
        return;
    m_cuts.push_back({ suspect, now });
}

void CrashWatch::clearCutsUntil(Instant sentAt)
{
    std::erase_if(m_cuts, [&](const Cut& cut) { return cut.at <= sentAt; });
}

bool CrashWatch::hasSuspects(Instant now) const
{
    return std::ranges::any_of(m_cuts, [&](const Cut& cut) { return now - cut.at <= confirmationWindow; });
}

std::vector<CrashSuspect> CrashWatch::takeSuspects(Instant now)
{
    std::vector<CrashSuspect> suspects;
    for (const auto& cut : std::exchange(m_cuts, {})) {
        bool isRecent = now - cut.at <= confirmationWindow;
        bool isListed = std::ranges::find(suspects, cut.suspect.fingerprint, &CrashSuspect::fingerprint) != suspects.end();
        if (isRecent && !isListed)
            suspects.push_back(cut.suspect);
    }
    return suspects;
}

}
