#pragma once

#include <LibDecision/Configuration/BootClock.h>
#include <LibModel/Identifiers.h>

#include <cstdint>

namespace Decision {

// Decides whether reads of the store prove anything. A store that came back from a copy may lack the newest tables until
// the operators write them again. So after a rise of its era, reads prove nothing until the bound has passed since this
// process first saw the new era, or a version above all that were known before is read.
//
// A process that has just started has seen no era before, and can't tell a restored store from any other. It relies on
// the first era that it sees once the bound has passed too, or once another process that relies on that era vouches for it.
class EraTrust {
public:
    explicit EraTrust(Duration bound)
        : m_bound(bound)
    {
    }

    // Notes the era of an answer; 0 means that the store doesn't tell eras.
    void note(BootInstant now, uint64_t era, Revision newestKnown);
    // Another process relies on this era.
    void vouch(uint64_t era);
    bool isReadTrusted(BootInstant now, Revision version) const;
    // Returns the era that this process may vouch for; 0 if there is none.
    uint64_t reliableEra(BootInstant now) const { return m_isFirst || isOld(now) ? m_era : 0; }

private:
    bool isOld(BootInstant now) const { return now - m_seenAt >= m_bound; }

    Duration m_bound;
    uint64_t m_era { 0 };
    BootInstant m_seenAt;
    // The newest version that was known when the era was first seen.
    Revision m_knownBefore;
    // True if this process has seen no other era.
    bool m_isFirst { true };
    bool m_isVouchedFor { false };
};

}
