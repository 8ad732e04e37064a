#include <LibModel/RouteTable.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Model {

namespace {

    constexpr uint32_t mostAttempts = 100;
    constexpr Duration longestTimeout = 24h;
    constexpr size_t longestTenantName = 256;
    constexpr size_t longestProblem = 400;
    // Omissions travel in one message with the table's services.
    constexpr size_t maximumOmissions = 100;

    std::string hostOf(std::string_view authority)
    {
        // An IPv6 address keeps its brackets and colons.
        auto port = authority.rfind(':');
        bool hasPort = port != std::string_view::npos && authority.find(']', port) == std::string_view::npos;
        std::string host(hasPort ? authority.substr(0, port) : authority);
        std::ranges::transform(host, host.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return host;
    }

    // Describes what is wrong with the entries of a table. Remembers the entries that it accepted, to find duplicates and
    // unknown services.
    class TableChecker {
    public:
        // The functions return an empty text if there is no problem.
        std::string problemOf(const ServiceTerms& service)
        {
            if (service.name.isEmpty())
                return "has no name";
            if (!service.healthPath.empty() && service.healthPath.front() != '/')
                return "has a health path that does not begin with /";
            if (service.maximumConnections == 0)
                return "allows no connection";
            return m_services.insert(service.name).second ? "" : "is listed twice";
        }

        std::string problemOfPlace(const Route& route)
        {
            if (route.host.empty())
                return "has no host";
            if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
                return "has a prefix that does not begin and end with /";
            return m_places.emplace(route.host, route.pathPrefix).second ? "" : "has the host and prefix of another route";
        }

        std::string problemOfTerms(const Route& route) const
        {
            if (route.timeout <= 0ms || route.timeout > longestTimeout)
                return "has no possible timeout";
            if (route.latencyObjective <= 0ms)
                return "has no possible latency objective";
            if (route.maximumAttempts < 1 || route.maximumAttempts > mostAttempts)
                return "has no possible number of attempts";
            return problemOfTargets(route.targets);
        }

        std::string problemOf(const Tenant& tenant)
        {
            if (!isHeaderValue(tenant.name.value()))
                return "has no name of 1 to " + std::to_string(longestTenantName) + " printable ASCII characters without spaces around them";
            if (!std::isfinite(tenant.requestsPerSecond) || tenant.requestsPerSecond < 0)
                return "has an impossible rate";
            if (!std::isfinite(tenant.burst) || tenant.burst < 0)
                return "has an impossible burst";
            return m_tenants.insert(tenant.name).second ? "" : "is listed twice";
        }

        std::string problemOfKeys(const Tenant& tenant)
        {
            if (tenant.keyDigests.size() > maximumKeysPerTenant)
                return "has more than " + std::to_string(maximumKeysPerTenant) + " API keys";
            bool areValid = std::ranges::all_of(tenant.keyDigests, [this](const std::string& digest) {
                return !digest.empty() && m_keyDigests.insert(digest).second;
            });
            return areValid ? "" : "has an empty API key, or one that is listed twice";
        }

    private:
        std::string problemOfTargets(const std::vector<RouteTarget>& targets) const
        {
            if (targets.empty())
                return "has no target";
            bool hasWeight = false;
            for (const auto& target : targets) {
                if (!m_services.contains(target.service))
                    return "sends to the unknown service " + target.service.value();
                if (!std::isfinite(target.weight) || target.weight < 0)
                    return "has an impossible weight";
                hasWeight |= target.weight > 0;
            }
            return hasWeight ? "" : "has no target with a weight";
        }

        // Backend servers get the name in a header.
        static bool isHeaderValue(std::string_view name)
        {
            return !name.empty() && name.size() <= longestTenantName && name.front() != ' ' && name.back() != ' '
                && std::ranges::all_of(name, [](char character) { return character >= ' ' && character <= '~'; });
        }

        std::unordered_set<ServiceName> m_services;
        std::set<std::pair<std::string, std::string>> m_places;
        std::unordered_set<AccountId> m_tenants;
        std::unordered_set<std::string_view> m_keyDigests;
    };

    std::string describe(const ServiceTerms& service) { return "service " + service.name.value(); }
    std::string describe(const Route& route) { return "route " + route.name; }
    std::string describe(const Tenant& tenant) { return tenant.name.isEmpty() ? "a tenant" : "tenant " + tenant.name.value(); }

    // Takes the keys that several tenants list from all of them.
    void isolateSharedKeys(RouteTable& table)
    {
        std::unordered_map<std::string, size_t> holders;
        for (auto& tenant : table.tenants) {
            std::set<std::string> known;
            std::erase_if(tenant.keyDigests, [&](const std::string& digest) { return !known.insert(digest).second; });
            std::ranges::for_each(tenant.keyDigests, [&](const std::string& digest) { ++holders[digest]; });
        }
        std::erase_if(holders, [](const auto& holder) { return holder.second < 2; });
        if (holders.empty())
            return;
        Tenant shared;
        shared.problem = "an API key is listed by";
        for (auto& tenant : table.tenants) {
            auto count = std::erase_if(tenant.keyDigests, [&](const std::string& digest) { return holders.contains(digest); });
            if (count > 0 && shared.problem.size() < longestProblem)
                shared.problem += " " + describe(tenant) + ",";
        }
        shared.problem.pop_back();
        for (const auto& [digest, count] : holders) {
            if (shared.keyDigests.size() == maximumKeysPerTenant)
                table.tenants.push_back(std::exchange(shared, Tenant { .problem = shared.problem }));
            shared.keyDigests.push_back(digest);
        }
        table.tenants.push_back(std::move(shared));
    }

}

std::vector<EntryProblem> findProblems(const RouteTable& table)
{
    std::vector<EntryProblem> problems;
    auto require = [&](const std::string& what, const std::string& problem) {
        if (!problem.empty())
            problems.push_back({ what, problem });
    };
    TableChecker checker;
    for (const auto& service : table.services)
        require(describe(service), checker.problemOf(service));
    for (const auto& route : table.routes) {
        require(describe(route), checker.problemOfPlace(route));
        require(describe(route), route.isUsable() ? checker.problemOfTerms(route) : "");
    }
    for (const auto& tenant : table.tenants) {
        require(describe(tenant), tenant.isUsable() ? checker.problemOf(tenant) : "");
        require(describe(tenant), checker.problemOfKeys(tenant));
    }
    require("version", table.version.value() > 0 ? "" : "is not above zero");
    require("limits", table.limits.headerBytes > 0 && table.limits.bodyBytes > 0 ? "" : "allow nothing");
    require("limits", table.limits.headerTimeout > 0ms && table.limits.idleTimeout > 0ms ? "" : "give no time");
    return problems;
}

void checkRouteTable(const RouteTable& table, const std::string& source)
{
    auto problems = findProblems(table);
    if (!problems.empty())
        throw Error("check-routes", source, problems.front().entry + " " + problems.front().problem);
}

void addOmission(RouteTable& table, std::string omission)
{
    if (table.omissions.size() >= maximumOmissions)
        return;
    if (omission.size() > longestProblem)
        omission.resize(longestProblem);
    table.omissions.push_back(table.omissions.size() + 1 == maximumOmissions ? "and others" : std::move(omission));
}

void isolateProblems(RouteTable& table)
{
    TableChecker checker;
    auto leaveOut = [&](const auto& entry, const std::string& problem) {
        if (!problem.empty())
            addOmission(table, describe(entry) + " " + problem);
        return !problem.empty();
    };
    std::erase_if(table.services, [&](const ServiceTerms& service) { return leaveOut(service, checker.problemOf(service)); });
    std::erase_if(table.routes, [&](const Route& route) { return leaveOut(route, checker.problemOfPlace(route)); });
    for (auto& route : table.routes) {
        if (route.isUsable())
            route.problem = checker.problemOfTerms(route);
    }
    for (auto& tenant : table.tenants) {
        if (tenant.isUsable())
            tenant.problem = checker.problemOf(tenant);
        if (tenant.keyDigests.size() <= maximumKeysPerTenant)
            continue;
        tenant.problem = "has more than " + std::to_string(maximumKeysPerTenant) + " API keys";
        tenant.keyDigests.resize(maximumKeysPerTenant);
        tenant.hasUnreadKeys = true;
    }
    isolateSharedKeys(table);
}

std::vector<EntryProblem> unusableEntries(const RouteTable& table)
{
    std::vector<EntryProblem> problems;
    for (const auto& omission : table.omissions)
        problems.push_back({ "", omission });
    auto add = [&](const auto& entry) {
        if (!entry.isUsable())
            problems.push_back({ describe(entry), entry.problem });
    };
    std::ranges::for_each(table.routes, add);
    std::ranges::for_each(table.tenants, add);
    return problems;
}

std::vector<std::string> problemsOf(const RouteTable& table)
{
    std::vector<std::string> problems;
    for (const auto& [entry, problem] : unusableEntries(table))
        problems.push_back(entry.empty() ? problem : entry + " " + problem);
    return problems;
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
