#pragma once

#include <LibTransport/ClientExchange.h>
#include <LibTransport/EventLoopImplementation.h>
#include <LibTransport/HttpClient.h>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Transport {

struct HttpClient::Implementation {
    // A request from send() until its callback.
    struct OpenRequest {
        ClientRequest request;
        std::function<void(ClientResult)> callback;
        Instant sentAt;
        TimerId deadlineTimer { 0 };
        TimerId progressTimer { 0 };
        // Empty while the request waits for a connection.
        std::unique_ptr<ClientExchange> exchange;
        // Counts its dropConnections() calls, so that a connection from before one isn't kept.
        uint64_t generation { 0 };
    };

    // The connections to one endpoint.
    struct EndpointPool {
        uint32_t connections { 0 };
        // The most recently used one is last.
        std::vector<std::unique_ptr<ClientConnection>> idle;
        // Requests without a connection, in the order in which they came.
        std::set<ClientRequestId> waiting;
        uint64_t generation { 0 };
    };

    Implementation(EventLoop&, ClientOptions);
    ~Implementation();

    ClientRequestId send(ClientRequest, std::function<void(ClientResult)>);
    void cancel(ClientRequestId);
    void checkConnection(const Endpoint&, std::function<void()> onRefused);
    void dropConnections(const Endpoint&);

    EventLoop& loop;
    ClientOptions options;
    std::unordered_map<ClientRequestId, OpenRequest> requests;
    std::map<Endpoint, EndpointPool> pools;
    ClientCounters counters;
    ClientRequestId lastId { 0 };

private:
    // A connection that is opened only to see whether the peer takes it.
    struct ConnectionCheck {
        std::unique_ptr<ClientConnection> connection;
        TimerId timer { 0 };
    };

    void endCheck(uint64_t id, std::function<void()> callback);

    void startWaiting(const Endpoint&);
    bool tryStart(ClientRequestId, OpenRequest&, EndpointPool&);
    std::unique_ptr<ClientConnection> takeConnection(const ClientRequest&, EndpointPool&);
    std::unique_ptr<ClientConnection> takeIdle(const ClientRequest&, EndpointPool&);
    bool makeRoom(const ClientRequest&, EndpointPool&);
    void startExchange(ClientRequestId, OpenRequest&, std::unique_ptr<ClientConnection>);
    void exchangeEnded(ClientRequestId);
    void finish(ClientRequestId);
    void releaseConnection(OpenRequest&);
    void keepIdle(const Endpoint&, EndpointPool&, std::unique_ptr<ClientConnection>, Duration idleTimeout);
    void closeIdle(const Endpoint&, ClientConnection*);
    void close(EndpointPool&, std::unique_ptr<ClientConnection>);
    void deadlinePassed(ClientRequestId);
    void checkProgress(ClientRequestId);
    void removeIfEmpty(const Endpoint&);
    void cancelTimers(OpenRequest&);

    std::unordered_map<uint64_t, ConnectionCheck> m_checks;
    uint64_t m_lastCheck { 0 };
};

}
