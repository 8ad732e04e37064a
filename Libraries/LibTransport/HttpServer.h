#pragma once

#include <LibModel/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>
#include <LibTransport/MemoryBudget.h>
#include <LibTransport/ServerLimits.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Transport {

using ServerRequestId = uint64_t;

struct HttpServerOptions {
    // Port 0 takes any free port.
    Endpoint listen;
    // Larger requests get onBodyTooLarge's answer and never reach onRequest. An HTTP/2 peer whose request is larger
    // by more than a megabyte gets REFUSED_STREAM instead, which also says that nothing was run.
    uint64_t maximumBodyBytes { 1u << 20 };
    std::function<void(ServerRequestId, HttpRequest)> onRequest;
    // The peer closed or reset the stream of a request that isn't answered yet.
    std::function<void(ServerRequestId)> onRequestGone;
    // Makes the 413 answer; a plain one if empty.
    std::function<HttpResponse()> onBodyTooLarge;
    // The account for what connections hold; nothing is refused for its sake if empty.
    std::shared_ptr<MemoryBudget> memory;
    // Makes the 503 answer to a request whose body doesn't fit into the budget; a plain one if empty.
    std::function<HttpResponse()> onNoMemory;
    // Asked once a second for the limits in force; those of maximumBodyBytes and the defaults if empty.
    std::function<ServerLimits()> limits;
    // Connections open at once; 0 for any number. At the limit, unused ones are closed for new ones.
    size_t maximumConnections { 0 };
    // Names the account in what onConnectionEnd gets; lower case.
    std::string accountHeader;
    // A connection was closed, or a request refused, to keep a limit.
    std::function<void(const ConnectionEnd&)> onConnectionEnd;
};

// Serves HTTP/1.1 and HTTP/2 (prior knowledge) by h2o. Requests are handed over whole.
class HttpServer {
public:
    // Throws Error if the endpoint can't be listened on.
    HttpServer(EventLoop&, HttpServerOptions);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Answers a request; does nothing if the peer is gone.
    void respond(ServerRequestId, HttpResponse);

    // Sends the answer's head and the first bytes of its body, and then ends the connection or stream, so that
    // the peer can tell that the answer isn't whole. Without bytes of the body, nothing is sent at all.
    void cut(ServerRequestId, HttpResponse, size_t bodyBytes);

    // The endpoint with the port in use.
    Endpoint endpoint() const;
    size_t openRequests() const;
    // Whether a request is unanswered, or an answer hasn't been handed to the system whole.
    bool hasUnwrittenAnswers() const;
    // Connections that this side has closed after an answer, and whose peers haven't yet.
    size_t lingeringConnections() const;
    size_t openConnections() const;
    // How many connections were closed and requests refused for the reason.
    uint64_t ends(ConnectionEndReason) const;

    // Goes on taking connections, but ends each one after its next answer.
    void closeAfterAnswers();

    // Takes no new connection, and lets each connection end after its current request.
    void stopAccepting();

    // Declared in the library's own sources.
    struct Implementation;

private:
    std::unique_ptr<Implementation> m_implementation;
};

}
