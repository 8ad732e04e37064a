#pragma once

#include <LibDecision/Configuration/BootClock.h>
#include <LibModel/Identifiers.h>

#include <cstdint>
#include <optional>

namespace Decision {

// Decides whether reads of the store prove anything. A store that came back from a copy may lack the newest tables until
// the operators write them again. So after a rise of its era, reads prove nothing until the bound has passed since this
// process first saw the new era, or the version rises from one read of that era to another. A version above all that this
// process knew before shows nothing: it may have been confirmed before the copy was made.
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
    // Returns true if it is a new one.
    bool note(BootInstant now, uint64_t era);
    // Another process relies on this era.
    void vouch(uint64_t era);
    // Notes the version that a read brought.
    void noteRead(BootInstant sentAt, Revision version);
    bool isReadTrusted(BootInstant sentAt, Revision version) const;
    // Returns the era that this process may vouch for; 0 if there is none.
    uint64_t reliableEra(BootInstant now) const { return m_isFirst || isOld(now) ? m_era : 0; }

private:
    bool isOld(BootInstant instant) const { return instant - m_seenAt >= m_bound; }

    Duration m_bound;
    uint64_t m_era { 0 };
    BootInstant m_seenAt;
    // The version that the first read of the era brought.
    std::optional<Revision> m_firstVersion;
    // True if this process has seen no other era.
    bool m_isFirst { true };
    bool m_isVouchedFor { false };
};

}
