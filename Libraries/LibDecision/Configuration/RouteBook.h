#pragma once

#include <LibDecision/Configuration/Backoff.h>
#include <LibDecision/Configuration/ProfileBook.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Turn.h>
#include <LibModel/RouteTable.h>
#include <LibModel/Settings.h>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Decision {

// The route table in force at this process, and where newer ones come from: the platform, and while it can't be
// asked, any process that mentions a higher version. Versions only grow.
class RouteBook {
public:
    // Processes of each zone that watch the platform for routes. At 15 zones and three changes a second they stay
    // below the 2,000 reads a second that the platform allows.
    static constexpr size_t watchersPerZone = 40;
    // Routes in one message between processes.
    static constexpr size_t routesPerPart = 400;

    RouteBook(RoutingMode, const MemberRecord& self, const Membership&, ProfileBook&);

    void start(Turn&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);
    // Returns false if the reply belongs to another part.
    bool handleReply(Turn&, const PlatformReply&);

    // The sender of a message or an answer has this version in force.
    void hear(Turn&, const InstanceId&, const Endpoint& control, Revision);
    // Handles RouteTableRequest and RouteTablePart; ignores other messages.
    void receive(Turn&, const Message&);
    // Takes a table if it is newer. Returns true if it is now in force.
    bool apply(Turn&, std::shared_ptr<const RouteTable>, const std::string& source);

    bool isUsed() const { return m_mode == RoutingMode::RouteTable; }
    // Gives nothing if no table is in force yet.
    const RouteTable* table() const { return m_table.get(); }
    Revision version() const { return m_table ? m_table->version : Revision {}; }
    const Route* find(std::string_view authority, std::string_view target) const { return m_index.find(authority, target); }

private:
    // A table that arrives in parts.
    struct Incoming {
        InstanceId from;
        Revision version;
        std::vector<std::optional<RouteTable>> parts;
    };

    bool isWatcher() const;
    void watch(Turn&);
    void failed(Turn&);
    void send(Turn&, const Message& request) const;
    void take(Turn&, const InstanceId& from, const RouteTablePart&);
    void explain(Turn&, DecisionKind, const std::string& peer, Revision, std::string evidence) const;

    RoutingMode m_mode;
    InstanceId m_self;
    ZoneName m_zone;
    const Membership& m_membership;
    ProfileBook& m_profiles;
    std::shared_ptr<const RouteTable> m_table;
    RouteIndex m_index;
    std::optional<PlatformTag> m_waiting;
    uint64_t m_storeIndex { 0 };
    // The watch gives up, or begins again.
    std::optional<Instant> m_next;
    Backoff m_backoff;
    std::optional<Instant> m_askedAt;
    std::optional<Incoming> m_incoming;
};

}
