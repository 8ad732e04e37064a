#include <LibDecision/Claims/HandoverInbox.h>

#include <algorithm>

namespace Decision {

namespace {

    using namespace std::chrono_literals;

    // A handover that nobody takes is dropped this long after its latest part.
    constexpr Duration unusedHandoverLifetime = 1min;
    // Largest encoded size of a part in a control message, in bytes.
    constexpr size_t maximumPartBytes = 48 * 1024;
    // Bytes that the numbers, member names and punctuation of an entry take in a control message.
    constexpr size_t entryOverheadBytes = 320;

    size_t encodedSize(const ClaimEntry& entry)
    {
        // Escaping may double the length of a text.
        auto textBytes = entry.account.value().size() + entry.key.value().size() + entry.request.value().size() + entry.outcomeKeeper.value().size();
        return entryOverheadBytes + 2 * textBytes;
    }

}

void HandoverInbox::add(const ProcessIncarnation& from, const ClaimHandover& handover, Instant now)
{
    auto& incoming = m_handovers[{ handover.service, handover.partition }];
    if (handover.epoch < incoming.epoch)
        return;
    if (incoming.epoch < handover.epoch || incoming.from != from)
        incoming = { from, handover.epoch, {}, std::nullopt, now };

    incoming.lastReceivedAt = now;
    incoming.parts.try_emplace(handover.part, Part { handover.entries, now });
    if (handover.isLastPart)
        incoming.partCount = handover.part + 1;
}

bool HandoverInbox::isComplete(const PartitionId& id, const PartitionRecord& record) const
{
    auto incoming = m_handovers.find(id);
    if (incoming == m_handovers.end())
        return false;
    const auto& handover = incoming->second;
    return handover.from == ProcessIncarnation { record.holder, record.holderIncarnation } && handover.epoch == record.epoch
        && handover.partCount && handover.parts.size() == *handover.partCount;
}

std::vector<ClaimEntry> HandoverInbox::take(const PartitionId& id, Instant now)
{
    auto incoming = m_handovers.find(id);
    if (incoming == m_handovers.end())
        return {};

    std::vector<ClaimEntry> entries;
    for (auto& [number, part] : incoming->second.parts) {
        for (auto& entry : part.entries) {
            entry.remaining -= std::min(entry.remaining, now - part.receivedAt);
            entries.push_back(std::move(entry));
        }
    }
    m_handovers.erase(incoming);
    return entries;
}

void HandoverInbox::removeExpired(Instant now)
{
    std::erase_if(m_handovers, [&](const auto& handover) { return handover.second.lastReceivedAt + unusedHandoverLifetime <= now; });
}

std::vector<ClaimHandover> splitHandover(const PartitionId& id, ClaimEpoch epoch, const std::vector<ClaimEntry>& entries)
{
    std::vector<ClaimHandover> parts { { id.service, id.partition, epoch, 0, false, {} } };
    size_t bytes = 0;
    for (const auto& entry : entries) {
        auto entryBytes = encodedSize(entry);
        if (bytes + entryBytes > maximumPartBytes && bytes > 0) {
            parts.push_back({ id.service, id.partition, epoch, static_cast<uint32_t>(parts.size()), false, {} });
            bytes = 0;
        }
        bytes += entryBytes;
        parts.back().entries.push_back(entry);
    }
    parts.back().isLastPart = true;
    return parts;
}

}
