#include <LibDecision/Admission/CrashWatch.h>

#include <algorithm>
#include <utility>

namespace Decision {

void CrashWatch::addCutRun(const Fingerprint& fingerprint, Instant sentAt, Instant now)
{
    std::erase_if(m_cuts, [&](const Cut& cut) { return now - cut.at > confirmationWindow; });
    bool isAfterAnotherCut = !m_cuts.empty() && m_cuts.front().at <= sentAt;
    if (fingerprint == Fingerprint {} || isAfterAnotherCut || m_cuts.size() == maximumSuspects)
        return;
    m_cuts.push_back({ fingerprint, now });
}

void CrashWatch::clearCutsUntil(Instant sentAt)
{
    std::erase_if(m_cuts, [&](const Cut& cut) { return cut.at <= sentAt; });
}

std::vector<Fingerprint> CrashWatch::takeSuspects(Instant now)
{
    std::vector<Fingerprint> suspects;
    for (const auto& cut : std::exchange(m_cuts, {})) {
        bool isRecent = now - cut.at <= confirmationWindow;
        bool isListed = std::ranges::find(suspects, cut.fingerprint) != suspects.end();
        if (isRecent && !isListed)
            suspects.push_back(cut.fingerprint);
    }
    return suspects;
}

}
