#include <LibDecision/Admission/RunLedger.h>

#include <algorithm>

namespace Decision {

const RunEntry* RunLedger::find(const RunKey& key) const
{
    auto entry = m_entries.find(key);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

bool RunLedger::mayHaveForgotten(const RunKey& key) const
{
    auto expired = m_latestExpired.find({ key.ingress, key.ingressIncarnation });
    return expired != m_latestExpired.end() && key.attempt <= expired->second;
}

void RunLedger::begin(const RunKey& key, SidecarCallId call)
{
    m_entries[key] = RunEntry { call };
    m_pending[call] = key;
}

void RunLedger::end(SidecarCallId call, RunState state, Reason reason, Instant now)
{
    auto key = m_pending.extract(call);
    if (key.empty())
        return;
    auto& entry = m_entries.at(key.mapped());
    entry.state = state;
    entry.reason = reason;
    m_ended.push_back({ key.mapped(), now });
}

std::optional<Instant> RunLedger::nextTimer() const
{
    return m_ended.empty() ? std::nullopt : std::optional(m_ended.front().at + retention);
}

std::vector<SidecarCallId> RunLedger::removeExpired(Instant now)
{
    std::vector<SidecarCallId> answered;
    while (!m_ended.empty() && m_ended.front().at + retention <= now) {
        const auto& key = m_ended.front().key;
        auto& latest = m_latestExpired[{ key.ingress, key.ingressIncarnation }];
        latest = std::max(latest, key.attempt);
        auto entry = m_entries.extract(key);
        if (entry.mapped().state == RunState::Answered)
            answered.push_back(entry.mapped().call);
        m_ended.pop_front();
    }
    return answered;
}

}
