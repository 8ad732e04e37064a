#include <LibTransport/LingeringClose.h>

#include <LibTransport/SocketBuffer.h>

#include <utility>

namespace Transport {

static constexpr Duration longestLinger = 5s;
static constexpr uint64_t maximumDroppedBytes = 64u << 20;

LingeringClose::LingeringClose(EventLoop& loop, h2o_evloop_t* evloop, int descriptor, std::shared_ptr<size_t> count)
    : m_loop(loop)
    , m_count(std::move(count))
    , m_socket(h2o_evloop_socket_create(evloop, descriptor, 0))
    , m_timeout(loop.callAt(loop.now() + longestLinger, [this] { m_isFinished = true; }))
{
    ++*m_count;
    shutdown(descriptor, SHUT_WR);
    m_socket->data = this;
    h2o_socket_read_start(m_socket, [](h2o_socket_t* socket, const char* error) {
        static_cast<LingeringClose*>(socket->data)->onReadable(error);
    });
}

LingeringClose::~LingeringClose()
{
    --*m_count;
    m_loop.cancelTimer(m_timeout);
    h2o_socket_close(m_socket);
}

void LingeringClose::onReadable(const char* error)
{
    m_droppedBytes += m_socket->input->size;
    h2o_buffer_consume(&m_socket->input, m_socket->input->size);
    shrinkEmptyBuffer(m_socket->input);
    if (!error && m_droppedBytes < maximumDroppedBytes)
        return;
    m_isFinished = true;
    h2o_socket_read_stop(m_socket);
}

}
