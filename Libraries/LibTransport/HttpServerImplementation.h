#pragma once

#include <LibTransport/ConnectionMonitor.h>
#include <LibTransport/EventLoopImplementation.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/PeerCloseWatch.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Transport {

// A caller's connection. The library owns the socket; this lives until the socket closes.
struct ServerConnection {
    HttpServer::Implementation* server { nullptr };
    h2o_socket_t* socket { nullptr };
    uint64_t key { 0 };
    // The HTTP/1 request that waits for its answer; 0 if none does.
    ServerRequestId waitingRequest { 0 };
    // A second descriptor of a connection whose peer may still be sending; -1 if not needed.
    int lingerDescriptor { -1 };
    ConnectionState state;
};

// Lies in the library's memory pool of a request, and so ends with it.
struct RequestAnchor {
    HttpServer::Implementation* server { nullptr };
    ServerRequestId id { 0 };
    // The answer's body, which the library sends from here.
    std::string body;
    uint64_t connectionKey { 0 };
    bool isAnswered { false };
    uint64_t unsentBytes { 0 };
    std::shared_ptr<Reservation> reservation;
};

struct PendingRequest {
    h2o_req_t* request { nullptr };
    RequestAnchor* anchor { nullptr };
    // Set for HTTP/1 only.
    ServerConnection* connection { nullptr };
};

// Owns the library's server context, which must outlive the last connection, even if the HttpServer is gone by then.
struct HttpServer::Implementation final : Retired {
    Implementation(EventLoop&, HttpServerOptions);
    ~Implementation() override;

    bool isFinished() const override { return connections.empty(); }

    void listen();
    void acceptConnections();
    void closeListener();
    void closeConnections();
    void stopAccepting();

    // Called by the library.
    int handle(h2o_req_t*);
    void replaceEntityTooLarge(h2o_req_t*, h2o_ostream_t** slot);
    void connectionClosed(ServerConnection*);
    void requestDisposed(ServerRequestId);
    // Gives back what answers on the connection have reserved, before the library ends them.
    void releaseUnsent(const ServerConnection&);

    void respond(ServerRequestId, HttpResponse);
    void cut(ServerRequestId, HttpResponse, size_t bodyBytes);

    EventLoop& loop;
    HttpServerOptions options;
    h2o_globalconf_t config {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t* listener { nullptr };
    TimerId acceptTimer { 0 };
    Endpoint endpoint;
    std::unordered_map<ServerRequestId, PendingRequest> requests;
    std::unordered_map<uint64_t, ServerConnection*> connections;
    uint64_t lastConnectionKey { 0 };
    PeerCloseWatch peerCloses;
    ServerRequestId lastId { 0 };
    // Requests that are being answered or will be, with those whose answer is still being written.
    size_t openExchanges { 0 };
    // Connections that are closed but for what their peers still send.
    std::shared_ptr<size_t> lingering { std::make_shared<size_t>(0) };
    // Connections that will linger once they close.
    size_t pendingLingers { 0 };
    bool closesAfterAnswers { false };
    // False once the HttpServer is gone: its callbacks are no longer called.
    bool hasOwner { true };
    // Answers that are being written.
    std::unordered_set<RequestAnchor*> writing;
    std::unique_ptr<ConnectionMonitor> monitor;

private:
    void registerHandlers();
    void startAccepting();
    void pauseAccepting();
    void adopt(h2o_socket_t*);
    RequestAnchor* anchorFor(h2o_req_t*, ServerRequestId);
    void peerClosed(uint64_t connectionKey);
    void lingerAfterClose(ServerConnection&);
    std::optional<PendingRequest> take(ServerRequestId);
    void abandon(ServerConnection&);
    void endUnanswered(ServerConnection&);
    void beginAnswer(const PendingRequest&, HttpResponse&);
    HttpResponse bodyTooLarge() const;
    HttpResponse noMemory() const;
};

}
