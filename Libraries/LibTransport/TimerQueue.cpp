#include <LibTransport/TimerQueue.h>

namespace Transport {

TimerId TimerQueue::add(Instant instant, std::function<void()> callback)
{
    auto id = ++m_lastId;
    m_timers.emplace(Key { instant, id }, std::move(callback));
    m_instants.emplace(id, instant);
    return id;
}

void TimerQueue::remove(TimerId id)
{
    auto entry = m_instants.find(id);
    if (entry == m_instants.end())
        return;
    m_timers.erase(Key { entry->second, id });
    m_instants.erase(entry);
}

std::optional<Instant> TimerQueue::nextInstant() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first.first;
}

void TimerQueue::runDue(Instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        auto timer = m_timers.extract(m_timers.begin());
        m_instants.erase(timer.key().second);
        timer.mapped()();
    }
}

}
