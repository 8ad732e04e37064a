#pragma once

#include <LibDecision/Configuration/Backoff.h>
#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Configuration/TenantDirectory.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Turn.h>
#include <LibModel/RouteTable.h>
#include <LibModel/Settings.h>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Decision {

// Maintains the route table in force at this process. Newer tables come from the platform, or from any process whose
// messages carry a higher version, which also works while the platform is unreachable. The version never decreases.
class RouteConfiguration {
public:
    // Number of processes per availability zone that watch the platform for routes. Every call to the platform is paid
    // for, so only a few watch; the others learn of a new table from them. They must be so many that some are left while
    // others are dead, paused or turned away by the platform.
    static constexpr size_t watchersPerZone = 3;
    // Number of processes that a process tells when it puts a table in force. Each of them does the same, so that a table
    // reaches a fleet of thousands in a few rounds.
    static constexpr size_t announcementFanout = 4;
    // Maximum number of routes in one RouteTablePart.
    static constexpr size_t routesPerPart = 400;

    RouteConfiguration(RoutingMode, const MemberRecord& self, const Membership&, ProfileRegistry&);

    void start(Turn&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);
    // Returns false if the reply belongs to another component.
    bool handleReply(Turn&, const PlatformReply&);

    // Requests the route table of another process if the version in force there is higher than here.
    void requestIfNewer(Turn&, const InstanceId&, const Endpoint& control, Revision);
    // Handles RouteTableRequest and RouteTablePart; ignores other messages.
    void receive(Turn&, const Message&);
    // Puts a table in force if it is valid and newer. Returns whether it is in force now. The source is the platform or
    // an instance, for the decision event.
    bool apply(Turn&, std::shared_ptr<const RouteTable>, const std::string& source);

    bool isUsed() const { return m_mode == RoutingMode::RouteTable; }
    // Returns null if no table is in force yet.
    const RouteTable* table() const { return m_table.get(); }
    const std::shared_ptr<const RouteTable>& sharedTable() const { return m_table; }
    // The highest version that a message of another process carried; 0 if none did.
    Revision newestHeard() const { return m_newestHeard; }
    // How long the pending watch has waited; zero without one.
    Duration watchAge(Instant now) const { return m_pendingWatch ? now - m_watchStartedAt : Duration(0); }
    const TenantDirectory& tenants() const { return m_tenants; }
    // Entries of the table in force that can't be used, with the reasons.
    const std::vector<std::string>& problems() const { return m_problems; }
    Revision version() const { return m_table ? m_table->version : Revision {}; }
    const Route* find(std::string_view authority, std::string_view target) const { return m_index.find(authority, target); }

private:
    // A table that is being received in parts.
    struct IncomingTable {
        Revision version;
        std::vector<std::optional<RouteTable>> parts;
    };

    bool isWatcher() const;
    void startWatch(Turn&);
    void watchFailed(Turn&, const std::string& reason);
    void sendParts(Turn&, const Message& request) const;
    void receivePart(Turn&, const InstanceId& from, const RouteTablePart&);
    // Reads the platform because the version that was requested from another process hasn't arrived.
    void handleOverdueTable(Turn&);
    // Sends messages without contents to a few other processes. As all messages do, they carry the version in force here.
    void announce(Turn&) const;
    void explain(Turn&, DecisionKind, const std::string& peer, Revision, std::string evidence) const;

    RoutingMode m_mode;
    InstanceId m_self;
    ZoneName m_zone;
    const Membership& m_membership;
    ProfileRegistry& m_profiles;
    std::shared_ptr<const RouteTable> m_table;
    RouteIndex m_index;
    TenantDirectory m_tenants;
    std::vector<std::string> m_problems;
    std::optional<PlatformTag> m_pendingWatch;
    Instant m_watchStartedAt;
    Revision m_newestHeard;
    uint64_t m_storeIndex { 0 };
    bool m_hasSettled { false };
    // When the pending watch times out, or when to start the next one.
    std::optional<Instant> m_nextTimer;
    Backoff m_backoff;
    // The version requested from another process, and when it is overdue.
    Revision m_requestedVersion;
    std::optional<Instant> m_requestOverdueAt;
    std::optional<IncomingTable> m_incomingTable;
};

}
