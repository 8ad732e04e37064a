#include <LibTelemetry/Journal.h>

#include <algorithm>

namespace Telemetry {

namespace {

    template <typename Name>
    bool matches(const Name& asked, const Name& actual)
    {
        return asked.isEmpty() || asked == actual;
    }

    void append(std::deque<JournalEntry>& entries, size_t most, JournalEntry entry)
    {
        if (entries.size() >= most)
            entries.pop_front();
        entries.push_back(std::move(entry));
    }

}

Journal::Journal(size_t requestEntries, size_t otherEntries)
    : m_requestEntries(requestEntries)
    , m_otherEntries(otherEntries)
{
}

void Journal::record(Instant now, Decision::DecisionEvent event)
{
    bool isAboutRequest = !event.request.isEmpty();
    JournalEntry entry { ++m_lastNumber, now, std::move(event) };
    if (isAboutRequest)
        append(m_requests, m_requestEntries, std::move(entry));
    else
        append(m_others, m_otherEntries, std::move(entry));
}

std::vector<JournalEntry> Journal::find(const JournalQuery& query) const
{
    std::vector<JournalEntry> found;
    auto isAsked = [&](const JournalEntry& entry) {
        const auto& event = entry.event;
        return matches(query.backend, event.backend) && matches(query.service, event.service) && matches(query.request, event.request);
    };
    std::ranges::copy_if(m_requests, std::back_inserter(found), isAsked);
    std::ranges::copy_if(m_others, std::back_inserter(found), isAsked);
    std::ranges::sort(found, {}, &JournalEntry::number);
    if (found.size() > query.limit)
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(query.limit));
    return found;
}

}
