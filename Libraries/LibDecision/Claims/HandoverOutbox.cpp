#include <LibDecision/Claims/HandoverOutbox.h>

#include <algorithm>

namespace Decision {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration retransmissionInterval = 500ms;
    constexpr uint32_t maximumSends = 6;

}

void HandoverOutbox::add(Instant now, const PartitionId& id, const InstanceId& successor, ClaimEpoch epoch, const std::vector<ClaimEntry>& entries)
{
    auto [outgoing, isNew] = m_handovers.try_emplace(id, Outgoing { successor, epoch, splitHandover(id, epoch, entries) });
    if (isNew)
        m_timers.set(id, now);
}

void HandoverOutbox::confirm(const PartitionId& id, ClaimEpoch epoch)
{
    auto outgoing = m_handovers.find(id);
    if (outgoing == m_handovers.end() || epoch <= outgoing->second.epoch)
        return;
    m_handovers.erase(outgoing);
    m_timers.cancel(id);
}

std::vector<OutgoingHandoverPart> HandoverOutbox::takeDue(Instant now)
{
    std::vector<OutgoingHandoverPart> due;
    for (const auto& id : m_timers.takeDue(now)) {
        auto& outgoing = m_handovers.at(id);
        if (++outgoing.sends > maximumSends) {
            m_handovers.erase(id);
            continue;
        }
        std::ranges::transform(outgoing.parts, std::back_inserter(due), [&](const auto& part) { return OutgoingHandoverPart { outgoing.to, part }; });
        m_timers.set(id, now + retransmissionInterval);
    }
    return due;
}

void HandoverOutbox::clear()
{
    for (const auto& [id, outgoing] : m_handovers)
        m_timers.cancel(id);
    m_handovers.clear();
}

}
