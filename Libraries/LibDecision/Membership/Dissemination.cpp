#include <LibDecision/Membership/Dissemination.h>

#include <LibDecision/Membership/RecordSize.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

namespace Decision {

namespace {

    constexpr size_t maximumQueueBytes = 512 * 1024;
    // After its urgent transmissions, a rumor is piggybacked on this many probes, for members that were briefly
    // unreachable.
    constexpr uint32_t probeTransmissionsOfUrgent = 4;
    // A push epidemic in which each member sends m times misses a member with probability exp(-m). Since received
    // duplicates count as transmissions, only about half of these are actually sent.
    constexpr uint32_t extraTransmissions = 2;
    constexpr uint32_t minimumTransmissions = 12;
    constexpr uint32_t extraUrgentTransmissions = 4;

}

uint32_t Dissemination::transmissionLimit(size_t members, Urgency urgency)
{
    auto doublings = static_cast<uint32_t>(std::ceil(std::log2(static_cast<double>(members) + 1)));
    if (urgency != Urgency::Piggyback)
        return doublings + extraUrgentTransmissions;
    return std::max(doublings + extraTransmissions, minimumTransmissions);
}

bool Dissemination::Rank::operator<(const Rank& other) const
{
    return std::tie(transmissions, age, key) < std::tie(other.transmissions, other.age, other.key);
}

Dissemination::Rank Dissemination::rankOf(const Entries::value_type& item)
{
    return { item.second.transmissions, std::numeric_limits<uint64_t>::max() - item.second.sequence, &item.first };
}

Dissemination::Queue& Dissemination::queueOf(const Entry& entry)
{
    if (entry.urgency == Urgency::Piggyback)
        return m_ordinary;
    return std::holds_alternative<ProfileRevision>(entry.rumor) ? m_profiles : m_urgent;
}

void Dissemination::add(Rumor rumor, Urgency urgency)
{
    auto key = keyOf(rumor);
    remove(key);
    Entry entry { std::move(rumor) };
    entry.contentHash = contentHash(entry.rumor);
    entry.bytes = estimatedSize(entry.rumor);
    entry.urgency = urgency;
    entry.sequence = ++m_lastSequence;
    m_bytes += entry.bytes;
    auto [item, inserted] = m_entries.emplace(std::move(key), std::move(entry));
    queueOf(item->second).insert(rankOf(*item));
    evictToBound();
}

bool Dissemination::noteDuplicate(const RecordKey& key, uint64_t hash)
{
    auto item = m_entries.find(key);
    if (item == m_entries.end() || item->second.contentHash != hash)
        return false;
    if (item->second.urgency == Urgency::Piggyback)
        countTransmissions(key, 1);
    return true;
}

std::vector<Rumor> Dissemination::takeForProbe(size_t members, size_t maximumBytes)
{
    auto urgentLimit = transmissionLimit(members, Urgency::Immediate);
    std::vector<Rumor> message;
    take(m_profiles, urgentLimit, 1, maximumBytes, message);
    take(m_urgent, urgentLimit, 1, maximumBytes, message);
    take(m_ordinary, transmissionLimit(members, Urgency::Piggyback), 1, maximumBytes, message);
    expire(members);
    return message;
}

std::vector<Rumor> Dissemination::takeUrgent(size_t members, size_t copies, size_t maximumBytes)
{
    auto limit = transmissionLimit(members, Urgency::Immediate);
    std::vector<Rumor> message;
    take(m_profiles, limit, static_cast<uint32_t>(copies), maximumBytes, message);
    take(m_urgent, limit, static_cast<uint32_t>(copies), maximumBytes, message);
    expire(members);
    return message;
}

std::vector<Rumor> Dissemination::takeUrgentProfiles(size_t members, size_t copies, size_t maximumBytes)
{
    std::vector<Rumor> message;
    take(m_profiles, transmissionLimit(members, Urgency::Immediate), static_cast<uint32_t>(copies), maximumBytes, message);
    expire(members);
    return message;
}

bool Dissemination::hasUnsentUrgent() const
{
    auto isUnsent = [](const Queue& queue) { return !queue.empty() && queue.begin()->transmissions == 0; };
    return isUnsent(m_profiles) || isUnsent(m_urgent);
}

void Dissemination::take(Queue& queue, uint32_t limit, uint32_t copies, size_t& budget, std::vector<Rumor>& message)
{
    std::vector<const RecordKey*> taken;
    for (const auto& rank : queue) {
        const auto& entry = m_entries.find(*rank.key)->second;
        // A rumor that is larger than the whole budget is sent alone.
        if (rank.transmissions >= limit || (entry.bytes > budget && !message.empty()))
            break;
        budget -= std::min(budget, entry.bytes);
        message.push_back(entry.rumor);
        taken.push_back(rank.key);
    }
    for (const auto* key : taken)
        countTransmissions(*key, copies);
}

void Dissemination::countTransmissions(const RecordKey& key, uint32_t count)
{
    auto item = m_entries.find(key);
    auto& entry = item->second;
    queueOf(entry).erase(rankOf(*item));
    entry.transmissions += count;
    queueOf(entry).insert(rankOf(*item));
}

void Dissemination::expire(size_t members)
{
    auto limit = transmissionLimit(members, Urgency::Piggyback);
    while (!m_ordinary.empty() && m_ordinary.rbegin()->transmissions >= limit)
        remove(*m_ordinary.rbegin()->key);
    demoteUrgent(m_profiles, members);
    demoteUrgent(m_urgent, members);
}

void Dissemination::demoteUrgent(Queue& queue, size_t members)
{
    auto probeLimit = transmissionLimit(members, Urgency::Piggyback);
    auto limit = transmissionLimit(members, Urgency::Immediate);
    while (!queue.empty() && queue.rbegin()->transmissions >= limit) {
        auto item = m_entries.find(*queue.rbegin()->key);
        queue.erase(rankOf(*item));
        item->second.urgency = Urgency::Piggyback;
        item->second.transmissions = probeLimit - std::min(probeLimit, probeTransmissionsOfUrgent);
        m_ordinary.insert(rankOf(*item));
    }
}

void Dissemination::remove(const RecordKey& key)
{
    auto item = m_entries.find(key);
    if (item == m_entries.end())
        return;
    queueOf(item->second).erase(rankOf(*item));
    m_bytes -= item->second.bytes;
    m_entries.erase(item);
}

void Dissemination::evictToBound()
{
    while (m_bytes > maximumQueueBytes) {
        auto& queue = !m_ordinary.empty() ? m_ordinary : !m_urgent.empty() ? m_urgent
                                                                           : m_profiles;
        remove(*queue.rbegin()->key);
    }
}

}
