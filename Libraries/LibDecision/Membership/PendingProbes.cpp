#include <LibDecision/Membership/PendingProbes.h>

namespace Decision {

namespace {

    constexpr Duration directTimeout = std::chrono::milliseconds(400);
    constexpr Duration probeTimeout = std::chrono::milliseconds(1000);
    constexpr Duration relayTimeout = std::chrono::milliseconds(600);
    constexpr size_t maximumRelays = 256;

}

uint64_t PendingProbes::begin(Instant now, const InstanceId& target, uint32_t timeoutMultiplier)
{
    auto sequence = ++m_lastSequence;
    m_probes.emplace(sequence, Probe { target, now + probeTimeout * timeoutMultiplier, now });
    m_byTarget[target] = sequence;
    m_timers.set(sequence, now + directTimeout * timeoutMultiplier);
    return sequence;
}

std::optional<uint64_t> PendingProbes::beginRelay(Instant now, const InstanceId& target, ProbeRelay relay)
{
    if (m_relays >= maximumRelays)
        return std::nullopt;
    ++m_relays;
    auto sequence = ++m_lastSequence;
    m_probes.emplace(sequence, Probe { .target = target, .end = now + relayTimeout, .sentAt = now, .relay = std::move(relay) });
    m_timers.set(sequence, now + relayTimeout);
    return sequence;
}

std::optional<AnsweredProbe> PendingProbes::takeAnswer(Instant now, uint64_t sequence, const InstanceId& from)
{
    auto probe = m_probes.find(sequence);
    if (probe == m_probes.end() || probe->second.target != from)
        return std::nullopt;
    AnsweredProbe answered { probe->second.target, now - probe->second.sentAt, std::move(probe->second.relay) };
    probe->second.relay = answered.relay;
    erase(sequence);
    return answered;
}

void PendingProbes::noteIndirectAnswer(uint64_t sequence, const InstanceId& target)
{
    auto probe = m_probes.find(sequence);
    if (probe != m_probes.end() && probe->second.target == target)
        probe->second.answeredIndirectly = true;
}

void PendingProbes::expireDirectPing(Instant now, const InstanceId& target)
{
    auto sequence = m_byTarget.find(target);
    if (sequence == m_byTarget.end() || m_probes.at(sequence->second).sentIndirectPings)
        return;
    m_timers.set(sequence->second, now);
}

void PendingProbes::abandonAll()
{
    m_probes.clear();
    m_byTarget.clear();
    m_timers = {};
    m_relays = 0;
}

std::vector<DueProbe> PendingProbes::takeDue(Instant now)
{
    std::vector<DueProbe> due;
    for (auto sequence : m_timers.takeDue(now)) {
        if (auto probe = advance(sequence))
            due.push_back(std::move(*probe));
    }
    return due;
}

std::optional<DueProbe> PendingProbes::advance(uint64_t sequence)
{
    auto& probe = m_probes.at(sequence);
    if (!probe.relay && !probe.sentIndirectPings) {
        probe.sentIndirectPings = true;
        m_timers.set(sequence, probe.end);
        return DueProbe { ProbeStep::SendIndirectPings, sequence, probe.target };
    }
    auto isRelay = probe.relay.has_value();
    DueProbe due { probe.answeredIndirectly ? ProbeStep::AnsweredIndirectly : ProbeStep::Unanswered, sequence, probe.target };
    erase(sequence);
    if (isRelay)
        return std::nullopt;
    return due;
}

void PendingProbes::erase(uint64_t sequence)
{
    auto probe = m_probes.find(sequence);
    if (probe->second.relay) {
        --m_relays;
    } else {
        m_byTarget.erase(probe->second.target);
    }
    m_timers.cancel(sequence);
    m_probes.erase(probe);
}

}
