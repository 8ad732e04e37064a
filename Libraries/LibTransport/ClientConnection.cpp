#include <LibTransport/ClientConnection.h>

#include <LibTransport/SocketAddress.h>
#include <LibTransport/SocketBuffer.h>

#include <cerrno>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <utility>

namespace Transport {

ClientConnection::ClientConnection(h2o_loop_t* loop, const Endpoint& endpoint, std::optional<Duration> silenceTimeout)
    : m_loop(loop)
    , m_endpoint(endpoint)
    , m_silenceTimeout(silenceTimeout)
{
}

ClientConnection::~ClientConnection() { close(); }

bool ClientConnection::connect(std::function<void(const char*)> callback)
{
    auto address = toSocketAddress(m_endpoint);
    m_onConnect = std::move(callback);
    m_socket = h2o_socket_connect(m_loop, address.get(), address.length, [](h2o_socket_t* socket, const char* error) {
        auto& self = of(socket);
        self.m_isConnected = !error;
        auto onConnect = std::move(self.m_onConnect);
        onConnect(error);
    });
    if (!m_socket)
        return false;
    m_socket->data = this;
    if (m_silenceTimeout)
        probeWhileSilent(*m_silenceTimeout);
    return true;
}

void ClientConnection::probeWhileSilent(Duration timeout)
{
    auto set = [descriptor = h2o_socket_get_fd(m_socket)](int level, int option, int value) {
        setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    constexpr int probeIntervalSeconds = 1;
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probeIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, static_cast<int>(timeout / std::chrono::seconds(probeIntervalSeconds)) - 1);
    // Holds also for bytes that were sent and not acknowledged, which the kernel doesn't probe.
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout / std::chrono::milliseconds(1)));
}

void ClientConnection::close()
{
    m_isConnected = false;
    if (auto* socket = std::exchange(m_socket, nullptr))
        h2o_socket_close(socket);
}

void ClientConnection::write(std::span<h2o_iovec_t> buffers, std::function<void(const char*)> callback)
{
    m_onWritten = std::move(callback);
    h2o_socket_write(m_socket, buffers.data(), buffers.size(), [](h2o_socket_t* socket, const char* error) {
        auto onWritten = std::move(of(socket).m_onWritten);
        onWritten(error);
    });
}

void ClientConnection::startReading(std::function<void(const char*)> callback)
{
    m_onReadable = std::move(callback);
    h2o_socket_read_start(m_socket, [](h2o_socket_t* socket, const char* error) {
        // A copy, since the callback may replace the function or destroy the connection.
        auto onReadable = of(socket).m_onReadable;
        onReadable(error);
    });
}

void ClientConnection::stopReading()
{
    if (m_socket)
        h2o_socket_read_stop(m_socket);
}

std::span<char> ClientConnection::input() { return { m_socket->input->bytes, m_socket->input->size }; }

void ClientConnection::consume(size_t count)
{
    h2o_buffer_consume(&m_socket->input, count);
    shrinkEmptyBuffer(m_socket->input);
}

bool ClientConnection::isQuiet() const
{
    char byte = 0;
    return recv(h2o_socket_get_fd(m_socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ClientConnection::Acknowledged ClientConnection::acknowledged() const
{
    tcp_info information {};
    socklen_t length = sizeof(information);
    if (!m_socket || getsockopt(h2o_socket_get_fd(m_socket), IPPROTO_TCP, TCP_INFO, &information, &length) != 0)
        return {};
    return { information.tcpi_bytes_acked, std::chrono::milliseconds(information.tcpi_last_ack_recv) };
}

}
