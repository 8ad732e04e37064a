#pragma once

#include <LibModel/Endpoint.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Time.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Transport {

using ClientRequestId = uint64_t;

enum class ClientStatus {
    // The whole answer arrived.
    Answered,
    // No byte of the request was sent.
    NotSent,
    // The connection ended before the whole answer arrived.
    Cut,
    // The answer broke the protocol or its length limit.
    Malformed,
    // The deadline passed.
    TimedOut,
    // Nothing moved on the connection for the progress timeout.
    Silent,
    // This process had no memory for the answer.
    NoMemory,
};

}

template <>
struct Model::EnumNames<Transport::ClientStatus> {
    static constexpr std::array entries {
        EnumName { Transport::ClientStatus::Answered, "answered" },
        EnumName { Transport::ClientStatus::NotSent, "not-sent" },
        EnumName { Transport::ClientStatus::Cut, "cut" },
        EnumName { Transport::ClientStatus::Malformed, "malformed" },
        EnumName { Transport::ClientStatus::TimedOut, "timed-out" },
        EnumName { Transport::ClientStatus::Silent, "silent" },
        EnumName { Transport::ClientStatus::NoMemory, "no-memory" },
    };
};

namespace Transport {

struct ClientRequest {
    Endpoint to;
    // Method, target, headers and body count; the other fields are ignored. Host is the authority, or the endpoint if empty.
    HttpRequest request;
    // Its body is sent instead, if set, so that a long one needn't be copied.
    std::shared_ptr<const HttpRequest> bodyOf;
    // From now until the whole answer is here.
    Duration deadline { std::chrono::seconds(30) };
    // Longest time without any byte moving; zero means the deadline alone.
    Duration progressTimeout { 0 };
    // Uses only a connection that is new or answered something within the proven time.
    bool needsProvenConnection { false };
    // Uses only a connection that is new.
    bool needsNewConnection { false };
    // Connections to the endpoint; further requests wait for one, within their deadline.
    uint32_t maximumConnections { 64 };
    Duration idleConnectionTimeout { std::chrono::seconds(30) };
    uint64_t maximumAnswerBytes { 8u << 20 };
};

struct ClientResult {
    ClientStatus status { ClientStatus::NotSent };
    HttpResponse response;
    Duration elapsed { 0 };
    bool wasFreshConnection { true };
    // What went wrong; empty if answered.
    std::string error;
};

struct ClientCounters {
    uint64_t connectionsOpened { 0 };
    uint64_t connectionsReused { 0 };
    uint64_t connectionsOpen { 0 };
    uint64_t cohortsDropped { 0 };
    uint64_t bytesSent { 0 };
    uint64_t bytesReceived { 0 };
};

// A probed connection counts as broken if its peer's machine hasn't acknowledged anything for this time.
constexpr Duration silenceTimeout = std::chrono::seconds(2);

struct ClientOptions {
    // Whether the kernel probes connections on which nothing moves. A connection that something on the way has forgotten
    // then ends within silenceTimeout, also while a request waits on it for longer. The peer's program notices nothing.
    bool probesConnections { false };
    // The account for answers that are read; no limit if empty. Answers that don't fit are read on once there is room.
    std::shared_ptr<MemoryBudget> memory;
};

// Sends HTTP/1.1 requests by h2o, on pooled connections, and hands answers over whole.
// It never sends a request twice by itself.
class HttpClient {
public:
    explicit HttpClient(EventLoop&, ClientOptions = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Calls back exactly once unless cancelled, never from within send(). Throws Error if the endpoint's address is no IP number.
    ClientRequestId send(ClientRequest, std::function<void(ClientResult)>);
    // Closes the request's connection; its callback is not called.
    void cancel(ClientRequestId);
    // Opens a connection apart from the pool and closes it at once. Calls back only if the peer refuses it.
    void checkConnection(const Endpoint&, std::function<void()> onRefused);
    // Closes idle connections to the endpoint and lets none of those in use be used again.
    void dropConnections(const Endpoint&);

    const ClientCounters& counters() const;
    size_t openRequests() const;

    // Declared in the library's own sources.
    struct Implementation;

private:
    std::unique_ptr<Implementation> m_implementation;
};

}
