#pragma once

#include <Tests/System/Crowd/Crowd.h>

#include <vector>

namespace CrowdTests {

// A backend server that answers each request with chunks until its bound, and never ends the answer.
class EndlessServer {
public:
    explicit EndlessServer(uint64_t bytesPerAnswer);
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    uint16_t port() const { return m_port; }
    // Takes new connections and sends what the open ones take, without waiting.
    void serve();

private:
    struct Connection {
        int descriptor { -1 };
        bool hasRequest { false };
        uint64_t sentBytes { 0 };
    };

    void accept();
    // Says whether the connection goes on.
    bool serve(Connection&) const;

    uint64_t m_bytesPerAnswer;
    int m_listener;
    uint16_t m_port;
    std::vector<Connection> m_connections;
};

}
