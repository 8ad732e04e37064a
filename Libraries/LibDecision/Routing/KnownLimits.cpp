#include <LibDecision/Routing/KnownLimits.h>

namespace Decision {

void KnownLimits::learn(const BackendId& backend, const BackendCondition& condition, Instant now)
{
    auto known = m_limits.find(backend);
    bool isNew = known == m_limits.end();
    if (!isNew && known->second.incarnation > condition.incarnation)
        return;
    if (condition.requestLimit) {
        if (isNew)
            std::erase_if(m_limits, [&](const auto& entry) { return now - entry.second.toldAt >= retention; });
        m_limits.insert_or_assign(backend, Limit { condition.incarnation, *condition.requestLimit, now });
        return;
    }
    // A sidecar that no answer has told yet says nothing about the limit.
    if (!isNew && condition.isHeard)
        m_limits.erase(known);
}

std::optional<double> KnownLimits::find(const BackendId& backend, Incarnation incarnation) const
{
    auto known = m_limits.find(backend);
    bool isKnown = known != m_limits.end() && known->second.incarnation == incarnation;
    return isKnown ? std::optional(known->second.requestsPerSecond) : std::nullopt;
}

}
