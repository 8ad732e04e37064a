#pragma once

#include <LibDecision/PlatformOperation.h>

#include <map>
#include <string>

namespace Testing {

using namespace Decision;

// A key-value store with versions, holds and leases, on its own clock. It can be set back to an earlier state.
class FakePlatform {
public:
    // Carries the operation out and answers at once; whoever drives it adds delays and faults.
    PlatformReply perform(Instant now, const PlatformOperation&);
    // True if the operation waits for a change that hasn't come yet.
    bool mustWait(const PlatformOperation&) const;

    void takeSnapshot() { m_snapshot = m_state; }
    // Leases of the snapshot live again for their whole time, as after a restore.
    void restoreSnapshot(Instant now);

    uint64_t reads() const { return m_reads; }
    uint64_t writes() const { return m_writes; }

private:
    struct Lease {
        Duration timeToLive { 0 };
        Instant endsAt;
    };
    struct State {
        std::map<std::string, KeyValue> keys;
        std::map<PlatformLease, Lease> leases;
        uint64_t lastVersion { 0 };
    };

    PlatformReply perform(const ReadPrefix&);
    // No routes are published here.
    PlatformReply perform(const WatchRoutes& watch) { return { .status = PlatformStatus::Done, .index = watch.index + 1 }; }
    PlatformReply perform(const WatchPrefix& watch) { return perform(ReadPrefix { watch.prefix }); }
    PlatformReply perform(const CompareAndSwap&);
    PlatformReply perform(const GrantLease&);
    PlatformReply perform(const RenewLease&);
    PlatformReply perform(const RevokeLease&);
    PlatformReply perform(const AcquireKey&);
    PlatformReply perform(const ReleaseKey&);
    uint64_t lastChangeOf(const std::string& prefix) const;
    void endLease(const PlatformLease&);
    void write(const std::string& key, const std::string& value);

    Instant m_now;
    State m_state;
    State m_snapshot;
    uint64_t m_lastLease { 0 };
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
};

}
