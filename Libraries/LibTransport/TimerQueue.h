#pragma once

#include <LibModel/Time.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Transport {

// Callbacks ordered by instant; those of one instant run in the order in which they were added.
class TimerQueue {
public:
    TimerId add(Instant, std::function<void()>);
    // Does nothing if the timer has run already.
    void remove(TimerId);
    std::optional<Instant> nextInstant() const;
    // Runs what is due at the instant. Callbacks added meanwhile wait for the next call, unless they are due too.
    void runDue(Instant);

private:
    using Key = std::pair<Instant, TimerId>;

    std::map<Key, std::function<void()>> m_timers;
    std::unordered_map<TimerId, Instant> m_instants;
    TimerId m_lastId { 0 };
};

}
