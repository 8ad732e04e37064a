#include <Tests/LibTransport/ClientFixture.h>

#include <arpa/inet.h>
#include <array>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace Transport;
using namespace TransportTests;

namespace {

// A listener whose queue of connections is full, so that the kernel drops the SYN of the next one, which is sent again after
// a second.
class FullListener {
public:
    FullListener()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), length);
        // The queue holds one connection more than the backlog.
        listen(m_listener, 0);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
        connect(m_filler, reinterpret_cast<sockaddr*>(&address), length);
        m_endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    }

    ~FullListener()
    {
        for (auto descriptor : m_accepted)
            close(descriptor);
        close(m_filler);
        close(m_listener);
    }

    FullListener(const FullListener&) = delete;
    FullListener& operator=(const FullListener&) = delete;

    Model::Endpoint endpoint() const { return m_endpoint; }

    // Accepts what waits, and returns all bytes that have come so far on any connection.
    std::string received()
    {
        for (int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); descriptor >= 0; descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK))
            m_accepted.push_back(descriptor);
        std::array<char, 4096> bytes {};
        for (auto descriptor : m_accepted) {
            if (auto count = recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT); count > 0)
                m_received.append(bytes.data(), static_cast<size_t>(count));
        }
        return m_received;
    }

private:
    int m_listener { socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0) };
    int m_filler { socket(AF_INET, SOCK_STREAM, 0) };
    Model::Endpoint m_endpoint;
    std::vector<int> m_accepted;
    std::string m_received;
};

// Longer than the time after which the kernel sends a SYN again.
constexpr Model::Duration retransmission = 2500ms;

class CancelledConnections : public ::testing::Test, public ClientFixture { };

}

// Shows that the listener delays a request as the test below needs it.
TEST_F(CancelledConnections, RequestArrivesOnceItsConnectionIsOpenedLate)
{
    FullListener listener;
    client.send(post(listener.endpoint(), "booking"), [](const ClientResult&) {});
    runUntil([] { return false; }, 100ms);
    EXPECT_TRUE(runUntil([&] { return listener.received().find("booking") != std::string::npos; }, retransmission));
}

// Guards against an order that reaches a restarted process although its ingress has sent it again: a cancelled request whose
// connection is still being opened must send nothing once the kernel's retransmission would open it.
TEST_F(CancelledConnections, RequestThatIsCancelledBeforeItsConnectionIsOpenIsNeverSent)
{
    FullListener listener;
    auto request = client.send(post(listener.endpoint(), "booking"), [](const ClientResult&) {});
    runUntil([] { return false; }, 100ms);
    client.cancel(request);
    EXPECT_FALSE(runUntil([&] { return !listener.received().empty(); }, retransmission));
}
