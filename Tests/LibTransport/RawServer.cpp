#include <Tests/LibTransport/RawServer.h>

#include <arpa/inet.h>
#include <array>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace TransportTests {

static int listenOnLoopback(Model::Endpoint& endpoint)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(descriptor, SOMAXCONN) != 0)
        throw std::runtime_error("can't listen on loopback");
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    return descriptor;
}

std::string RawConnection::readHead()
{
    std::string head;
    char byte = 0;
    while (!head.ends_with("\r\n\r\n")) {
        if (recv(m_descriptor, &byte, 1, 0) <= 0)
            return {};
        head += byte;
    }
    return head;
}

bool RawConnection::write(const std::string& text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        auto result = send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (result <= 0)
            return false;
        sent += result;
    }
    return true;
}

size_t RawConnection::readSome(size_t maximum)
{
    std::string buffer(maximum, '\0');
    auto result = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    return result > 0 ? result : 0;
}

void RawConnection::resetOnClose()
{
    linger option { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void RawConnection::fallSilent()
{
    sock_filter dropAll { BPF_RET | BPF_K, 0, 0, 0 };
    sock_fprog program { 1, &dropAll };
    if (setsockopt(m_descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
        throw std::runtime_error("can't make the connection silent");
}

void RawConnection::waitForClose()
{
    std::array<char, 4096> buffer {};
    while (recv(m_descriptor, buffer.data(), buffer.size(), 0) > 0) { }
}

RawServer::RawServer(Script script)
    : m_script(std::move(script))
    , m_listener(listenOnLoopback(m_endpoint))
    , m_thread([this] { serve(); })
{
}

RawServer::~RawServer()
{
    m_isStopped = true;
    shutdown(m_listener, SHUT_RDWR);
    if (int current = m_current; current != -1)
        shutdown(current, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

void RawServer::serve()
{
    while (!m_isStopped) {
        int descriptor = accept(m_listener, nullptr, nullptr);
        if (descriptor == -1)
            return;
        m_current = descriptor;
        ++m_accepted;
        RawConnection connection(descriptor);
        if (!m_isStopped)
            m_script(connection);
        m_current = -1;
        close(descriptor);
    }
}

Model::Endpoint unusedEndpoint()
{
    Model::Endpoint endpoint;
    close(listenOnLoopback(endpoint));
    return endpoint;
}

}
