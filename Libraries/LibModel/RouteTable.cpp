#include <LibModel/RouteTable.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_set>

namespace Model {

namespace {

    constexpr uint32_t mostAttempts = 100;
    constexpr Duration longestTimeout = 24h;

    class TableChecker {
    public:
        TableChecker(const RouteTable& table, const std::string& source)
            : m_source(source)
        {
            std::ranges::for_each(table.services, [this](const ServiceTerms& service) { checkService(service); });
            std::ranges::for_each(table.routes, [this](const Route& route) { checkRoute(route); });
            std::ranges::for_each(table.tenants, [this](const Tenant& tenant) { checkTenant(tenant); });
            require(table.version.value() > 0, "version", "is not above zero");
            require(table.limits.headerBytes > 0 && table.limits.bodyBytes > 0, "limits", "allow nothing");
            require(table.limits.headerTimeout > 0ms && table.limits.idleTimeout > 0ms, "limits", "give no time");
        }

    private:
        void checkService(const ServiceTerms& service)
        {
            auto what = "service " + service.name.value();
            require(!service.name.isEmpty(), what, "has no name");
            require(m_services.insert(service.name).second, what, "is listed twice");
            require(service.healthPath.empty() || service.healthPath.front() == '/', what, "has a health path that does not begin with /");
            require(service.maximumConnections > 0, what, "allows no connection");
        }

        void checkRoute(const Route& route)
        {
            auto what = "route " + route.name;
            bool isPrefix = route.pathPrefix.starts_with('/') && route.pathPrefix.ends_with('/');
            require(!route.host.empty(), what, "has no host");
            require(isPrefix, what, "has a prefix that does not begin and end with /");
            require(m_places.emplace(route.host, route.pathPrefix).second, what, "has the host and prefix of another route");
            if (!route.isUsable())
                return;
            require(route.timeout > 0ms && route.timeout <= longestTimeout, what, "has no possible timeout");
            require(route.latencyObjective > 0ms, what, "has no possible latency objective");
            require(route.maximumAttempts >= 1 && route.maximumAttempts <= mostAttempts, what, "has no possible number of attempts");
            require(!route.targets.empty(), what, "has no target");
            std::ranges::for_each(route.targets, [&](const RouteTarget& target) {
                require(m_services.contains(target.service), what, "sends to the unknown service " + target.service.value());
                require(std::isfinite(target.weight) && target.weight >= 0, what, "has an impossible weight");
            });
            bool hasWeight = std::ranges::any_of(route.targets, [](const RouteTarget& target) { return target.weight > 0; });
            require(hasWeight, what, "has no target with a weight");
        }

        void checkTenant(const Tenant& tenant)
        {
            auto what = "tenant " + tenant.name.value();
            require(!tenant.name.isEmpty(), what, "has no name");
            require(m_tenants.insert(tenant.name).second, what, "is listed twice");
            require(std::isfinite(tenant.requestsPerSecond) && tenant.requestsPerSecond >= 0, what, "has an impossible rate");
            require(std::isfinite(tenant.burst) && tenant.burst >= 0, what, "has an impossible burst");
            std::ranges::for_each(tenant.keyDigests, [&](const std::string& digest) {
                require(!digest.empty() && m_keyDigests.insert(digest).second, what, "has an empty API key, or one that is listed twice");
            });
        }

        void require(bool condition, const std::string& what, const std::string& problem) const
        {
            if (!condition)
                throw Error("check-routes", m_source, what + " " + problem);
        }

        const std::string& m_source;
        std::unordered_set<ServiceName> m_services;
        std::set<std::pair<std::string, std::string>> m_places;
        std::unordered_set<AccountId> m_tenants;
        std::unordered_set<std::string_view> m_keyDigests;
    };

    std::string hostOf(std::string_view authority)
    {
        // An IPv6 address keeps its brackets and colons.
        auto port = authority.rfind(':');
        bool hasPort = port != std::string_view::npos && authority.find(']', port) == std::string_view::npos;
        std::string host(hasPort ? authority.substr(0, port) : authority);
        std::ranges::transform(host, host.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return host;
    }

}

void checkRouteTable(const RouteTable& table, const std::string& source)
{
    TableChecker checker(table, source);
}

RouteIndex::RouteIndex(const RouteTable& table)
{
    for (const auto& route : table.routes)
        m_hosts[hostOf(route.host)].byPrefix.emplace(route.pathPrefix, &route);
}

const Route* RouteIndex::find(std::string_view authority, std::string_view target) const
{
    auto host = m_hosts.find(hostOf(authority));
    if (host == m_hosts.end())
        return nullptr;
    // Prefixes end with a slash, so only the path's parts up to a slash can be one. The longest is tried first.
    auto path = target.substr(0, target.find('?'));
    auto slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        auto route = host->second.byPrefix.find(path.substr(0, slash + 1));
        if (route != host->second.byPrefix.end())
            return route->second;
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

}
