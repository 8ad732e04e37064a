#pragma once

#include <LibTransport/EventLoopImplementation.h>

namespace Transport {

// Ends a connection whose peer may still be sending: closes the sending side, and reads and drops what
// comes until the peer closes too. A plain close would reset the connection, and the peer could lose the answer.
// https://www.rfc-editor.org/rfc/rfc9112#section-9.6
class LingeringClose final : public Retired {
public:
    // Takes over a descriptor of the connection. The count holds one for this connection as long as it lingers.
    LingeringClose(EventLoop&, h2o_evloop_t*, int descriptor, std::shared_ptr<size_t> count);
    ~LingeringClose() override;

    bool isFinished() const override { return m_isFinished; }

private:
    void onReadable(const char* error);

    EventLoop& m_loop;
    std::shared_ptr<size_t> m_count;
    h2o_socket_t* m_socket;
    uint64_t m_droppedBytes { 0 };
    bool m_isFinished { false };
    TimerId m_timeout;
};

}
