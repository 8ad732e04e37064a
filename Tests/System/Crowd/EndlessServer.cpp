#include <Tests/System/Crowd/EndlessServer.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace CrowdTests {

static constexpr int longestQueue = 128;
static constexpr size_t bytesPerChunk = 1u << 15;
static constexpr uint64_t bytesPerCall = 1u << 20;

static const std::string& answerHead()
{
    static const std::string head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    return head;
}

static const std::string& answerChunk()
{
    static const std::string chunk = "8000\r\n" + std::string(bytesPerChunk, 'x') + "\r\n";
    return chunk;
}

EndlessServer::EndlessServer(uint64_t bytesPerAnswer)
    : m_bytesPerAnswer(bytesPerAnswer)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_port(freePort())
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(m_listener, longestQueue);
}

EndlessServer::~EndlessServer()
{
    std::ranges::for_each(m_connections, close, &Connection::descriptor);
    close(m_listener);
}

void EndlessServer::accept()
{
    for (int descriptor = 0; (descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1;)
        m_connections.push_back({ descriptor });
}

bool EndlessServer::serve(Connection& connection) const
{
    std::array<char, 4096> request {};
    auto count = recv(connection.descriptor, request.data(), request.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN))
        return false;
    connection.hasRequest = connection.hasRequest || count > 0;
    if (!connection.hasRequest)
        return true;
    for (uint64_t inCall = 0; inCall < bytesPerCall && connection.sentBytes < m_bytesPerAnswer;) {
        auto bodyOffset = connection.sentBytes - answerHead().size();
        bool isInHead = connection.sentBytes < answerHead().size();
        auto rest = isInHead ? std::string_view(answerHead()).substr(connection.sentBytes) : std::string_view(answerChunk()).substr(bodyOffset % answerChunk().size());
        auto sent = send(connection.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return errno == EAGAIN;
        connection.sentBytes += sent;
        inCall += sent;
    }
    return true;
}

void EndlessServer::serve()
{
    accept();
    std::erase_if(m_connections, [this](Connection& connection) {
        bool goesOn = serve(connection);
        if (!goesOn)
            close(connection.descriptor);
        return !goesOn;
    });
}

}
