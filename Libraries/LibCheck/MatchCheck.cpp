#include <LibCheck/MatchCheck.h>

#include <algorithm>
#include <unordered_set>

namespace Check {

namespace {

    // Characters that stand in no host, or before which the path of a request ends.
    constexpr std::string_view impossibleInHost = "/?#@ \t";
    constexpr std::string_view impossibleInPath = "?# \t";

    void checkPlace(const TableDocument& document, const RouteIndex& index, const Route& route, Findings& findings)
    {
        auto entry = "route " + route.name;
        if (route.host.find_first_of(impossibleInHost) != std::string::npos) {
            findings.push_back({ FindingId::RouteUnmatchable, document.file, entry, "The host \"" + route.host + "\" can't stand in a request. Write only the name of the host, without scheme, user or path." });
            return;
        }
        if (route.pathPrefix.find_first_of(impossibleInPath) != std::string::npos) {
            findings.push_back({ FindingId::RouteUnmatchable, document.file, entry, "The prefix \"" + route.pathPrefix + "\" has a character that no path of a request has. Remove spaces, and everything from ? or # on." });
            return;
        }
        const auto* found = index.find(route.host, route.pathPrefix);
        if (found && found != &route)
            findings.push_back({ FindingId::RouteHidden, document.file, entry,
                "Route " + found->name + " stands before it and takes all its requests: hosts are compared without port and upper case. Remove one of the two routes, or change its host or prefix." });
    }

    void checkTargets(const TableDocument& document, const Route& route, Findings& findings)
    {
        for (const auto& target : route.targets) {
            if (route.isUsable() && target.weight == 0)
                findings.push_back({ FindingId::TargetWithoutWeight, document.file, "route " + route.name, "The service " + target.service.value() + " has the weight 0 and gets none of its requests. Give it a weight, or remove it from the route." });
        }
    }

    void checkServices(const TableDocument& document, Findings& findings)
    {
        std::unordered_set<ServiceName> reached;
        for (const auto& route : document.table.routes) {
            for (const auto& target : route.targets) {
                if (route.isUsable() && target.weight > 0)
                    reached.insert(target.service);
            }
        }
        for (const auto& service : document.table.services) {
            if (!reached.contains(service.name))
                findings.push_back({ FindingId::ServiceWithoutRoute, document.file, "service " + service.name.value(), "No usable route sends requests to the service. Add a route to it, or remove the service." });
        }
    }

    void checkKeys(const TableDocument& document, Findings& findings)
    {
        if (std::ranges::any_of(document.table.routes, &Route::isPublic))
            return;
        for (const auto& tenant : document.table.tenants) {
            if (tenant.isUsable() && tenant.keyDigests.empty())
                findings.push_back({ FindingId::TenantWithoutKeys, document.file, "tenant " + tenant.name.value(), "The tenant has no API key and no route is public, so that it can send nothing. Give it a key, or remove the tenant." });
        }
    }

}

void findMismatches(const TableDocument& document, Findings& findings)
{
    RouteIndex index(document.table);
    for (const auto& route : document.table.routes) {
        checkPlace(document, index, route, findings);
        checkTargets(document, route, findings);
    }
    checkServices(document, findings);
    checkKeys(document, findings);
}

}
