#pragma once

#include "QuotaFleet.h"

namespace Testing {

enum class QuotaFaultKind {
    Pause,
    // The machine is suspended, so that the steady clock stands still.
    Suspend,
    Kill,
    Leave,
    // Messages from the first to the second process are lost.
    CutOneWay,
    // The process and the others don't reach each other, but it reaches the store.
    Isolate,
    // The process and the next one reach neither the others nor the store.
    Split,
    // The store doesn't answer the process.
    CutFromStore,
    // The first process takes the second one for dead.
    FalseDeath,
    BadNetwork,
    StoreDown,
    StoreRepliesLost,
    StoreSlow,
    // At its end, the store comes back as it was at its beginning.
    StoreRestored,
    ChangeQuotas,
};

struct QuotaFault {
    QuotaFaultKind kind { QuotaFaultKind::Pause };
    Duration at { 0 };
    Duration length { 0 };
    size_t first { 0 };
    size_t second { 0 };
};

// Tenants that send several times their quotas through all processes, under faults.
class QuotaSchedule {
public:
    static constexpr size_t processCount = 5;
    static constexpr Duration length = 24s;

    QuotaSchedule(uint64_t seed, std::vector<QuotaFault>);
    void run();

    // The largest number of requests in any window of 5 s beyond what the quotas allow; negative if all stay below. A
    // lowered quota binds one window after the longest time that a configuration takes.
    double largestExcess() const;
    // The share of the first tenant's quota that is let through from the instant after the start on.
    double shareServed(Duration from) const;
    QuotaFleet& fleet() { return m_fleet; }

private:
    void begin(const QuotaFault&);
    void end(const QuotaFault&);
    void split(size_t first, size_t second);
    size_t busyProcess(size_t rank);
    double allowed(const AccountId&, Instant from, Instant until) const;

    QuotaFleet m_fleet;
    std::vector<QuotaFault> m_faults;
    Instant m_startedAt;
    std::set<std::pair<size_t, size_t>> m_cuts;
};

}
