#pragma once

#include <LibDecision/Configuration/BootClock.h>
#include <LibModel/Identifiers.h>

#include <string>
#include <vector>

namespace Decision {

// Statement that no route table newer than the version had been confirmed by the store at the instant.
struct RevisionProof {
    BootInstant at;
    Revision version;
    // Who made the statement: the platform or an instance.
    std::string source;
};

// What is known of the newest confirmed route table. A proof for version V says of every table of version V or above
// that it was the newest confirmed one at the proof's instant or was confirmed after it. Of a table below V it says nothing.
class RevisionProofs {
public:
    void add(RevisionProof);
    void clear() { m_proofs.clear(); }

    // Returns the latest proof that covers a table of this version; null if there is none.
    const RevisionProof* latestFor(Revision table) const;
    // Returns the latest proof for whatever version; null if there is none.
    const RevisionProof* latest() const { return m_proofs.empty() ? nullptr : &m_proofs.back(); }

private:
    // Proofs for versions whose tables haven't arrived yet are kept beside the one for the table in force.
    static constexpr size_t maximumProofs = 8;

    // Later proofs are for higher versions; others of earlier instants say nothing more.
    std::vector<RevisionProof> m_proofs;
};

}
