#pragma once

#include <LibTransport/H2O.h>

#include <cstdint>
#include <functional>

namespace Transport {

// Tells when the peer of a connection closes its sending side or resets the connection. It looks at the state of the
// connection and reads nothing, so it also tells while bytes from before the close are still unread.
class PeerCloseWatch final {
public:
    // Calls back with the key of each connection whose peer has closed, once.
    PeerCloseWatch(h2o_evloop_t*, std::function<void(uint64_t key)>);
    ~PeerCloseWatch();
    PeerCloseWatch(const PeerCloseWatch&) = delete;
    PeerCloseWatch& operator=(const PeerCloseWatch&) = delete;

    // False if the system can't watch another connection. The watch ends when the last descriptor of the connection is
    // closed, so a key must not be used for two connections.
    [[nodiscard]] bool add(int descriptor, uint64_t key);

    // Whether the peer has closed its sending side or reset the connection by now.
    static bool isClosedByPeer(int descriptor);

private:
    void readEvents();

    std::function<void(uint64_t)> m_onClosed;
    h2o_socket_t* m_socket;
};

}
