#include <LibTransport/PeerCloseWatch.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/epoll.h>
#include <utility>

namespace Transport {

static constexpr size_t eventsPerRead = 64;

// The library's own set of descriptors can't be asked for closes alone, so this is a second set, which stands in the first.
static h2o_socket_t* createDescriptorSet(h2o_evloop_t* loop)
{
    auto descriptor = epoll_create1(EPOLL_CLOEXEC);
    if (descriptor == -1)
        throw Model::Error("watch connections", "local", std::strerror(errno));
    return h2o_evloop_socket_create(loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
}

PeerCloseWatch::PeerCloseWatch(h2o_evloop_t* loop, std::function<void(uint64_t)> onClosed)
    : m_onClosed(std::move(onClosed))
    , m_socket(createDescriptorSet(loop))
{
    m_socket->data = this;
    h2o_socket_read_start(m_socket, [](h2o_socket_t* socket, const char*) {
        static_cast<PeerCloseWatch*>(socket->data)->readEvents();
    });
}

PeerCloseWatch::~PeerCloseWatch() { h2o_socket_close(m_socket); }

bool PeerCloseWatch::add(int descriptor, uint64_t key)
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = key;
    return epoll_ctl(h2o_socket_get_fd(m_socket), EPOLL_CTL_ADD, descriptor, &event) == 0;
}

bool PeerCloseWatch::isClosedByPeer(int descriptor)
{
    pollfd state { descriptor, POLLRDHUP, 0 };
    return poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void PeerCloseWatch::readEvents()
{
    std::array<epoll_event, eventsPerRead> events {};
    auto count = std::max(0, epoll_wait(h2o_socket_get_fd(m_socket), events.data(), events.size(), 0));
    std::for_each_n(events.begin(), count, [this](const epoll_event& event) { m_onClosed(event.data.u64); });
}

}
