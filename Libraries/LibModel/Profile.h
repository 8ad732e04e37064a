#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Request.h>
#include <LibModel/Time.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Model {

using namespace std::chrono_literals;

// What an operator weighs more when a backend server looks suspicious.
enum class HealthPriority {
    // Eject early: a sick backend server that keeps work costs more than a wrong ejection.
    DetectionTime,
    // Eject late: a wrongly lost backend server costs more than a slow detection.
    FewFalseEjections,
};

template <>
struct EnumNames<HealthPriority> {
    static constexpr std::array entries {
        EnumName { HealthPriority::DetectionTime, "detection-time" },
        EnumName { HealthPriority::FewFalseEjections, "few-false-ejections" },
    };
};

struct HealthPolicy {
    HealthPriority priority { HealthPriority::FewFalseEjections };
    // Share of the announced slots that ejection must leave in use, 0 to 1.
    double floor { 0.7 };
    // First ejection time; doubles with each repeated ejection up to the maximum.
    Duration ejectionTime { 5s };
    Duration maximumEjectionTime { 5min };
    // Shortest time between two probes of one backend server.
    Duration probeInterval { 10s };
    // Path that a probe asks for; probes are off if empty.
    std::string probePath { "/health" };
    // A sidecar refuses requests that may not repeat while its backend server is sick with this probability or more;
    // 1 means never.
    double faultBound { 1 };

    // The bound for one kind of request. An idempotent request risks only a delay, so its bound is higher.
    double faultBoundFor(bool isIdempotent) const { return isIdempotent ? std::sqrt(faultBound) : faultBound; }
};

struct CapacityPolicy {
    // Longest time that a request waits at its ingress for a backend server that may take it; zero refuses at once.
    Duration callerWait { 0s };
    // Requests that may wait per backend server.
    uint32_t queueLength { 6 };
    // Longest wait in that queue.
    Duration queueTimeout { 200ms };
    // Connections to one backend server, from all processes.
    uint32_t connections { 330 };
    // Connections with no request are closed after this time.
    Duration idleConnectionTimeout { 30s };
};

struct DeadlinePolicy {
    // Used if the caller gives no deadline.
    Duration defaultDeadline { 2s };
    // A caller's deadline is cut to this.
    Duration maximumDeadline { 30s };
    // Without any progress on a connection for this time the connection is suspected to be silent.
    Duration progressTimeout { 1s };
};

struct RetryPolicy {
    // Sends of one request, the first included.
    uint32_t maximumAttempts { 3 };
    // Whether an ingress whose connection to a sidecar is in doubt asks again what became of a request that may not
    // run twice.
    bool settles { false };
    // Whether it asks through another process too, since only the path between the two may have failed. Needs `settles`.
    bool settlesThroughPeers { false };
    // Refusals by sidecars that a request may meet beyond its sends. They reach no backend server, so they use up
    // neither sends nor budget; zero lets them.
    uint32_t reroutes { 0 };
    // Retries per first attempt that a process may add, 0 to 1.
    double budget { 0.1 };
    // Retries per second that are allowed even with little traffic.
    double minimumPerSecond { 1.0 };
    // Retries of one service that the whole fleet may add in any span of the window beyond its share of the callers'
    // requests; every sidecar of the service takes its part of them. Zero means that each ingress has its own minimum
    // instead.
    double fleetExtra { 0 };
    Duration window { 10s };
};

// Says which requests may run more than once. Rules are tried in order, then the method's standard meaning applies.
struct IdempotencyRule {
    Method method { Method::Post };
    // Matches the path's beginning.
    std::string pathPrefix;
    bool isIdempotent { false };
};

struct IdempotencyPolicy {
    std::vector<IdempotencyRule> rules;
    // How long a resend with the same Idempotency-Key gets the first outcome.
    Duration resendWindow { 2min };
    // Length of a claim holder's lease at the platform.
    Duration claimLease { 1min };
};

struct FairnessPolicy {
    // Share of a service's queue that one account may hold while others wait, 0 to 1.
    double maximumAccountShare { 0.5 };
};

struct PlacementPolicy {
    // How much longer the same zone's expected wait may be before another zone is chosen.
    Duration zoneCrossingCost { 2ms };
    // Where a round trip to another zone takes at least this much longer than within the zone, the share of requests that
    // leave follows the gap between the zones instead of the fixed cost; 0 is never.
    Duration adaptiveCrossingFrom { 0ms };
};

struct LifecyclePolicy {
    // No new work reaches a backend server later than this after it said that it leaves.
    Duration drainBound { 2s };
    // Longest time that a leaving backend server's running requests are waited for.
    Duration drainTimeout { 30s };
    // A new backend server's share of work grows to its full share during this time.
    Duration coldStart { 10s };
    // A backend server that hasn't announced itself again for this time has lapsed.
    Duration announcementLapse { 15s };
};

struct CrashPolicy {
    // Backend servers that one request may take down before it is refused.
    uint32_t maximumVictims { 2 };
    // A refused request is forgotten after this time.
    Duration forgetAfter { 10min };
};

// How a class of traffic is treated. Durations are microseconds inside; documents carry units.
struct Profile {
    ProfileName name;
    HealthPolicy health;
    CapacityPolicy capacity;
    DeadlinePolicy deadlines;
    RetryPolicy retries;
    IdempotencyPolicy idempotency;
    FairnessPolicy fairness;
    PlacementPolicy placement;
    LifecyclePolicy lifecycle;
    CrashPolicy crash;

    // Says whether a request may run more than once.
    bool isIdempotent(Method, std::string_view path) const;
};

// A profile as it was accepted: the platform holds these, processes pass them on.
struct ProfileRevision {
    ProfileName name;
    Revision revision;
    PublishId publishId;
    // Name of the operator, for history.
    std::string author;
    // The profile's YAML text.
    std::string document;

    bool operator==(const ProfileRevision&) const = default;
};

// Reads and checks a profile's YAML text. Throws DocumentError with file, line, key and what is allowed.
Profile parseProfile(std::string_view document, const std::string& fileName);

// Writes a profile with all its values as YAML; parseProfile reads the same profile back.
std::string formatProfile(const Profile&);

}
