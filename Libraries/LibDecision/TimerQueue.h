#pragma once

#include <LibModel/Time.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

using namespace Model;

// A queue of timers by key. Each key has at most one timer; setting it again replaces it. Setting, cancelling and
// removing a timer take logarithmic time.
template <typename Key>
class TimerQueue {
public:
    void set(const Key& key, Instant at)
    {
        cancel(key);
        m_positions.emplace(key, m_timers.emplace(at, key));
    }

    void cancel(const Key& key)
    {
        auto position = m_positions.find(key);
        if (position == m_positions.end())
            return;
        m_timers.erase(position->second);
        m_positions.erase(position);
    }

    bool contains(const Key& key) const { return m_positions.contains(key); }

    std::optional<Instant> next() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return m_timers.begin()->first;
    }

    // Removes the timers that are due and returns their keys, earliest first.
    std::vector<Key> takeDue(Instant now)
    {
        std::vector<Key> due;
        while (!m_timers.empty() && m_timers.begin()->first <= now) {
            due.push_back(m_timers.begin()->second);
            m_positions.erase(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
        }
        return due;
    }

    size_t size() const { return m_timers.size(); }

private:
    std::multimap<Instant, Key> m_timers;
    std::unordered_map<Key, typename std::multimap<Instant, Key>::iterator> m_positions;
};

// Returns the earlier of two instants, ignoring empty ones.
inline std::optional<Instant> earliest(std::optional<Instant> first, std::optional<Instant> second)
{
    if (!first)
        return second;
    if (!second)
        return first;
    return std::min(*first, *second);
}

}
