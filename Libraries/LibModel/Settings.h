#pragma once

#include <LibModel/Endpoint.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Profile.h>
#include <LibModel/Tenant.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Model {

using namespace std::chrono_literals;

enum class LogFormat {
    Json,
    KeyValue,
};

template <>
struct EnumNames<LogFormat> {
    static constexpr std::array entries {
        EnumName { LogFormat::Json, "json" },
        EnumName { LogFormat::KeyValue, "key-value" },
    };
};

struct LogSettings {
    LogFormat format { LogFormat::KeyValue };
    // One of trace, debug, info, warn, error.
    std::string level { "info" };
};

struct TraceSettings {
    // Share of requests traced, 0 to 1.
    double sampledShare { 0.01 };
};

struct LimitSettings {
    // Largest request body in bytes.
    uint64_t requestBodyBytes { 1u << 20 };
    // Largest answer body in bytes.
    uint64_t answerBodyBytes { 8u << 20 };
    // Calls that the process handles at once.
    uint32_t concurrentCalls { 4096 };
    // Bytes that the process holds for callers, peers and backend servers together; 0 derives them from the machine's memory.
    uint64_t memoryBytes { 0 };
    // Open descriptors of the process; 0 takes the system's limit.
    uint64_t descriptors { 0 };
};

// Which interface the platform's store has.
enum class PlatformApi {
    // Consul's HTTP API.
    Consul,
    // The key-value service with revisions and leases that platform/ translates.
    RevisionStore,
};

template <>
struct EnumNames<PlatformApi> {
    static constexpr std::array entries {
        EnumName { PlatformApi::Consul, "consul" },
        EnumName { PlatformApi::RevisionStore, "revision-store" },
    };
};

// How a request's service is found.
enum class RoutingMode {
    // The caller names it in a header or as the first label of the host.
    ServiceHeader,
    // The published route table says it by host and path.
    RouteTable,
};

template <>
struct EnumNames<RoutingMode> {
    static constexpr std::array entries {
        EnumName { RoutingMode::ServiceHeader, "service-header" },
        EnumName { RoutingMode::RouteTable, "route-table" },
    };
};

// What the HTTP statuses of refusals tell callers.
enum class StatusScheme {
    // Each reason has the status that fits it best.
    ByReason,
    // 503 and 429 promise that the request wasn't run; 502 and 504 promise nothing.
    ByPromise,
};

template <>
struct EnumNames<StatusScheme> {
    static constexpr std::array entries {
        EnumName { StatusScheme::ByReason, "by-reason" },
        EnumName { StatusScheme::ByPromise, "by-promise" },
    };
};

// Names of the HTTP headers towards callers and backend servers, in lower case. Empty ones aren't used.
struct EdgeSettings {
    // Carries the request's id from the caller to the backend server and back in its answer.
    std::string requestId { "fulmar-request-id" };
    // Whether backend servers return the id in each answer.
    bool hasRequestIdInAnswers { false };
    // Whether callers choose the id, which is then different for each request.
    bool hasCallerRequestIds { false };
    // Between the id of a running request and the rest of the id of a call that it makes; empty if ids don't tell.
    std::string parentSeparator;
    // What is left of the deadline, in whole milliseconds.
    std::string deadline { "fulmar-deadline-ms" };
    // Tells the backend server which one is meant; another one refuses.
    std::string expectedBackend;
    // Tells the backend server which service called.
    std::string callerService;
    // Tells the backend server the name of the tenant whose API key the request carried. Callers can't set it.
    std::string tenant;
    // Marks an answer whose request the backend server didn't run.
    std::string notRun { "fulmar-outcome" };
    // The value that the mark has; any if empty.
    std::string notRunValue { "not-run" };
    // Every good answer of a backend server carries it.
    std::string answerProof;
    // Names the requests a second that a backend server takes from all processes together, as a decimal number.
    std::string requestLimit { "fulmar-request-limit" };
    // Has the value 1 in the answers of a backend server that leaves.
    std::string leaving { "fulmar-leaving" };
    StatusScheme statuses { StatusScheme::ByReason };
};

// A process's settings, from its YAML file.
struct Settings {
    InstanceId instance;
    ZoneName zone;
    RegionName region;
    // Where callers connect.
    Endpoint callers;
    // Where processes of the fleet, backend servers and operators connect.
    Endpoint control;
    // Where the backend server beside this process announces itself; the control endpoint if not given.
    std::optional<Endpoint> announcements;
    // Where the platform asks whether callers may come; the control endpoint if not given.
    std::optional<Endpoint> readiness;
    // The service of the backend server beside this process; not known if empty.
    ServiceName service;
    // Control endpoints of processes to join through.
    std::vector<Endpoint> peers;
    // Endpoints of the platform's key-value service.
    std::vector<Endpoint> platform;
    PlatformApi platformApi { PlatformApi::Consul };
    RoutingMode routing { RoutingMode::ServiceHeader };
    EdgeSettings edge;
    // In force for services that picked no published profile.
    Profile defaultProfile;
    // Shared by all processes of the fleet, at least 32 characters.
    std::string fleetKey;
    // Given to operators, at least 32 characters.
    std::string operatorKey;
    LogSettings log;
    TraceSettings trace;
    LimitSettings limits;
    TenantTerms tenants;
    // Bound on the time that a leaving process waits for requests in flight.
    Duration leaveTimeout { 30s };
    // A leaving process goes on taking requests for this time, until callers know that it leaves.
    Duration leaveNotice { 0s };
};

// Reads and checks settings. Throws DocumentError with file, line, key and what is allowed.
Settings parseSettings(std::string_view document, const std::string& fileName);

}
