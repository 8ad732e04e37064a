#include <Tests/System/Crowd/Crowd.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace CrowdTests {

using Clock = std::chrono::steady_clock;

static constexpr int roundMilliseconds = 10;
// Bytes that a client sends in one round.
static constexpr size_t bytesPerRound = 1u << 20;

static sockaddr_in socketAddress(const std::string& address, uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

static int connectFrom(const std::string& from, const Endpoint& to, int receiveBuffer)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    auto local = socketAddress(from, 0);
    auto remote = socketAddress(to.address, to.port);
    bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&local), sizeof(local)) == 0;
    if (isBound && (connect(descriptor, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) == 0 || errno == EINPROGRESS))
        return descriptor;
    close(descriptor);
    return -1;
}

namespace {

    class Client {
    public:
        explicit Client(const ClientPlan& plan)
            : m_plan(plan)
            , m_connectionsLeft(plan.connections)
        {
            open();
        }
        ~Client() { end(); }
        Client(Client&& other) noexcept
            : m_plan(other.m_plan)
            , m_connectionsLeft(other.m_connectionsLeft)
            , m_descriptor(std::exchange(other.m_descriptor, -1))
            , m_sentBytes(other.m_sentBytes)
        {
        }
        Client(const Client&) = delete;
        Client& operator=(const Client&) = delete;
        Client& operator=(Client&&) = delete;

        bool isSettled() const { return m_descriptor == -1 || m_sentBytes == totalBytes(); }
        pollfd interest() const
        {
            short events = m_plan.readBytes > 0 ? POLLIN : 0;
            if (m_sentBytes < totalBytes())
                events |= POLLOUT;
            return { m_descriptor, events, 0 };
        }

        void act(short events)
        {
            if ((events & POLLIN) != 0 && !receive())
                return reopen();
            if ((events & (POLLERR | POLLHUP)) != 0)
                return reopen();
            if ((events & POLLOUT) != 0)
                send();
        }

    private:
        uint64_t totalBytes() const { return m_plan.head.size() + m_plan.bodyBytes; }

        void open()
        {
            m_sentBytes = 0;
            if (m_connectionsLeft-- > 0)
                m_descriptor = connectFrom(m_plan.from, m_plan.to, m_plan.receiveBuffer);
        }
        void end()
        {
            if (m_descriptor != -1)
                close(std::exchange(m_descriptor, -1));
        }
        void reopen()
        {
            end();
            open();
        }

        std::string_view nextBytes() const
        {
            if (m_sentBytes < m_plan.head.size())
                return std::string_view(m_plan.head).substr(m_sentBytes);
            auto bodyOffset = m_sentBytes - m_plan.head.size();
            return std::string_view(m_plan.block).substr(bodyOffset % m_plan.block.size()).substr(0, m_plan.bodyBytes - bodyOffset);
        }

        void send()
        {
            size_t inRound = 0;
            while (m_sentBytes < totalBytes() && inRound < bytesPerRound) {
                auto bytes = nextBytes();
                auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
                if (count <= 0)
                    return;
                m_sentBytes += count;
                inRound += count;
            }
        }

        // Says whether the connection is still open.
        bool receive()
        {
            static std::array<char, 1u << 16> buffer;
            size_t inRound = 0;
            while (inRound < m_plan.readBytes) {
                auto count = recv(m_descriptor, buffer.data(), std::min(buffer.size(), m_plan.readBytes - inRound), 0);
                if (count == 0)
                    return false;
                if (count < 0)
                    return errno == EAGAIN || errno == EINTR;
                inRound += count;
            }
            return true;
        }

        const ClientPlan& m_plan;
        int m_connectionsLeft;
        int m_descriptor { -1 };
        uint64_t m_sentBytes { 0 };
    };

    void playRound(std::vector<Client>& clients)
    {
        std::vector<pollfd> interests;
        std::ranges::transform(clients, std::back_inserter(interests), &Client::interest);
        auto began = Clock::now();
        poll(interests.data(), interests.size(), roundMilliseconds);
        for (size_t i = 0; i < clients.size(); ++i) {
            if (interests[i].revents != 0)
                clients[i].act(interests[i].revents);
        }
        // Clients that read slowly are readable all the time.
        auto rest = std::chrono::milliseconds(roundMilliseconds) - (Clock::now() - began);
        if (rest > Clock::duration::zero())
            usleep(std::chrono::duration_cast<std::chrono::microseconds>(rest).count());
    }

}

void playCrowd(const std::vector<ClientPlan>& plans, const CrowdBounds& bounds, const std::function<void()>& onRound, const std::function<void()>& atEnd)
{
    std::vector<Client> clients(plans.begin(), plans.end());
    auto end = Clock::now() + bounds.longest;
    int roundsLeft = bounds.roundsAfter;
    while (Clock::now() < end && roundsLeft > 0) {
        playRound(clients);
        onRound();
        if (std::ranges::all_of(clients, &Client::isSettled))
            --roundsLeft;
    }
    atEnd();
}

// Gives what arrived until the end of the connection or the instant.
static std::string exchangeText(int descriptor, std::string_view text, Clock::time_point end)
{
    std::string answer;
    std::array<char, 1u << 16> buffer {};
    while (Clock::now() < end) {
        pollfd state { descriptor, static_cast<short>(text.empty() ? POLLIN : POLLIN | POLLOUT), 0 };
        poll(&state, 1, roundMilliseconds);
        if ((state.revents & POLLOUT) != 0 && !text.empty()) {
            auto sent = send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            text.remove_prefix(std::max<ssize_t>(sent, 0));
        }
        if ((state.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
            continue;
        auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN))
            break;
        if (count > 0)
            answer.append(buffer.data(), count);
    }
    return answer;
}

int requestStatus(const Endpoint& to, const std::string& text, std::chrono::milliseconds limit)
{
    int descriptor = connectFrom("127.0.0.1", to, 0);
    if (descriptor == -1)
        return 0;
    auto answer = exchangeText(descriptor, text, Clock::now() + limit);
    close(descriptor);
    constexpr std::string_view version = "HTTP/1.1 ";
    return answer.starts_with(version) ? std::atoi(answer.c_str() + version.size()) : 0;
}

uint16_t freePort()
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress("127.0.0.1", 0);
    socklen_t length = sizeof(address);
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), length);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    close(descriptor);
    return ntohs(address.sin_port);
}

}
