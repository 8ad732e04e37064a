#pragma once

#include <LibModel/EnumNames.h>
#include <LibTransport/HttpServer.h>
#include <Tests/StandIns/KeyValueStore.h>

#include <cstdint>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace StandIns {

enum class PlatformMode {
    Up,
    // Connections are refused.
    Refusing,
    // Requests get no answer and take no effect.
    Hanging,
    // Reads and watches get no answer; writes take effect and are confirmed.
    SilentReads,
};

struct PlatformFaults {
    PlatformMode mode { PlatformMode::Up };
    // Each request waits this long before it is looked at.
    Duration delay { 0 };
    // So many further writes take effect, but their reply is lost.
    uint32_t lostReplies { 0 };
};

// Calls by kind, as the platform's bill counts them; a watch counts once, however long it waits.
struct PlatformCounters {
    uint64_t reads { 0 };
    uint64_t watches { 0 };
    uint64_t writes { 0 };
    uint64_t sessionCalls { 0 };
};

// Stands in for the platform's key-value service. Speaks Consul's HTTP API for keys and sessions:
// https://developer.hashicorp.com/consul/api-docs/kv and https://developer.hashicorp.com/consul/api-docs/session
//
// Its own endpoint takes faults: PUT /standin/fault {"mode": "up|refusing|hanging|silent-reads", "delay_ms": n, "lost_replies": n},
// PUT /standin/expire-leases, PUT /standin/snapshot, PUT /standin/restore, GET /standin/counters.
class StandInPlatform {
public:
    StandInPlatform(Transport::EventLoop&, const Endpoint& listen, const Endpoint& admin);
    ~StandInPlatform();
    StandInPlatform(const StandInPlatform&) = delete;
    StandInPlatform& operator=(const StandInPlatform&) = delete;

    Endpoint endpoint() const { return m_endpoint; }
    Endpoint adminEndpoint() const { return m_admin->endpoint(); }
    const PlatformCounters& counters() const { return m_counters; }
    KeyValueStore& store() { return m_store; }
    size_t waitingWatches() const { return m_watches.size(); }

    void setFaults(const PlatformFaults&);
    void expireLeases();
    // Remembers the data as they are, for restoreSnapshot().
    void takeSnapshot();
    void restoreSnapshot();

private:
    struct Watch {
        std::string prefix;
        uint64_t index { 0 };
        Transport::TimerId timer { 0 };
    };

    void listen();
    void receive(Transport::ServerRequestId, Transport::HttpRequest);
    void handle(Transport::ServerRequestId, const Transport::HttpRequest&);
    void handleRead(Transport::ServerRequestId, const Transport::HttpRequest&, const std::string& key);
    Transport::HttpResponse handleWrite(const Transport::HttpRequest&, const std::string& key);
    Transport::HttpResponse handleSession(const Transport::HttpRequest&, const std::string& path);
    Transport::HttpResponse handleAdmin(const Transport::HttpRequest&);
    Transport::HttpResponse listing(const std::string& prefix) const;
    void answerWrite(Transport::ServerRequestId, Transport::HttpResponse);
    void answerWatch(Transport::ServerRequestId);
    void wakeWatches();
    void expireSessions();
    void dropWatches();

    Transport::EventLoop& m_loop;
    Endpoint m_endpoint;
    std::unique_ptr<Transport::HttpServer> m_server;
    std::unique_ptr<Transport::HttpServer> m_admin;
    KeyValueStore m_store;
    std::optional<KeyValueStore> m_snapshot;
    PlatformFaults m_faults;
    PlatformCounters m_counters;
    std::unordered_map<Transport::ServerRequestId, Watch> m_watches;
    std::unordered_map<Transport::ServerRequestId, Transport::TimerId> m_delayed;
    Transport::TimerId m_expiryTimer { 0 };
};

}

template <>
struct Model::EnumNames<StandIns::PlatformMode> {
    static constexpr std::array entries {
        EnumName { StandIns::PlatformMode::Up, "up" },
        EnumName { StandIns::PlatformMode::Refusing, "refusing" },
        EnumName { StandIns::PlatformMode::Hanging, "hanging" },
        EnumName { StandIns::PlatformMode::SilentReads, "silent-reads" },
    };
};
