#include <LibDecision/Registry/BackendRegistry.h>

#include <algorithm>
#include <tuple>

namespace Decision {

namespace {

    constexpr Duration tombstoneLifetime = 1h;
    constexpr size_t maximumTombstones = 4096;

    // The backend server's own incarnation fences its sidecars. One that leaves never serves again, although a later
    // sidecar process may hear an announcement from before. If two sidecars announce the same incarnation, the one
    // that started later wins; the remaining fields only make the order total.
    auto orderingKeyOf(const BackendRecord& record)
    {
        return std::tie(record.incarnation, record.isLeaving, record.sidecarIncarnation, record.sidecar, record.version, record.phase, record.service,
            record.profile, record.slots, record.weight);
    }

    const BackendId& idOf(const BackendRecord* record) { return record->id; }

    ProfileName profileWithMostVotes(const std::map<ProfileName, size_t>& votes)
    {
        auto winner = std::ranges::max_element(votes, {}, &std::pair<const ProfileName, size_t>::second);
        return winner == votes.end() ? ProfileName {} : winner->first;
    }

}

bool BackendRegistry::apply(Turn& turn, const BackendRecord& record)
{
    forgetOldTombstones(turn.now());
    auto known = m_records.find(record.id);
    if (known != m_records.end() && orderingKeyOf(known->second) >= orderingKeyOf(record))
        return false;

    if (known != m_records.end())
        removeFromService(known->second);
    auto& stored = m_records.insert_or_assign(record.id, record).first->second;
    addToService(stored);
    if (record.phase == BackendPhase::Gone)
        m_tombstones.push_back({ record.id, record.incarnation, turn.now() });
    turn.spread(record, record.phase == BackendPhase::Draining ? Urgency::Immediate : Urgency::Piggyback);
    return true;
}

std::vector<BackendRecord> BackendRegistry::forgetSidecar(const InstanceId& sidecar, Incarnation incarnation)
{
    std::vector<BackendRecord> forgotten;
    std::erase_if(m_records, [&](const auto& entry) {
        const auto& record = entry.second;
        if (record.sidecar != sidecar || record.sidecarIncarnation > incarnation)
            return false;
        removeFromService(record);
        forgotten.push_back(record);
        return true;
    });
    return forgotten;
}

const BackendRecord* BackendRegistry::find(const BackendId& id) const
{
    auto record = m_records.find(id);
    return record == m_records.end() ? nullptr : &record->second;
}

const std::vector<const BackendRecord*>& BackendRegistry::backendsOf(const ServiceName& name) const
{
    static const std::vector<const BackendRecord*> none;
    auto service = m_services.find(name);
    return service == m_services.end() ? none : service->second.backends;
}

uint64_t BackendRegistry::generationOf(const ServiceName& name) const
{
    auto service = m_services.find(name);
    return service == m_services.end() ? 0 : service->second.generation;
}

ProfileName BackendRegistry::profileOf(const ServiceName& name) const
{
    auto service = m_services.find(name);
    return service == m_services.end() ? ProfileName {} : service->second.profile;
}

std::vector<ServiceName> BackendRegistry::services() const
{
    std::vector<ServiceName> names;
    for (const auto& [name, service] : m_services) {
        if (!service.backends.empty())
            names.push_back(name);
    }
    std::ranges::sort(names);
    return names;
}

void BackendRegistry::addToService(const BackendRecord& record)
{
    if (record.phase == BackendPhase::Gone)
        return;
    auto& service = m_services[record.service];
    service.backends.insert(std::ranges::lower_bound(service.backends, record.id, {}, idOf), &record);
    ++service.profileVotes[record.profile];
    service.profile = profileWithMostVotes(service.profileVotes);
    ++service.generation;
}

void BackendRegistry::removeFromService(const BackendRecord& record)
{
    if (record.phase == BackendPhase::Gone)
        return;
    auto& service = m_services[record.service];
    service.backends.erase(std::ranges::lower_bound(service.backends, record.id, {}, idOf));
    auto votes = service.profileVotes.find(record.profile);
    if (--votes->second == 0)
        service.profileVotes.erase(votes);
    service.profile = profileWithMostVotes(service.profileVotes);
    ++service.generation;
}

void BackendRegistry::forgetOldTombstones(Instant now)
{
    while (!m_tombstones.empty() && now - m_tombstones.front().goneAt >= tombstoneLifetime)
        forgetOldestTombstone();
    while (m_tombstones.size() > maximumTombstones)
        forgetOldestTombstone();
}

void BackendRegistry::forgetOldestTombstone()
{
    auto tombstone = std::move(m_tombstones.front());
    m_tombstones.pop_front();
    auto record = m_records.find(tombstone.id);
    if (record == m_records.end() || record->second.phase != BackendPhase::Gone || record->second.incarnation != tombstone.incarnation)
        return;
    m_records.erase(record);
}

}
