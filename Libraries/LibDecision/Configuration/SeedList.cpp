#include <LibDecision/Configuration/SeedList.h>

#include <LibDecision/Configuration/ZoneMembers.h>
#include <LibDecision/Rendezvous.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>
#include <utility>

namespace Decision {

namespace {

    constexpr std::string_view seedKeyPrefix = "seeds/";
    constexpr Duration firstBackoff = std::chrono::seconds(1);
    constexpr Duration maximumBackoff = std::chrono::seconds(30);
    constexpr Duration replyTimeout = std::chrono::seconds(10);
    // How often the owner of an entry checks that the entry still contains its endpoint.
    constexpr Duration ownerInterval = std::chrono::minutes(5);
    // How often the other processes check whether they own an entry now. This costs no call.
    constexpr Duration ownershipCheckInterval = std::chrono::minutes(1);
    // Delay after the process joined. It lets the process's view of its zone become stable
    // before it checks the entries that it owns.
    constexpr Duration stabilizationDelay = std::chrono::seconds(20);

    // Delays of the checks after the store came back, each after the one before. A process that read the list just
    // before a check may write its own entry just after it.
    constexpr std::array<Duration, 4> repairDelays { 100ms, 1s, 3s, 6s };

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
    if (!m_nextTimer || turn.now() < *m_nextTimer)
        return;
    // A process that has joined needs no seeds any more, and reads the list only to keep its own entries in it.
    if (m_pendingRead || m_repairChecks || isAlone() || (m_hasJoined && ownsAnyEntry()))
        read(turn);
    else
        m_nextTimer = turn.now() + delayAfterJoin(turn);
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
    if (m_repairChecks && !isAlone())
        repairEntries(turn, reply.values);
    if (m_repairChecks && ++*m_repairChecks == repairDelays.size())
        m_repairChecks.reset();
    m_nextTimer = turn.now() + (m_repairChecks ? jittered(repairDelays[*m_repairChecks], turn.random()) : delayAfterRead(turn));
    return true;
}

void SeedList::noteReply(Turn& turn, const PlatformReply& reply)
{
    bool isRestored = m_era != 0 && reply.era > m_era;
    if (isRestored)
        turn.recordDecision({ .kind = DecisionKind::StoreRestored, .step = "check-seeds", .peer = "platform", .evidence = "era " + std::to_string(reply.era) + " after " + std::to_string(m_era) + ": what was written since its copy is gone" });
    m_era = std::max(m_era, reply.era);
    if (reply.status == PlatformStatus::NoAnswer) {
        m_wasSilent = true;
        return;
    }
    bool isBack = std::exchange(m_wasSilent, false);
    if (!isRestored && (!isBack || m_repairChecks))
        return;
    m_repairChecks = 0;
    if (!m_pendingRead)
        m_nextTimer = turn.now() + jittered(repairDelays.front(), turn.random());
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
    bool isFirstRead = std::exchange(m_hasRead, true) == false;
    for (size_t entry = 0; entry < entriesPerZone; ++entry) {
        // A process that knows no other can't tell who owns an entry. It writes one, so that others can find it, but
        // first tries to join by those that are there.
        bool isOwnEntry = isAlone() ? entry == std::hash<InstanceId> {}(m_self) % entriesPerZone && !(isFirstRead && !values.empty()) : isOwner(entry, candidates);
        if (!isOwnEntry)
            continue;
        writeEntry(turn, values, entry, m_endpoint);
    }
}

void SeedList::writeEntry(Turn& turn, const std::vector<KeyValue>& values, size_t entry, const std::string& endpoint)
{
    auto key = entryKey(entry);
    auto current = std::ranges::find(values, key, &KeyValue::key);
    if (current != values.end() && current->value == endpoint)
        return;
    auto version = current == values.end() ? PlatformVersion {} : current->version;
    m_pendingWrites.insert(turn.callPlatform(CompareAndSwap { key, endpoint, version }));
}

void SeedList::repairEntries(Turn& turn, const std::vector<KeyValue>& values)
{
    auto candidates = liveMembersOfZone(m_membership, m_zone);
    for (size_t entry = 0; entry < entriesPerZone; ++entry) {
        auto owner = rendezvousChoice(entryKey(entry), candidates, 1);
        const auto* member = owner.empty() || owner.front() == m_self ? nullptr : m_membership.find(owner.front());
        auto current = std::ranges::find(values, entryKey(entry), &KeyValue::key);
        bool isUsable = current != values.end() && isLive(current->value);
        if (member && !isUsable)
            writeEntry(turn, values, entry, member->control.toString());
    }
}

bool SeedList::isLive(const std::string& endpoint) const
{
    return std::ranges::any_of(m_membership.liveMembers(), [&](const InstanceId& instance) {
        const auto* member = m_membership.find(instance);
        return member && member->control.toString() == endpoint;
    });
}

Duration SeedList::delayAfterRead(Turn& turn)
{
    return isAlone() ? m_backoff.next(turn.random()) : delayAfterJoin(turn);
}

Duration SeedList::delayAfterJoin(Turn& turn)
{
    m_backoff.reset();
    if (!std::exchange(m_hasJoined, true))
        return jittered(stabilizationDelay, turn.random());
    return jittered(ownsAnyEntry() ? ownerInterval : ownershipCheckInterval, turn.random());
}

bool SeedList::isAlone() const { return m_membership.liveMembers().size() < 2; }

bool SeedList::ownsAnyEntry() const
{
    auto candidates = liveMembersOfZone(m_membership, m_zone);
    for (size_t entry = 0; entry < entriesPerZone; ++entry) {
        if (isOwner(entry, candidates))
            return true;
    }
    return false;
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
