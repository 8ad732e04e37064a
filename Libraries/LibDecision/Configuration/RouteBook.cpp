#include <LibDecision/Configuration/RouteBook.h>

#include <LibDecision/Configuration/ZoneMembers.h>
#include <LibDecision/Rendezvous.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <iterator>

namespace Decision {

namespace {

    constexpr Duration watchWait = std::chrono::seconds(25);
    // A watch without any reply for this long beyond its wait is given up.
    constexpr Duration replyGrace = std::chrono::seconds(3);
    // The first read decides when the process can serve, so it isn't waited for as long.
    constexpr Duration firstReplyTimeout = std::chrono::milliseconds(600);
    constexpr Duration firstBackoff = std::chrono::milliseconds(100);
    // A lost platform is asked again this often at the latest, since a change must be in force within 2 s of its return.
    constexpr Duration maximumBackoff = std::chrono::milliseconds(800);
    constexpr Duration electionInterval = std::chrono::seconds(5);
    // A process that was asked for a newer table has this long to send it, before another one is asked.
    constexpr Duration askInterval = std::chrono::milliseconds(300);

    std::vector<RouteTable> partsOf(const RouteTable& table)
    {
        std::vector<RouteTable> parts;
        auto rest = table.routes.begin();
        do {
            auto count = std::min<ptrdiff_t>(RouteBook::routesPerPart, table.routes.end() - rest);
            RouteTable part;
            part.version = table.version;
            part.routes.assign(rest, rest + count);
            rest += count;
            parts.push_back(std::move(part));
        } while (rest != table.routes.end());
        parts.front().services = table.services;
        parts.front().limits = table.limits;
        return parts;
    }

}

RouteBook::RouteBook(RoutingMode mode, const MemberRecord& self, const Membership& membership, ProfileBook& profiles)
    : m_mode(mode)
    , m_self(self.instance)
    , m_zone(self.zone)
    , m_membership(membership)
    , m_profiles(profiles)
    , m_backoff(firstBackoff, maximumBackoff)
{
}

void RouteBook::start(Turn& turn)
{
    if (isUsed())
        watch(turn);
}

std::optional<Instant> RouteBook::nextTimer() const { return m_next; }

void RouteBook::handleTimer(Turn& turn)
{
    if (!m_next || turn.now() < *m_next)
        return;
    m_next.reset();
    if (m_waiting)
        return failed(turn);
    // A process without any table asks whether it is elected or not.
    if (!m_table || isWatcher())
        return watch(turn);
    m_next = turn.now() + electionInterval;
}

bool RouteBook::isWatcher() const
{
    auto watchers = rendezvousChoice(routesKey, liveMembersOfZone(m_membership, m_zone), watchersPerZone);
    return watchers.empty() || std::ranges::find(watchers, m_self) != watchers.end();
}

void RouteBook::watch(Turn& turn)
{
    m_waiting = turn.callPlatform(WatchRoutes { m_storeIndex, watchWait });
    m_next = turn.now() + (m_storeIndex == 0 ? firstReplyTimeout : watchWait + replyGrace);
}

bool RouteBook::handleReply(Turn& turn, const PlatformReply& reply)
{
    if (!m_waiting || reply.tag != *m_waiting)
        return false;
    if (reply.status != PlatformStatus::Done) {
        failed(turn);
        return true;
    }
    m_waiting.reset();
    m_backoff.reset();
    bool isNews = reply.index != m_storeIndex;
    m_storeIndex = reply.index;
    if (!reply.problem.empty())
        explain(turn, DecisionKind::RoutesRejected, "platform", {}, reply.problem);
    if (reply.routes)
        apply(turn, reply.routes, "platform");
    // A platform that answers at once without news isn't asked at once again.
    m_next = isNews ? turn.now() : turn.now() + m_backoff.next(turn.random());
    return true;
}

void RouteBook::failed(Turn& turn)
{
    m_waiting.reset();
    // What changed meanwhile is read at once by the next watch.
    m_storeIndex = 0;
    m_next = turn.now() + m_backoff.next(turn.random());
}

void RouteBook::hear(Turn& turn, const InstanceId& from, const Endpoint& control, Revision version)
{
    if (!isUsed() || version <= this->version() || from == m_self)
        return;
    if (m_askedAt && turn.now() - *m_askedAt < askInterval)
        return;
    m_askedAt = turn.now();
    turn.emit(SendMessage { control, from, RouteTableRequest { this->version() } });
}

void RouteBook::receive(Turn& turn, const Message& message)
{
    hear(turn, message.from, message.fromControl, message.routesVersion);
    if (std::holds_alternative<RouteTableRequest>(message.body))
        send(turn, message);
    else if (const auto* part = std::get_if<RouteTablePart>(&message.body))
        take(turn, message.from, *part);
}

void RouteBook::send(Turn& turn, const Message& request) const
{
    if (!m_table || std::get<RouteTableRequest>(request.body).known >= m_table->version)
        return;
    auto parts = partsOf(*m_table);
    for (size_t number = 0; number < parts.size(); ++number)
        turn.emit(SendMessage { request.fromControl, request.from, RouteTablePart { static_cast<uint32_t>(number), static_cast<uint32_t>(parts.size()), std::move(parts[number]) } });
}

void RouteBook::take(Turn& turn, const InstanceId& from, const RouteTablePart& part)
{
    constexpr uint32_t mostParts = 1000;
    if (part.table.version <= version() || part.count == 0 || part.count > mostParts || part.number >= part.count)
        return;
    bool isSame = m_incoming && m_incoming->from == from && m_incoming->version == part.table.version && m_incoming->parts.size() == part.count;
    if (!isSame)
        m_incoming = Incoming { from, part.table.version, std::vector<std::optional<RouteTable>>(part.count) };
    m_incoming->parts[part.number] = part.table;
    bool isWhole = std::ranges::all_of(m_incoming->parts, [](const auto& known) { return known.has_value(); });
    if (!isWhole)
        return;
    auto table = std::make_shared<RouteTable>(*m_incoming->parts.front());
    std::for_each(m_incoming->parts.begin() + 1, m_incoming->parts.end(), [&](const auto& next) {
        std::ranges::copy(next->routes, std::back_inserter(table->routes));
    });
    m_incoming.reset();
    apply(turn, std::move(table), from.value());
}

bool RouteBook::apply(Turn& turn, std::shared_ptr<const RouteTable> table, const std::string& source)
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
    std::ranges::for_each(m_table->services, [this](const ServiceTerms& terms) { m_profiles.putTerms(terms); });
    explain(turn, DecisionKind::RoutesAdopted, source, version(), std::to_string(m_table->routes.size()) + " routes, supersede version " + std::to_string(before.value()));
    return true;
}

void RouteBook::explain(Turn& turn, DecisionKind kind, const std::string& peer, Revision version, std::string evidence) const
{
    turn.explain({ .kind = kind, .step = "adopt-routes", .peer = peer, .revision = version, .evidence = std::move(evidence) });
}

}
