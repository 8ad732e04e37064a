#include <LibDecision/Configuration/SeedList.h>

#include <LibDecision/Configuration/ZoneMembers.h>
#include <LibDecision/Rendezvous.h>

#include <algorithm>
#include <string_view>

namespace Decision {

namespace {

    constexpr std::string_view seedKeyPrefix = "seeds/";
    constexpr Duration firstBackoff = std::chrono::seconds(1);
    constexpr Duration maximumBackoff = std::chrono::seconds(30);
    constexpr Duration replyTimeout = std::chrono::seconds(10);
    // How often the owner of an entry checks that the entry still contains its endpoint.
    constexpr Duration ownerInterval = std::chrono::minutes(5);
    // How often the other processes read the list.
    constexpr Duration refreshInterval = std::chrono::hours(1);
    // Delay after the first read made with other members known. It lets the process's view of its zone become stable
    // before it checks the entries that it owns.
    constexpr Duration stabilizationDelay = std::chrono::seconds(20);

    Duration jittered(Duration duration, std::mt19937_64& random)
    {
        return duration + Duration(std::uniform_int_distribution<Duration::rep>(0, duration.count() / 2)(random));
    }

}

SeedList::SeedList(const MemberRecord& self, const Membership& membership)
    : m_self(self.instance)
    , m_zone(self.zone)
    , m_endpoint(self.control.toString())
    , m_membership(membership)
    , m_backoff(firstBackoff, maximumBackoff)
{
}

void SeedList::start(Turn& turn)
{
    read(turn);
}

void SeedList::read(Turn& turn)
{
    m_pendingRead = turn.callPlatform(ReadPrefix { std::string(seedKeyPrefix) });
    m_nextTimer = turn.now() + replyTimeout;
}

void SeedList::handleTimer(Turn& turn)
{
    if (m_nextTimer && turn.now() >= *m_nextTimer)
        read(turn);
}

bool SeedList::handleReply(Turn& turn, const PlatformReply& reply)
{
    if (m_pendingWrites.erase(reply.tag) > 0)
        return true;
    if (!m_pendingRead || reply.tag != *m_pendingRead)
        return false;
    m_pendingRead.reset();
    if (reply.status != PlatformStatus::Done) {
        m_nextTimer = turn.now() + m_backoff.next(turn.random());
        return true;
    }
    collectSeeds(reply.values);
    writeOwnEntries(turn, reply.values);
    m_nextTimer = turn.now() + delayAfterRead(turn);
    return true;
}

void SeedList::collectSeeds(const std::vector<KeyValue>& values)
{
    for (const auto& value : values) {
        auto endpoint = Endpoint::parse(value.value);
        if (endpoint && value.value != m_endpoint)
            m_seeds.push_back(*endpoint);
    }
}

void SeedList::writeOwnEntries(Turn& turn, const std::vector<KeyValue>& values)
{
    auto candidates = liveMembersOfZone(m_membership, m_zone);
    for (size_t entry = 0; entry < entriesPerZone; ++entry) {
        if (!isOwner(entry, candidates))
            continue;
        auto key = entryKey(entry);
        auto current = std::ranges::find(values, key, &KeyValue::key);
        if (current != values.end() && current->value == m_endpoint)
            continue;
        // The next read shows whether the write succeeded.
        auto version = current == values.end() ? PlatformVersion {} : current->version;
        m_pendingWrites.insert(turn.callPlatform(CompareAndSwap { key, m_endpoint, version }));
    }
}

Duration SeedList::delayAfterRead(Turn& turn)
{
    auto isAlone = m_membership.liveMembers().size() < 2;
    if (isAlone)
        return m_backoff.next(turn.random());
    auto isFirst = m_isFirstRead;
    m_isFirstRead = false;
    m_backoff.reset();
    if (isFirst)
        return jittered(stabilizationDelay, turn.random());
    auto candidates = liveMembersOfZone(m_membership, m_zone);
    for (size_t entry = 0; entry < entriesPerZone; ++entry) {
        if (isOwner(entry, candidates))
            return jittered(ownerInterval, turn.random());
    }
    return jittered(refreshInterval, turn.random());
}

std::string SeedList::entryKey(size_t entry) const
{
    return std::string(seedKeyPrefix) + m_zone.value() + "/" + std::to_string(entry);
}

bool SeedList::isOwner(size_t entry, const std::vector<InstanceId>& candidates) const
{
    auto owner = rendezvousChoice(entryKey(entry), candidates, 1);
    return !owner.empty() && owner.front() == m_self;
}

}
