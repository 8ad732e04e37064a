#include <LibDecision/Routing/KnownConditions.h>

namespace Decision {

void KnownConditions::learn(const BackendId& backend, const BackendCondition& told, Instant now)
{
    auto entry = m_conditions.find(backend);
    if (entry == m_conditions.end()) {
        std::erase_if(m_conditions, [&](const auto& known) { return now - known.second.toldAt >= retention; });
        entry = m_conditions.emplace(backend, Condition { told.incarnation }).first;
    }
    auto& known = entry->second;
    if (known.incarnation > told.incarnation)
        return;
    if (known.incarnation < told.incarnation)
        known = { told.incarnation };
    known.toldAt = now;
    known.isLeaving = known.isLeaving || told.isLeaving;
    // A sidecar that no answer has told yet says nothing about the limit.
    if (told.requestLimit || told.isHeard)
        known.requestLimit = told.requestLimit;
    if (!known.requestLimit && !known.isLeaving)
        m_conditions.erase(entry);
}

const KnownConditions::Condition* KnownConditions::find(const BackendId& backend, Incarnation incarnation) const
{
    auto known = m_conditions.find(backend);
    return known != m_conditions.end() && known->second.incarnation == incarnation ? &known->second : nullptr;
}

std::optional<double> KnownConditions::limitOf(const BackendId& backend, Incarnation incarnation) const
{
    const auto* known = find(backend, incarnation);
    return known ? known->requestLimit : std::nullopt;
}

bool KnownConditions::isLeaving(const BackendId& backend, Incarnation incarnation) const
{
    const auto* known = find(backend, incarnation);
    return known && known->isLeaving;
}

}
