#include <LibDecision/Configuration/EraTrust.h>

namespace Decision {

void EraTrust::note(BootInstant now, uint64_t era, Revision newestKnown)
{
    if (era <= m_era)
        return;
    m_isFirst = m_era == 0;
    m_era = era;
    m_seenAt = now;
    m_knownBefore = newestKnown;
    m_isVouchedFor = false;
}

void EraTrust::vouch(uint64_t era)
{
    if (m_isFirst && era != 0 && era == m_era)
        m_isVouchedFor = true;
}

bool EraTrust::isReadTrusted(BootInstant now, Revision version) const
{
    if (m_era == 0 || m_isVouchedFor || isOld(now))
        return true;
    return !m_isFirst && version > m_knownBefore;
}

}
