#pragma once

#include "LoadRecord.h"
#include "TenantHistory.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Load {

// The runs that backend servers wrote down.
struct Ledger {
    // Runs by the load tool's request id.
    std::unordered_map<std::string, uint32_t> runsByLoadId;
    // Runs by the fleet's request id, which each send has its own of.
    std::unordered_map<std::string, uint32_t> runsByFleetId;
    // Runs by the load tool's id of the send, and by the tenant's name that arrived with them; empty if none did.
    std::unordered_map<std::string, std::map<std::string, uint32_t>> runsBySend;
    // Targets of requests that carried an API key to a backend server.
    std::vector<std::string> leaks;
};

// Requests of which the fleet broke a promise. Each list should be empty.
struct Violations {
    // Bookings that ran more than once.
    std::vector<std::string> doubled;
    // Answers that belong to another request.
    std::vector<std::string> crossed;
    // Answers that were cut but told as whole.
    std::vector<std::string> cut;
    // Told "not run" though it ran, or "answered" though it didn't.
    std::vector<std::string> falselyTold;
    // Requests that reached a backend server with an API key.
    std::vector<std::string> leaked;
    // Sends that ran under a name that never held their key, or without one that they must have.
    std::vector<std::string> misnamed;
    // Sends that ran though their key had been removed for longer than the revocation bound.
    std::vector<std::string> revoked;
    // Tenants that exceeded their quota, with the most that ran in a window.
    std::vector<std::string> overQuota;

    size_t count() const
    {
        return doubled.size() + crossed.size() + cut.size() + falselyTold.size() + leaked.size() + misnamed.size() + revoked.size() + overQuota.size();
    }
};

// For each tenant, the most requests that were sent within one window of quotas and ran.
std::map<std::string, size_t> mostInWindows(const std::vector<RequestRecord>&, const Ledger&, const TenantHistory&);

// The history is empty if there are no tenants.
Violations checkLedger(const std::vector<RequestRecord>&, const Ledger&, const TenantHistory&);

}
