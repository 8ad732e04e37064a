#include <LibDecision/Configuration/EraTrust.h>

namespace Decision {

bool EraTrust::note(BootInstant now, uint64_t era)
{
    if (era <= m_era)
        return false;
    m_isFirst = m_era == 0;
    m_era = era;
    m_seenAt = now;
    m_firstVersion.reset();
    m_isVouchedFor = false;
    return true;
}

void EraTrust::noteRead(BootInstant sentAt, Revision version)
{
    // A read that was sent earlier may have been answered before the store came back.
    if (!m_firstVersion && sentAt >= m_seenAt)
        m_firstVersion = version;
}

void EraTrust::vouch(uint64_t era)
{
    if (m_isFirst && era != 0 && era == m_era)
        m_isVouchedFor = true;
}

bool EraTrust::isReadTrusted(BootInstant sentAt, Revision version) const
{
    if (m_era == 0 || m_isVouchedFor || isOld(sentAt))
        return true;
    return sentAt >= m_seenAt && m_firstVersion && version > *m_firstVersion;
}

}
