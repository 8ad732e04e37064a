#include <LibDecision/Membership/MemberTable.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    constexpr Duration minimumSuspicionTimeout = std::chrono::seconds(3);
    constexpr Duration suspicionTimeoutPerFleetDoubling = std::chrono::seconds(1);
    constexpr Duration deadRetention = std::chrono::hours(1);

    MemberEvent eventOf(MemberState received)
    {
        switch (received) {
        case MemberState::Alive:
            return MemberEvent::Rejoined;
        case MemberState::Suspect:
            return MemberEvent::SuspectHeard;
        case MemberState::Leaving:
            return MemberEvent::LeaveHeard;
        case MemberState::Dead:
            return MemberEvent::DeathHeard;
        }
        return MemberEvent::DeathHeard;
    }

    bool isLive(MemberState state)
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }

}

MemberTable::MemberTable(const MemberRecord& self)
    : m_self(self.instance)
    , m_selfZone(self.zone)
    , m_chart(loadChart<MemberState, MemberEvent>(ChartFile::Member))
{
    m_members.emplace(m_self, Member { self });
    index(self);
}

MemberChange MemberTable::merge(Instant now, const MemberRecord& received)
{
    auto item = m_members.find(received.instance);
    if (item == m_members.end()) {
        // The death of a member that is unknown, or was removed after its retention, changes nothing.
        if (received.state == MemberState::Dead)
            return {};
        m_members.emplace(received.instance, Member { received });
        index(received);
        setTimers(now, received);
        return { true, std::nullopt };
    }

    auto& member = item->second;
    if (!supersedes(received, member.record))
        return {};
    auto before = member.record.state;
    removeFromIndexes(member.record);
    member.record = received;
    index(received);
    setTimers(now, received);
    return { true, before };
}

bool MemberTable::supersedes(const MemberRecord& received, const MemberRecord& known) const
{
    if (received.incarnation != known.incarnation)
        return received.incarnation > known.incarnation;
    // Only a record with a higher incarnation makes a member alive again.
    return received.state != MemberState::Alive && m_chart.accepts(known.state, eventOf(received.state));
}

std::optional<MemberRecord> MemberTable::recordAfter(const InstanceId& instance, MemberEvent event) const
{
    const auto* member = find(instance);
    if (!member || !m_chart.accepts(member->record.state, event))
        return std::nullopt;
    auto record = member->record;
    record.state = m_chart.next(record.state, event);
    return record;
}

void MemberTable::recordContact(Instant now, const InstanceId& instance)
{
    auto item = m_members.find(instance);
    if (item != m_members.end())
        item->second.lastContactAt = now;
}

const Member* MemberTable::find(const InstanceId& instance) const
{
    auto item = m_members.find(instance);
    return item == m_members.end() ? nullptr : &item->second;
}

const Member* MemberTable::findByControl(const Endpoint& control) const
{
    auto item = m_byControl.find(control);
    return item == m_byControl.end() ? nullptr : find(item->second);
}

std::vector<const MemberRecord*> MemberTable::all() const
{
    std::vector<const MemberRecord*> records;
    records.reserve(m_members.size());
    std::ranges::transform(m_members, std::back_inserter(records), [](const auto& item) { return &item.second.record; });
    return records;
}

void MemberTable::index(const MemberRecord& record)
{
    m_byControl[record.control] = record.instance;
    if (isLive(record.state))
        m_live.insert(std::ranges::lower_bound(m_live, record.instance), record.instance);
    if (record.instance == m_self)
        return;
    if (record.state == MemberState::Dead) {
        m_dead.insert(record.instance);
        return;
    }
    m_peers.insert(record.instance);
    if (record.zone == m_selfZone)
        m_zonePeers.insert(record.instance);
}

void MemberTable::removeFromIndexes(const MemberRecord& record)
{
    auto control = m_byControl.find(record.control);
    if (control != m_byControl.end() && control->second == record.instance)
        m_byControl.erase(control);
    auto live = std::ranges::lower_bound(m_live, record.instance);
    if (live != m_live.end() && *live == record.instance)
        m_live.erase(live);
    m_dead.erase(record.instance);
    m_peers.erase(record.instance);
    m_zonePeers.erase(record.instance);
}

void MemberTable::setTimers(Instant now, const MemberRecord& record)
{
    m_suspicions.cancel(record.instance);
    m_retentions.cancel(record.instance);
    if (record.instance == m_self)
        return;
    if (record.state == MemberState::Suspect)
        startSuspicion(now, record.instance);
    if (record.state == MemberState::Dead)
        m_retentions.set(record.instance, now + deadRetention);
}

void MemberTable::startSuspicion(Instant now, const InstanceId& instance)
{
    if (m_suspicions.contains(instance))
        return;
    m_suspicions.set(instance, now + suspicionTimeout());
    m_members.at(instance).suspicionBeganAt = now;
}

void MemberTable::extendSuspicions(Instant now)
{
    for (const auto& [instance, member] : m_members) {
        if (m_suspicions.contains(instance))
            m_suspicions.set(instance, now + suspicionTimeout());
    }
}

void MemberTable::removeExpiredDead(Instant now)
{
    for (const auto& instance : m_retentions.takeDue(now)) {
        auto item = m_members.find(instance);
        removeFromIndexes(item->second.record);
        m_members.erase(item);
    }
}

Duration MemberTable::suspicionTimeout() const
{
    auto doublings = std::log2(static_cast<double>(m_peers.size() + 1));
    return minimumSuspicionTimeout + std::chrono::duration_cast<Duration>(suspicionTimeoutPerFleetDoubling * doublings);
}

}
