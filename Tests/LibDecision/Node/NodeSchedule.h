#pragma once

#include "NodeFleet.h"

#include <set>
#include <vector>

namespace Testing {

enum class NodeFaultKind {
    // The process is killed and restarted.
    Kill,
    // The process leaves gracefully and is restarted.
    Leave,
    // The process is suspended and resumed.
    Pause,
    // Messages and connections from one process to another fail; those in the opposite direction work.
    CutOneWay,
    // Messages between processes are lost, delayed, duplicated and reordered.
    BadNetwork,
    PlatformDown,
    PlatformRepliesLost,
    BackendSlow,
    BackendStuck,
    BackendErrors,
    BackendCuts,
    BackendCrash,
    BackendDrain,
};

// One fault of a schedule. `first` and `second` select the affected processes or backend server.
struct NodeFault {
    NodeFaultKind kind { NodeFaultKind::Kill };
    // Counted from the start of the load.
    Duration at { 0 };
    Duration length { 0 };
    size_t first { 0 };
    size_t second { 0 };
};

// Runs callers' requests and faults against a fleet, for property tests of complete nodes. The load is followed by a
// quiet period in which the requests in flight finish.
class NodeSchedule {
public:
    static constexpr size_t nodeCount = 5;
    static constexpr size_t backendsPerNode = 2;
    static constexpr Duration loadTime = 12s;

    NodeSchedule(uint64_t seed, std::vector<NodeFault>);

    // Runs the load and the faults, and then continues until every caller must have been told an outcome.
    void run();

    NodeFleet& fleet() { return m_fleet; }
    // Whether the schedule contains a fault of this kind.
    bool hasFault(NodeFaultKind) const;

private:
    void startFault(const NodeFault&);
    void injectBackendFaults(const NodeFault&, const BackendFaults&);
    void sendNext();
    void resend(const std::string& key, size_t times);

    std::vector<NodeFault> m_faults;
    NodeFleet m_fleet;
    std::mt19937_64 m_random;
    std::multiset<std::pair<size_t, size_t>> m_cuts;
    Instant m_loadEnds;
    uint64_t m_lastKey { 0 };
};

}
