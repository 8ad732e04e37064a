#pragma once

// Blocking HTTP/1.1 over loopback for the stand-ins of this review's cases.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port { 0 };

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocket(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

// A port that was free a moment ago.
inline int freePort(const std::string& ip)
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    auto address = toSocket({ ip, 0 });
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return 0;
    }
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    close(descriptor);
    return ntohs(address.sin_port);
}

inline int listenOn(const Address& at)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = toSocket(at);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(descriptor, 512) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        }
        return {};
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

// One connection; a message at a time.
class Stream {
public:
    explicit Stream(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    ~Stream() { end(); }

    bool connect(const Address& to, const std::string& from = {})
    {
        end();
        m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (!from.empty()) {
            auto source = toSocket({ from, 0 });
            bind(m_descriptor, reinterpret_cast<sockaddr*>(&source), sizeof(source));
        }
        int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto address = toSocket(to);
        if (::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return true;
        end();
        return false;
    }

    bool isOpen() const { return m_descriptor != -1; }
    int descriptor() const { return m_descriptor; }

    void end()
    {
        if (m_descriptor != -1)
            close(m_descriptor);
        m_descriptor = -1;
        m_input.clear();
    }

    bool write(std::string_view text) const
    {
        while (!text.empty()) {
            auto count = send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            text.remove_prefix(static_cast<size_t>(count));
        }
        return true;
    }

    // Reads one message. Gives nothing at the end, on an error, or at the deadline.
    std::optional<Message> read(Clock::time_point deadline)
    {
        Message message;
        size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return std::nullopt;
        }
        std::string_view head(m_input.data(), end);
        auto lineEnd = head.find("\r\n");
        message.startLine = std::string(head.substr(0, lineEnd));
        while (lineEnd != std::string_view::npos) {
            head.remove_prefix(lineEnd + 2);
            lineEnd = head.find("\r\n");
            auto line = head.substr(0, lineEnd);
            auto colon = line.find(':');
            if (colon == std::string_view::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
            message.headers.emplace_back(std::string(line.substr(0, colon)), std::string(value));
        }
        m_input.erase(0, end + 4);
        auto length = message.header("content-length");
        size_t bytes = length.empty() ? 0 : std::stoull(length);
        m_input.reserve(bytes);
        while (m_input.size() < bytes) {
            if (!fill(deadline))
                return std::nullopt;
        }
        message.body = m_input.substr(0, bytes);
        m_input.erase(0, bytes);
        return message;
    }

    // Whether the peer has closed; doesn't wait.
    bool isClosedByPeer() const
    {
        char byte = 0;
        auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    bool fill(Clock::time_point deadline)
    {
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd entry { m_descriptor, POLLIN, 0 };
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        std::string piece(1 << 16, '\0');
        auto count = recv(m_descriptor, piece.data(), piece.size(), 0);
        if (count <= 0)
            return false;
        m_input.append(piece.data(), static_cast<size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_input;
};

inline std::string formatResponse(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}
