#pragma once

#include "NodeFleet.h"

#include <vector>

namespace Testing {

enum class RetryFaultKind {
    // Processes are killed and restarted; their backend servers live on.
    Kill,
    Pause,
    // Messages and connections from one process to another fail; those in the opposite direction work.
    CutOneWay,
    // Faults of all backend servers of a service.
    Errors,
    Cuts,
    Sheds,
    Misdirects,
    Slow,
    // More callers than usual send requests whose runs call the other service.
    Burst,
};

struct RetryFault {
    RetryFaultKind kind { RetryFaultKind::Kill };
    // Counted from the start of the load.
    Duration at { 0 };
    Duration length { 0 };
    // Selects the process or service.
    size_t first { 0 };
    size_t second { 0 };
};

// Runs callers' requests against two services, of which one calls the other, and injects faults that make requests
// repeat.
class RetryLoad {
public:
    static constexpr size_t nodeCount = 8;
    static constexpr size_t callingNodes = 5;
    static constexpr double ratio = 0.2;
    static constexpr double extra = 20;
    static constexpr Duration window = 10s;

    static NodeFleetOptions fleetOptions();

    RetryLoad(uint64_t seed, std::vector<RetryFault>);

    void run();
    // How far the worst window of any service is above the limit on repeated arrivals; negative if it is below.
    double largestExcess() const;

private:
    void startFault(const RetryFault&);
    void sendNext(size_t service);
    BackendFaults& faultsOf(size_t backend) { return m_fleet.backends()[backend].simulatedFaults; }
    double excessIn(const ServiceName&, const std::vector<Instant>& requests, Instant end) const;

    std::vector<RetryFault> m_faults;
    NodeFleet m_fleet;
    std::mt19937_64 m_random;
    std::multiset<std::pair<size_t, size_t>> m_cuts;
    double m_burst { 1 };
    Instant m_loadEnds;
};

}
