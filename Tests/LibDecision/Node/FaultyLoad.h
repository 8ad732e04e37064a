#pragma once

#include "NodeFleet.h"

#include <vector>

namespace Testing {

enum class LoadFaultKind {
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
    // Backend servers of a service name a limit on requests in their answers; ignored while some of them do already.
    NamedLimit,
    // A backend server says in its answers that it leaves, from then on, and goes on announcing itself as serving.
    SaysItLeaves,
};

struct LoadFault {
    LoadFaultKind kind { LoadFaultKind::Kill };
    // Counted from the start of the load.
    Duration at { 0 };
    Duration length { 0 };
    // Selects the process or service.
    size_t first { 0 };
    size_t second { 0 };
};

// Runs callers' requests against two services, of which one calls the other, and injects faults that make requests
// repeat or that bound how many a backend server takes.
class FaultyLoad {
public:
    static constexpr size_t nodeCount = 8;
    static constexpr size_t callingNodes = 5;
    static constexpr double ratio = 0.2;
    static constexpr double extra = 20;
    static constexpr Duration window = 10s;

    static NodeFleetOptions fleetOptions();

    FaultyLoad(uint64_t seed, std::vector<LoadFault>);

    void run();
    // How far the worst window of any service is above the limit on repeated arrivals; negative if it is below.
    double largestRetryExcess() const;
    // How far the worst window of any backend server is above what its named limit allows; negative if it is below.
    double largestLimitExcess() const;

    // Requests that reached a backend server although their process had passed on, before they were sent, that it leaves.
    size_t arrivalsAfterLeaving() const;

    const NodeFleet& fleet() const { return m_fleet; }
    Instant beganAt() const { return m_loadBegan; }

private:
    void startFault(const LoadFault&);
    void nameLimits(const LoadFault&);
    void sendNext(size_t service);
    BackendFaults& faultsOf(size_t backend) { return m_fleet.backends()[backend].simulatedFaults; }
    double excessIn(const ServiceName&, const std::vector<Instant>& requests, Instant end) const;

    std::vector<LoadFault> m_faults;
    NodeFleet m_fleet;
    std::mt19937_64 m_random;
    std::multiset<std::pair<size_t, size_t>> m_cuts;
    // A backend server names a limit in its answers.
    struct NamedLimit {
        size_t backend { 0 };
        double requestsPerSecond { 0 };
        Instant from;
        Instant to;
    };

    double excessOver(const NamedLimit&) const;
    // When the backend server got requests from processes that had passed on an answer that named the limit.
    std::vector<Instant> countedArrivals(const NamedLimit&) const;

    std::vector<NamedLimit> m_namedLimits;
    double m_burst { 1 };
    Instant m_loadBegan;
    Instant m_loadEnds;
};

}
