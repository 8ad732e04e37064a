#pragma once

#include <review/harness/Record.h>

#include <algorithm>

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

// Blocking HTTP/1.1 over TCP for stand-ins.
namespace Review {

inline sockaddr_in addressOf(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A blocking TCP connection.
class Connection {
public:
    Connection() = default;
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Connection(Connection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    Connection& operator=(Connection&& other) noexcept
    {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    ~Connection() { close(); }

    static Connection open(const std::string& fromIp, const std::string& ip, uint16_t port, int receiveBuffer = 0, int segmentBytes = 0)
    {
        Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (receiveBuffer)
            setsockopt(connection.m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        if (segmentBytes)
            setsockopt(connection.m_descriptor, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
        auto from = addressOf(fromIp, 0);
        if (bind(connection.m_descriptor, reinterpret_cast<sockaddr*>(&from), sizeof(from)) != 0)
            return {};
        auto to = addressOf(ip, port);
        if (connect(connection.m_descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0)
            return {};
        int on = 1;
        setsockopt(connection.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return connection;
    }

    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }
    // Closes with a reset.
    void reset()
    {
        linger option { 1, 0 };
        if (m_descriptor >= 0)
            setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    bool send(const std::string& text)
    {
        size_t sent = 0;
        while (sent < text.size()) {
            auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += count;
        }
        return true;
    }

    // Reads more bytes into the buffer. Returns false at the end, after an error, or at the deadline.
    bool receiveMore(Clock::time_point deadline, size_t most = 65536)
    {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry { m_descriptor, POLLIN, 0 };
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        std::vector<char> bytes(most);
        auto count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            m_end = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        m_buffer.append(bytes.data(), count);
        return true;
    }

    std::string& buffer() { return m_buffer; }
    // How the connection ended; empty while it is open.
    const std::string& end() const { return m_end; }

private:
    int m_descriptor { -1 };
    std::string m_buffer;
    std::string m_end;
};

struct Message {
    // The request line or status line.
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;
    bool isWhole { false };

    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string header(const std::string& name) const
    {
        auto entry = headers.find(name);
        return entry == headers.end() ? "" : entry->second;
    }
};

inline std::string lowerCase(std::string text)
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

// Reads one HTTP/1.1 message, framed by its length or in chunks.
inline Message readMessage(Connection& connection, Clock::time_point deadline, size_t most = 65536)
{
    Message message;
    auto& buffer = connection.buffer();
    size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!connection.receiveMore(deadline, most))
            return message;
    }
    auto head = buffer.substr(0, headEnd);
    buffer.erase(0, headEnd + 4);
    auto lineEnd = head.find("\r\n");
    message.start = head.substr(0, lineEnd);
    while (lineEnd != std::string::npos) {
        auto begin = lineEnd + 2;
        lineEnd = head.find("\r\n", begin);
        auto line = head.substr(begin, lineEnd == std::string::npos ? std::string::npos : lineEnd - begin);
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        message.headers[lowerCase(line.substr(0, colon))] = value;
    }
    if (lowerCase(message.header("transfer-encoding")) == "chunked") {
        while (true) {
            size_t end = 0;
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (!connection.receiveMore(deadline, most))
                    return message;
            }
            auto size = std::strtoull(buffer.c_str(), nullptr, 16);
            buffer.erase(0, end + 2);
            while (buffer.size() < size + 2) {
                if (!connection.receiveMore(deadline, most))
                    return message;
            }
            message.body += buffer.substr(0, size);
            buffer.erase(0, size + 2);
            if (size == 0)
                break;
        }
    } else {
        size_t length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
        while (buffer.size() < length) {
            if (!connection.receiveMore(deadline, most)) {
                message.body = buffer;
                return message;
            }
        }
        message.body = buffer.substr(0, length);
        buffer.erase(0, length);
    }
    message.isWhole = true;
    return message;
}

// Accepts connections on a thread and serves each on a thread of its own.
class Listener {
public:
    using Handler = std::function<void(Connection&)>;

    Listener(std::string ip, uint16_t port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {
        open();
    }
    ~Listener() { close(); }

    void open()
    {
        std::lock_guard lock(m_mutex);
        auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = addressOf(m_ip, m_port);
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(descriptor, 128) != 0) {
            ::close(descriptor);
            throw CouldNotRun("can't listen on " + m_ip + ":" + std::to_string(m_port));
        }
        m_descriptor = descriptor;
        m_isOpen = true;
        m_thread = std::thread([this, descriptor] { accept(descriptor); });
    }

    // Closes the listener and resets all its connections.
    void close()
    {
        if (!m_isOpen.exchange(false))
            return;
        m_thread.join();
        std::vector<std::thread> threads;
        {
            std::lock_guard lock(m_mutex);
            ::close(m_descriptor);
            for (auto* connection : m_connections) {
                linger option { 1, 0 };
                setsockopt(connection->descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
                shutdown(connection->descriptor(), SHUT_RDWR);
            }
            threads.swap(m_threads);
        }
        for (auto& thread : threads)
            thread.join();
    }
    bool isOpen() const { return m_isOpen; }

private:
    void accept(int descriptor)
    {
        while (m_isOpen) {
            pollfd entry { descriptor, POLLIN, 0 };
            if (poll(&entry, 1, 20) <= 0)
                continue;
            auto accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::lock_guard lock(m_mutex);
            m_threads.emplace_back([this, accepted] {
                Connection connection(accepted);
                {
                    std::lock_guard inner(m_mutex);
                    m_connections.push_back(&connection);
                }
                m_handler(connection);
                std::lock_guard inner(m_mutex);
                std::erase(m_connections, &connection);
                connection.close();
            });
        }
    }

    std::string m_ip;
    uint16_t m_port;
    Handler m_handler;
    std::mutex m_mutex;
    int m_descriptor { -1 };
    std::atomic<bool> m_isOpen { false };
    std::thread m_thread;
    std::vector<std::thread> m_threads;
    std::vector<Connection*> m_connections;
};

}
