#pragma once

#include <LibModel/Time.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Transport {

using namespace Model;

using TimerId = uint64_t;

// The one event loop of a process, on one thread. Everything else in LibTransport runs on it and must be
// destroyed before it. SIGPIPE is ignored from the first loop on.
class EventLoop {
public:
    EventLoop();
    // Runs no more timers. Connections that are still closing are ended.
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs until stop() is called, or until a callback throws; the exception leaves run() then.
    void run();
    void stop();
    // Runs what is due, waits at most that long for more, and runs that.
    void runOnce(Duration maximumWait);

    // The monotonic clock, read anew at each call.
    Instant now() const;

    // Calls back once, at the instant or as soon after it as the loop gets to it.
    TimerId callAt(Instant, std::function<void()>);
    void cancelTimer(TimerId);

    // Calls back on the loop each time that the process gets the signal.
    void onSignal(int signalNumber, std::function<void()>);

private:
    friend class ConnectionMonitor;
    friend class HttpServer;
    friend class HttpClient;
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
