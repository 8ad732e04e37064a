#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Tenant.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Model {

using namespace std::chrono_literals;

// One service that a route sends requests to, and its part of them.
struct RouteTarget {
    ServiceName service;
    // Relative to the other targets of the route; above zero.
    double weight { 1 };

    bool operator==(const RouteTarget&) const = default;
};

// How the requests of one host below one path are treated.
struct Route {
    std::string name;
    // Host without a port, in lower case.
    std::string host;
    // Beginning of the path; begins and ends with a slash.
    std::string pathPrefix;
    // One or more; the weights say how requests are split.
    std::vector<RouteTarget> targets;
    // Whether a request may run more than once.
    bool isIdempotent { false };
    // A request is answered within this time, whatever deadline the caller gave.
    Duration timeout { 30s };
    // A later answer is worth less to the caller.
    Duration latencyObjective { 1s };
    // 0 goes first.
    uint32_t priority { 0 };
    // Backend servers that one request may be sent to.
    uint32_t maximumAttempts { 1 };
    // Whether requests need no API key although there are tenants.
    bool isPublic { false };
    // Whether bodies are so large that they must not be sent in vain.
    bool hasLargeBodies { false };
    // Why the route can't be used; empty if it can. Its requests are refused as not run.
    std::string problem;

    bool isUsable() const { return problem.empty(); }
    bool operator==(const Route&) const = default;
};

// What operators say of one service.
struct ServiceTerms {
    ServiceName name;
    // Path of the health check; empty if there is none.
    std::string healthPath;
    // Connections that a backend server takes from all processes.
    uint32_t maximumConnections { 1 };

    bool operator==(const ServiceTerms&) const = default;
};

// What callers may send, and how long they may take.
struct CallerLimits {
    uint64_t headerBytes { 16u << 10 };
    uint64_t bodyBytes { 1u << 20 };
    Duration headerTimeout { 10s };
    Duration idleTimeout { 75s };

    bool operator==(const CallerLimits&) const = default;
};

// All routes as operators published them at once. A higher version replaces a lower one as a whole.
struct RouteTable {
    // 0 means that none was published yet.
    Revision version;
    std::vector<Route> routes;
    std::vector<ServiceTerms> services;
    CallerLimits limits;
    // Empty if requests need no API keys.
    std::vector<Tenant> tenants;
    // Entries that operators published and that had to be left out, with the reasons.
    std::vector<std::string> omissions;

    bool operator==(const RouteTable&) const = default;
};

// What is wrong with one entry of a table.
struct EntryProblem {
    // Names the entry, as in "route r1"; may be empty.
    std::string entry;
    std::string problem;

    bool operator==(const EntryProblem&) const = default;
};

// Every problem for which checkRouteTable() refuses a table; none if it accepts the table.
std::vector<EntryProblem> findProblems(const RouteTable&);

// Checks what the types don't: names, paths, weights and figures in range, targets that are listed as services,
// no two routes for one host and path, and no API key of two tenants. Throws Error whose step is "check-routes" and whose peer is
// the source.
void checkRouteTable(const RouteTable&, const std::string& source);

// Makes a table that checkRouteTable() accepts, so that one malformed entry doesn't cost the others their configuration.
// Services, and routes without a place, are left out and listed as omissions; other routes and tenants with a problem
// stay as unusable. A key of two tenants belongs to neither: it moves to a nameless unusable tenant.
void isolateProblems(RouteTable&);

// Lists an entry that was left out. Only a bounded number of them is kept.
void addOmission(RouteTable&, std::string omission);

// Entries that were left out or that are marked as unusable, with the reasons. Those left out have no entry, since their
// texts name it.
std::vector<EntryProblem> unusableEntries(const RouteTable&);

// Descriptions of everything in the table that can't be used.
std::vector<std::string> problemsOf(const RouteTable&);

// Finds the route of a request. Built once for each table in force.
class RouteIndex {
public:
    RouteIndex() = default;
    // Refers to the table's routes, so the table must outlive the index.
    explicit RouteIndex(const RouteTable&);

    // Gives the host's route with the longest prefix of the path; nothing if none matches. The authority may carry
    // a port, and the target a query.
    const Route* find(std::string_view authority, std::string_view target) const;

private:
    struct HostRoutes {
        std::unordered_map<std::string_view, const Route*> byPrefix;
    };

    std::unordered_map<std::string, HostRoutes> m_hosts;
};

}
