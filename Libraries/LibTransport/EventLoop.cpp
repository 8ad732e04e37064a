#include <LibTransport/EventLoop.h>

#include <LibTransport/EventLoopImplementation.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace Transport {

static constexpr Duration longestWait = 60s;
// Bounds the loop's own clean-up when it is destroyed.
static constexpr int maximumCleanupRounds = 10000;

static int waitMilliseconds(Duration wait)
{
    // Rounded up, since an earlier wake-up would find nothing due.
    auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(std::clamp(wait, Duration(0), longestWait));
    return static_cast<int>(milliseconds.count());
}

EventLoop::EventLoop()
    : m_implementation(std::make_unique<Implementation>())
{
    std::signal(SIGPIPE, SIG_IGN);
    // The library would move large buffers to temporary files.
    h2o_socket_buffer_mmap_settings.threshold = std::numeric_limits<size_t>::max();
    m_implementation->loop = h2o_evloop_create();
    sigemptyset(&m_implementation->signalMask);
}

EventLoop::~EventLoop()
{
    auto& self = *m_implementation;
    if (self.signalSocket)
        h2o_socket_close(self.signalSocket);
    // Whoever set a timer may be gone by now.
    self.timers.clear();
    for (int round = 0; round < maximumCleanupRounds && !self.retired.empty(); ++round) {
        self.runPending();
        h2o_evloop_run(self.loop, 0);
        self.dropFinished();
    }
    self.retired.clear();
    self.runPending();
    h2o_evloop_run(self.loop, 0);
    h2o_evloop_destroy(self.loop);
}

void EventLoop::run()
{
    while (!m_implementation->stopRequested)
        runOnce(longestWait);
    m_implementation->stopRequested = false;
}

void EventLoop::stop() { m_implementation->stopRequested = true; }

void EventLoop::runOnce(Duration maximumWait)
{
    auto& self = *m_implementation;
    self.timers.runDue(now());
    if (self.stopRequested)
        return;
    self.runPending();
    auto next = self.timers.nextInstant();
    auto wait = next ? std::min<Duration>(maximumWait, *next - now()) : maximumWait;
    h2o_evloop_run(self.loop, waitMilliseconds(wait));
    self.rethrowFailure();
    self.timers.runDue(now());
    self.dropFinished();
}

Instant EventLoop::now() const
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

TimerId EventLoop::callAt(Instant instant, std::function<void()> callback)
{
    return m_implementation->timers.add(instant, std::move(callback));
}

void EventLoop::cancelTimer(TimerId id) { m_implementation->timers.remove(id); }

void EventLoop::onSignal(int signalNumber, std::function<void()> callback)
{
    m_implementation->signalHandlers[signalNumber].push_back(std::move(callback));
    sigaddset(&m_implementation->signalMask, signalNumber);
    m_implementation->watchSignals();
}

void EventLoop::Implementation::runPending()
{
    // The library begins a run by freeing closed sockets. Those that were written to and then closed since the
    // last run still stand in its list of pending callbacks, which this empties.
    h2o_timeout__do_post_callback(loop);
}

void EventLoop::Implementation::rethrowFailure()
{
    if (auto thrown = std::exchange(failure, nullptr))
        std::rethrow_exception(thrown);
}

void EventLoop::Implementation::watchSignals()
{
    sigprocmask(SIG_BLOCK, &signalMask, nullptr);
    auto existing = signalSocket ? h2o_socket_get_fd(signalSocket) : -1;
    auto descriptor = signalfd(existing, &signalMask, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor == -1)
        throw Error("watch signals", "local", std::strerror(errno));
    if (signalSocket)
        return;
    signalSocket = h2o_evloop_socket_create(loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    signalSocket->data = this;
    h2o_socket_read_start(signalSocket, [](h2o_socket_t* socket, const char*) {
        static_cast<Implementation*>(socket->data)->readSignals();
    });
}

void EventLoop::Implementation::readSignals()
{
    signalfd_siginfo information {};
    while (read(h2o_socket_get_fd(signalSocket), &information, sizeof(information)) == sizeof(information)) {
        auto callbacks = signalHandlers[static_cast<int>(information.ssi_signo)];
        std::ranges::for_each(callbacks, [this](const auto& callback) { protect(callback); });
    }
}

void EventLoop::Implementation::dropFinished()
{
    std::erase_if(retired, [](const auto& item) { return item->isFinished(); });
}

}
