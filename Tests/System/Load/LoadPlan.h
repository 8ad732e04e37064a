#pragma once

#include <LibModel/Endpoint.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Load {

using namespace Model;

// What the load tool sends, and where to.
struct LoadPlan {
    // Callers' endpoints of the fleet's processes; each request goes to a random one.
    std::vector<Endpoint> ingresses;
    // Backend servers, for requests that bypass the fleet and for the ledgers.
    std::vector<Endpoint> backends;
    std::vector<std::string> services;
    // Mean requests per second, with exponential gaps, whatever the answers do.
    double rate { 200 };
    Duration length { std::chrono::seconds(10) };
    uint32_t accounts { 100 };
    // Shares of all requests; the rest are lookups.
    double bookingShare { 0.15 };
    double keyedBookingShare { 0.15 };
    double uploadShare { 0 };
    // Share of requests that go to a backend server directly, to compare latencies in the same run.
    double directShare { 0.2 };
    // The platform's key-value service, to which routes and tenants are published; requests go without API keys if nothing.
    std::optional<Endpoint> platform;
    // Bounds that the processes' settings name, or their defaults.
    Duration revocationBound { std::chrono::seconds(5) };
    Duration quotaWindow { std::chrono::seconds(5) };
    // Of all requests through the fleet, with tenants: lookups of a public route, and keys that were removed or never valid.
    double publicShare { 0.1 };
    double removedKeyShare { 0.1 };
    double strangeKeyShare { 0.02 };
    // Clients that stop just short of the end of a legal body and stay open.
    uint32_t crowd { 0 };
    // A keyed booking without an answer is sent again this often.
    uint32_t resends { 4 };
    Duration resendDelay { std::chrono::milliseconds(250) };
    Duration deadline { std::chrono::seconds(2) };
    uint64_t seed { 1 };
};

}
