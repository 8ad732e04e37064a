#pragma once

#include <LibDecision/PlatformOperation.h>

#include <map>
#include <memory>
#include <string>

namespace Testing {

using namespace Decision;

// An in-memory implementation of the platform's key-value store, with leases. Its clock is the instant passed to
// perform(). It can be restored to an earlier state.
class FakePlatform {
public:
    // Carries out the operation and answers immediately; the caller adds delays and faults.
    PlatformReply perform(Instant now, const PlatformOperation&);
    // True if the operation is a watch and nothing has changed below its prefix since its index.
    bool mustWait(const PlatformOperation&) const;

    // Puts the table in place of the one before.
    void publishRoutes(std::shared_ptr<const RouteTable>);

    void takeSnapshot() { m_snapshot = m_state; }
    // Loses all keys, but not the routes, and tells nobody.
    void forgetKeys() { m_state.keys.clear(); }
    // Restores the snapshot. Its leases start over with their whole time to live.
    void restoreSnapshot(Instant now);

    uint64_t reads() const { return m_reads; }
    uint64_t writes() const { return m_writes; }

private:
    static constexpr int eraShift = 44;

    struct Lease {
        Duration timeToLive { 0 };
        Instant endsAt;
    };
    struct State {
        std::map<std::string, KeyValue> keys;
        std::map<PlatformLease, Lease> leases;
        uint64_t lastVersion { 0 };
        std::shared_ptr<const RouteTable> routes;
        uint64_t routesVersion { 0 };
    };

    PlatformReply perform(const ReadPrefix&);
    PlatformReply perform(const WatchRoutes&);
    PlatformReply perform(const ConfirmRoutes& read) { return perform(WatchRoutes { read.index }); }
    PlatformReply perform(const WatchPrefix& watch) { return perform(ReadPrefix { watch.prefix }); }
    PlatformReply perform(const CompareAndSwap&);
    PlatformReply perform(const GrantLease&);
    PlatformReply perform(const RenewLease&);
    PlatformReply perform(const RevokeLease&);
    PlatformReply perform(const AcquireKey&);
    PlatformReply perform(const ReleaseKey&);
    // The version that an index stands for; 0 if it is of an earlier era.
    uint64_t versionAt(uint64_t index) const;
    uint64_t lastChangeOf(const std::string& prefix) const;
    void endLease(const PlatformLease&);
    void write(const std::string& key, const std::string& value);

    Instant m_now;
    State m_state;
    State m_snapshot;
    uint64_t m_era { 1 };
    uint64_t m_lastLease { 0 };
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
};

}
