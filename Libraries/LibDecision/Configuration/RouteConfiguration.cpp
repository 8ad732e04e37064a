#include <LibDecision/Configuration/RouteConfiguration.h>

#include <LibDecision/Configuration/ZoneMembers.h>
#include <LibDecision/Membership/RecordSize.h>
#include <LibDecision/Rendezvous.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Decision {

namespace {

    constexpr Duration watchWait = std::chrono::seconds(29);
    // A watch times out when its reply is this late after the requested wait.
    constexpr Duration replyGrace = std::chrono::seconds(3);
    // Timeout of a read without an index. It is short because a process can't serve before its first read succeeds.
    constexpr Duration firstReplyTimeout = std::chrono::milliseconds(600);
    constexpr Duration firstBackoff = std::chrono::milliseconds(100);
    // Bounds the interval between attempts to reach the platform, because a change must be in force within 2 s after
    // the platform is reachable again.
    constexpr Duration maximumBackoff = std::chrono::milliseconds(800);
    constexpr Duration electionInterval = std::chrono::seconds(2);
    // Time after the first read until the watchers are elected. Before, a process that starts knows too few others.
    constexpr Duration settlingTime = std::chrono::milliseconds(1500);
    // Time that a process has to answer a request for its table before the platform is read instead.
    constexpr Duration requestTimeout = std::chrono::milliseconds(300);

    // Length of the tenants in one part when encoded. With its envelope, a message must stay below 256 KB.
    constexpr size_t maximumTenantBytes = 128 * 1024;
    constexpr size_t maximumEvidenceProblems = 5;

    // Returns the end of the tenants that fit into one part. At least one always does, since the number of keys is bounded.
    template <typename Iterator>
    Iterator endOfPart(Iterator begin, Iterator end)
    {
        size_t bytes = 0;
        return std::find_if(begin, end, [&](const Tenant& tenant) {
            bool isFirst = bytes == 0;
            bytes += estimatedSize(tenant);
            return !isFirst && bytes > maximumTenantBytes;
        });
    }

    std::vector<RouteTable> splitIntoParts(const RouteTable& table)
    {
        std::vector<RouteTable> parts;
        auto rest = table.routes.begin();
        do {
            auto count = std::min<ptrdiff_t>(RouteConfiguration::routesPerPart, table.routes.end() - rest);
            RouteTable part;
            part.version = table.version;
            part.routes.assign(rest, rest + count);
            rest += count;
            parts.push_back(std::move(part));
        } while (rest != table.routes.end());
        for (auto tenant = table.tenants.begin(); tenant != table.tenants.end();) {
            auto end = endOfPart(tenant, table.tenants.end());
            RouteTable part;
            part.version = table.version;
            part.tenants.assign(tenant, end);
            tenant = end;
            parts.push_back(std::move(part));
        }
        parts.front().services = table.services;
        parts.front().limits = table.limits;
        parts.front().omissions = table.omissions;
        return parts;
    }

    std::string summaryOf(const std::vector<std::string>& problems)
    {
        std::string text = std::to_string(problems.size()) + " entries can't be used";
        for (size_t number = 0; number < std::min(problems.size(), maximumEvidenceProblems); ++number)
            text += "; " + problems[number];
        return text;
    }

}

RouteConfiguration::RouteConfiguration(RoutingMode mode, const MemberRecord& self, const Membership& membership, ProfileRegistry& profiles)
    : m_mode(mode)
    , m_self(self.instance)
    , m_zone(self.zone)
    , m_membership(membership)
    , m_profiles(profiles)
    , m_backoff(firstBackoff, maximumBackoff)
{
}

void RouteConfiguration::start(Turn& turn)
{
    if (isUsed())
        startWatch(turn);
}

std::optional<Instant> RouteConfiguration::nextTimer() const { return earliest(m_nextTimer, m_requestOverdueAt); }

void RouteConfiguration::handleTimer(Turn& turn)
{
    if (m_requestOverdueAt && turn.now() >= *m_requestOverdueAt)
        handleOverdueTable(turn);
    if (!m_nextTimer || turn.now() < *m_nextTimer)
        return;
    m_nextTimer.reset();
    if (m_pendingWatch)
        return watchFailed(turn, "timed out");
    // A process without a table reads it even if it is not a watcher.
    if (!m_table || isWatcher())
        return startWatch(turn);
    m_nextTimer = turn.now() + electionInterval;
}

bool RouteConfiguration::isWatcher() const
{
    auto watchers = rendezvousChoice(routesKey, liveMembersOfZone(m_membership, m_zone), watchersPerZone);
    return watchers.empty() || std::ranges::find(watchers, m_self) != watchers.end();
}

void RouteConfiguration::startWatch(Turn& turn)
{
    m_pendingWatch = turn.callPlatform(WatchRoutes { m_storeIndex, watchWait });
    m_watchStartedAt = turn.now();
    m_nextTimer = turn.now() + (m_storeIndex == 0 ? firstReplyTimeout : watchWait + replyGrace);
}

bool RouteConfiguration::handleReply(Turn& turn, const PlatformReply& reply)
{
    if (!m_pendingWatch || reply.tag != *m_pendingWatch)
        return false;
    if (reply.status != PlatformStatus::Done) {
        watchFailed(turn, reply.problem);
        return true;
    }
    m_pendingWatch.reset();
    m_backoff.reset();
    bool hasChanged = reply.index != m_storeIndex;
    m_storeIndex = reply.index;
    if (!reply.problem.empty())
        explain(turn, DecisionKind::RoutesRejected, "platform", {}, reply.problem);
    if (reply.routes)
        apply(turn, reply.routes, "platform");
    if (!std::exchange(m_hasSettled, true)) {
        m_nextTimer = turn.now() + settlingTime;
        return true;
    }
    // Backs off in case the platform answers immediately without any change.
    m_nextTimer = hasChanged ? turn.now() : turn.now() + m_backoff.next(turn.random());
    return true;
}

void RouteConfiguration::watchFailed(Turn& turn, const std::string& reason)
{
    explain(turn, DecisionKind::RoutesWatchLost, "platform", version(), "after " + std::to_string(watchAge(turn.now()) / 1ms) + " ms: " + reason);
    m_pendingWatch.reset();
    // Makes the next watch return immediately, with any changes made in the meantime.
    m_storeIndex = 0;
    m_nextTimer = turn.now() + m_backoff.next(turn.random());
}

void RouteConfiguration::requestIfNewer(Turn& turn, const InstanceId& from, const Endpoint& control, Revision version)
{
    if (!isUsed() || version <= this->version() || from == m_self)
        return;
    if (version > m_newestHeard) {
        m_newestHeard = version;
        explain(turn, DecisionKind::RoutesBehind, from.value(), version, "version " + std::to_string(this->version().value()) + " is in force here");
    }
    if (m_requestOverdueAt)
        return;
    m_requestedVersion = version;
    m_requestOverdueAt = turn.now() + requestTimeout;
    turn.emit(SendMessage { control, from, RouteTableRequest { this->version() } });
}

void RouteConfiguration::handleOverdueTable(Turn& turn)
{
    m_requestOverdueAt.reset();
    bool isReading = m_pendingWatch && m_storeIndex == 0;
    if (version() >= m_requestedVersion || isReading)
        return;
    // If a watch is pending, its connection no longer brings anything: the platform had the version before any process.
    explain(turn, DecisionKind::RoutesBehind, "platform", m_requestedVersion, "the version was requested from another process and is overdue; reading the platform");
    m_storeIndex = 0;
    startWatch(turn);
}

void RouteConfiguration::receive(Turn& turn, const Message& message)
{
    requestIfNewer(turn, message.from, message.fromControl, message.routesVersion);
    if (std::holds_alternative<RouteTableRequest>(message.body))
        sendParts(turn, message);
    else if (const auto* part = std::get_if<RouteTablePart>(&message.body))
        receivePart(turn, message.from, *part);
}

void RouteConfiguration::sendParts(Turn& turn, const Message& request) const
{
    if (!m_table || std::get<RouteTableRequest>(request.body).known >= m_table->version)
        return;
    auto parts = splitIntoParts(*m_table);
    for (size_t number = 0; number < parts.size(); ++number)
        turn.emit(SendMessage { request.fromControl, request.from, RouteTablePart { static_cast<uint32_t>(number), static_cast<uint32_t>(parts.size()), std::move(parts[number]) } });
}

void RouteConfiguration::receivePart(Turn& turn, const InstanceId& from, const RouteTablePart& part)
{
    // 75,000 tenants with one key each take about 200 parts.
    constexpr uint32_t maximumParts = 1000;
    if (part.table.version <= version() || part.count == 0 || part.count > maximumParts || part.number >= part.count)
        return;
    // Parts of one version are the same wherever they come from, so those of several processes complete each other.
    if (m_incomingTable && m_incomingTable->version > part.table.version)
        return;
    bool isSameTable = m_incomingTable && m_incomingTable->version == part.table.version && m_incomingTable->parts.size() == part.count;
    if (!isSameTable)
        m_incomingTable = IncomingTable { part.table.version, std::vector<std::optional<RouteTable>>(part.count) };
    m_incomingTable->parts[part.number] = part.table;
    bool isComplete = std::ranges::all_of(m_incomingTable->parts, [](const auto& known) { return known.has_value(); });
    if (!isComplete)
        return;
    auto table = std::make_shared<RouteTable>(std::move(*m_incomingTable->parts.front()));
    std::for_each(m_incomingTable->parts.begin() + 1, m_incomingTable->parts.end(), [&](auto& next) {
        std::ranges::move(next->routes, std::back_inserter(table->routes));
        std::ranges::move(next->tenants, std::back_inserter(table->tenants));
    });
    m_incomingTable.reset();
    apply(turn, std::move(table), from.value());
}

bool RouteConfiguration::apply(Turn& turn, std::shared_ptr<const RouteTable> table, const std::string& source)
{
    if (!table || table->version <= version())
        return false;
    try {
        checkRouteTable(*table, source);
    } catch (const Error& error) {
        explain(turn, DecisionKind::RoutesRejected, source, table->version, error.what());
        return false;
    }
    auto before = version();
    m_table = std::move(table);
    m_index = RouteIndex(*m_table);
    m_tenants = TenantDirectory(*m_table);
    std::ranges::for_each(m_table->services, [this](const ServiceTerms& terms) { m_profiles.putServiceTerms(terms); });
    announce(turn);
    explain(turn, DecisionKind::RoutesAdopted, source, version(), std::to_string(m_table->routes.size()) + " routes; replaces version " + std::to_string(before.value()));
    m_problems = problemsOf(*m_table);
    if (!m_problems.empty())
        explain(turn, DecisionKind::RoutesIncomplete, source, version(), summaryOf(m_problems));
    return true;
}

void RouteConfiguration::announce(Turn& turn) const
{
    std::vector<InstanceId> peers;
    std::ranges::remove_copy(m_membership.liveMembers(), std::back_inserter(peers), m_self);
    std::vector<InstanceId> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), announcementFanout, turn.random());
    for (const auto& peer : chosen) {
        if (const auto* member = m_membership.find(peer))
            turn.emit(SendMessage { member->control, peer, Gossip {} });
    }
}

void RouteConfiguration::explain(Turn& turn, DecisionKind kind, const std::string& peer, Revision version, std::string evidence) const
{
    turn.recordDecision({ .kind = kind, .step = "adopt-routes", .peer = peer, .revision = version, .evidence = std::move(evidence) });
}

}
