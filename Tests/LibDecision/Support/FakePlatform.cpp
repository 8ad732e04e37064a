#include "FakePlatform.h"

#include <algorithm>
#include <vector>

namespace Testing {

namespace {

    PlatformReply replyOf(bool isDone)
    {
        PlatformReply reply;
        reply.status = isDone ? PlatformStatus::Done : PlatformStatus::Refused;
        return reply;
    }

}

PlatformReply FakePlatform::perform(Instant now, const PlatformOperation& operation)
{
    m_now = now;
    std::vector<PlatformLease> ended;
    for (const auto& [name, lease] : m_state.leases) {
        if (lease.endsAt <= now)
            ended.push_back(name);
    }
    for (const auto& name : ended)
        endLease(name);
    bool isRead = std::holds_alternative<ReadPrefix>(operation) || std::holds_alternative<WatchRoutes>(operation) || std::holds_alternative<WatchPrefix>(operation)
        || std::holds_alternative<ConfirmRoutes>(operation);
    ++(isRead ? m_reads : m_writes);
    auto reply = std::visit([this](const auto& typed) { return perform(typed); }, operation);
    reply.index = (m_era << eraShift) | m_state.lastVersion;
    reply.era = m_era;
    return reply;
}

bool FakePlatform::mustWait(const PlatformOperation& operation) const
{
    if (const auto* routes = std::get_if<WatchRoutes>(&operation))
        return versionAt(routes->index) != 0 && versionAt(routes->index) >= m_state.routesVersion;
    const auto* watch = std::get_if<WatchPrefix>(&operation);
    return watch && versionAt(watch->index) != 0 && versionAt(watch->index) >= lastChangeOf(watch->prefix);
}

uint64_t FakePlatform::versionAt(uint64_t index) const { return index >> eraShift == m_era ? index & ((uint64_t(1) << eraShift) - 1) : 0; }

uint64_t FakePlatform::lastChangeOf(const std::string& prefix) const
{
    uint64_t latest = 0;
    for (auto key = m_state.keys.lower_bound(prefix); key != m_state.keys.end() && key->first.starts_with(prefix); ++key)
        latest = std::max(latest, key->second.version.value());
    return latest;
}

void FakePlatform::restoreSnapshot(Instant now)
{
    m_state = m_snapshot;
    ++m_era;
    for (auto& [name, lease] : m_state.leases)
        lease.endsAt = now + lease.timeToLive;
}

PlatformReply FakePlatform::perform(const ReadPrefix& read)
{
    auto reply = replyOf(true);
    for (auto key = m_state.keys.lower_bound(read.prefix); key != m_state.keys.end() && key->first.starts_with(read.prefix); ++key)
        reply.values.push_back(key->second);
    return reply;
}

PlatformReply FakePlatform::perform(const WatchRoutes& watch)
{
    auto reply = replyOf(true);
    auto version = versionAt(watch.index);
    if (version == 0 || version < m_state.routesVersion)
        reply.routes = m_state.routes;
    return reply;
}

void FakePlatform::publishRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_state.routes = std::move(routes);
    m_state.routesVersion = ++m_state.lastVersion;
}

PlatformReply FakePlatform::perform(const CompareAndSwap& swap)
{
    auto key = m_state.keys.find(swap.key);
    auto version = key == m_state.keys.end() ? PlatformVersion() : key->second.version;
    if (version != swap.expected)
        return replyOf(false);
    write(swap.key, swap.value);
    return replyOf(true);
}

PlatformReply FakePlatform::perform(const GrantLease& grant)
{
    auto reply = replyOf(true);
    reply.lease = PlatformLease(grant.name + "#" + std::to_string(++m_lastLease));
    m_state.leases[reply.lease] = { grant.timeToLive, m_now + grant.timeToLive };
    return reply;
}

PlatformReply FakePlatform::perform(const RenewLease& renew)
{
    auto lease = m_state.leases.find(renew.lease);
    if (lease == m_state.leases.end())
        return replyOf(false);
    lease->second.endsAt = m_now + lease->second.timeToLive;
    return replyOf(true);
}

PlatformReply FakePlatform::perform(const RevokeLease& revoke)
{
    endLease(revoke.lease);
    return replyOf(true);
}

PlatformReply FakePlatform::perform(const AcquireKey& acquire)
{
    auto& held = m_state.keys[acquire.key];
    bool isFree = held.lease.isEmpty() || held.lease == acquire.lease;
    if (!isFree || !m_state.leases.contains(acquire.lease))
        return replyOf(false);
    write(acquire.key, acquire.value);
    held.lease = acquire.lease;
    return replyOf(true);
}

PlatformReply FakePlatform::perform(const ReleaseKey& release)
{
    auto key = m_state.keys.find(release.key);
    if (key == m_state.keys.end() || key->second.lease != release.lease)
        return replyOf(false);
    write(release.key, release.value);
    key->second.lease = {};
    return replyOf(true);
}

void FakePlatform::endLease(const PlatformLease& lease)
{
    m_state.leases.erase(lease);
    for (auto& [name, key] : m_state.keys) {
        if (key.lease == lease)
            key.lease = {};
    }
}

void FakePlatform::write(const std::string& key, const std::string& value)
{
    auto& written = m_state.keys[key];
    written.key = key;
    written.value = value;
    written.version = PlatformVersion(++m_state.lastVersion);
}

}
