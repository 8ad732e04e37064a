#pragma once

#include <LibTransport/EventLoop.h>
#include <LibTransport/H2O.h>
#include <LibTransport/TimerQueue.h>

#include <csignal>
#include <exception>
#include <map>
#include <memory>
#include <vector>

namespace Transport {

// Something that outlives its owner until the library lets go of it.
class Retired {
public:
    virtual ~Retired() = default;
    virtual bool isFinished() const = 0;
};

struct EventLoop::Implementation {
    h2o_evloop_t* loop { nullptr };
    TimerQueue timers;
    bool stopRequested { false };
    std::map<int, std::vector<std::function<void()>>> signalHandlers;
    h2o_socket_t* signalSocket { nullptr };
    sigset_t signalMask {};
    std::vector<std::unique_ptr<Retired>> retired;
    // Thrown by a callback while the library was calling; leaves the loop once the library has returned.
    std::exception_ptr failure;

    // Runs the library's callbacks that are due without polling.
    void runPending();
    // Calls what may throw from within the library, which can't pass exceptions on.
    template <typename Callback>
    void protect(Callback callback)
    {
        try {
            callback();
        } catch (...) {
            failure = std::current_exception();
        }
    }
    void rethrowFailure();
    void watchSignals();
    void readSignals();
    void dropFinished();
};

}
