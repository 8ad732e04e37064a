#pragma once

#include <LibModel/Endpoint.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace TransportTests {

// A connection as a raw server sees it, on the server's own thread.
class RawConnection {
public:
    explicit RawConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    // Reads until the end of a head; gives an empty text if the peer closed before.
    std::string readHead();
    // Returns false if the peer has closed.
    bool write(const std::string&);
    // Reads at most so many bytes of what there is; gives how many came, 0 once the peer closed.
    size_t readSome(size_t);
    // Makes the coming close a reset.
    void resetOnClose();
    // Drops whatever the peer's machine sends from now on, so that nothing more is acknowledged.
    void fallSilent();
    // Waits until the peer closes.
    void waitForClose();

private:
    int m_descriptor;
};

// A TCP server on a thread of its own that runs a script for each connection, one after the other.
class RawServer {
public:
    using Script = std::function<void(RawConnection&)>;

    explicit RawServer(Script);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    Model::Endpoint endpoint() const { return m_endpoint; }
    int acceptedConnections() const { return m_accepted; }

private:
    void serve();

    Script m_script;
    Model::Endpoint m_endpoint;
    int m_listener;
    std::atomic<int> m_accepted { 0 };
    std::atomic<int> m_current { -1 };
    std::atomic<bool> m_isStopped { false };
    std::thread m_thread;
};

// Gives a loopback endpoint on which nobody listens.
Model::Endpoint unusedEndpoint();

}
