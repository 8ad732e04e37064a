#pragma once

#include <LibModel/Endpoint.h>
#include <LibModel/Time.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/H2O.h>

#include <functional>
#include <optional>
#include <span>

namespace Transport {

// One connection of the client, on the library's sockets. Its callbacks may destroy it.
class ClientConnection {
public:
    // With a silence timeout, the connection ends once the peer's machine has acknowledged nothing for that time, although
    // it was probed. Throws Error if the address is no IP number.
    ClientConnection(h2o_loop_t*, const Endpoint&, std::optional<Duration> silenceTimeout);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Calls back with an error, or with nullptr once the connection is open. Gives false if it can't even begin.
    bool connect(std::function<void(const char* error)>);
    bool isConnected() const { return m_isConnected; }
    void close();

    // Sends the buffers, which must stay in place until the callback.
    void write(std::span<h2o_iovec_t>, std::function<void(const char* error)>);
    // Calls back whenever bytes came or the connection ended, until stopReading().
    void startReading(std::function<void(const char* error)>);
    void stopReading();

    // The bytes that came and weren't consumed yet.
    std::span<char> input();
    void consume(size_t);
    // How many bytes the last callback of startReading() brought.
    size_t newBytes() const { return m_socket->bytes_read; }

    // Says whether the connection is still open and nothing came on it unasked.
    bool isQuiet() const;
    // How many sent bytes the peer's kernel has acknowledged, and how long ago it last did.
    struct Acknowledged {
        uint64_t bytes { 0 };
        Duration age { 0 };
    };
    Acknowledged acknowledged() const;

    Instant lastAnswer {};
    TimerId idleTimer { 0 };

private:
    void probeWhileSilent(Duration timeout);

    static ClientConnection& of(h2o_socket_t* socket) { return *static_cast<ClientConnection*>(socket->data); }

    h2o_loop_t* m_loop;
    Endpoint m_endpoint;
    std::optional<Duration> m_silenceTimeout;
    h2o_socket_t* m_socket { nullptr };
    bool m_isConnected { false };
    std::function<void(const char*)> m_onConnect;
    std::function<void(const char*)> m_onWritten;
    std::function<void(const char*)> m_onReadable;
};

}
