#include <LibDecision/Configuration/RevisionProofs.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Decision {

void RevisionProofs::add(RevisionProof proof)
{
    auto isImplied = std::ranges::any_of(m_proofs, [&](const RevisionProof& known) { return known.at >= proof.at && known.version <= proof.version; });
    if (isImplied)
        return;
    std::erase_if(m_proofs, [&](const RevisionProof& known) { return known.at <= proof.at && known.version >= proof.version; });
    m_proofs.insert(std::ranges::upper_bound(m_proofs, proof.at, {}, &RevisionProof::at), std::move(proof));
    if (m_proofs.size() > maximumProofs)
        m_proofs.erase(m_proofs.begin());
}

const RevisionProof* RevisionProofs::latestFor(Revision table) const
{
    auto firstAbove = std::ranges::upper_bound(m_proofs, table, {}, &RevisionProof::version);
    return firstAbove == m_proofs.begin() ? nullptr : &*std::prev(firstAbove);
}

}
