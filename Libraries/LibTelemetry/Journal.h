#pragma once

#include <LibDecision/DecisionEvent.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace Telemetry {

using namespace Model;

// A decision with the instant at which it was taken.
struct JournalEntry {
    // Counts from 1.
    uint64_t number { 0 };
    Instant at;
    Decision::DecisionEvent event;
};

// Says which entries are asked for; empty members match everything.
struct JournalQuery {
    BackendId backend;
    ServiceName service;
    RequestId request;
    size_t limit { 100 };
};

// Keeps the latest decisions in memory, so that a process can explain what it did. Decisions about single requests
// are many, so they have a part of the memory for themselves and can't push out the others.
class Journal {
public:
    explicit Journal(size_t requestEntries = 4096, size_t otherEntries = 2048);

    void record(Instant now, Decision::DecisionEvent);

    // Gives the latest matching entries, oldest first.
    std::vector<JournalEntry> find(const JournalQuery&) const;
    uint64_t recorded() const { return m_lastNumber; }

private:
    size_t m_requestEntries;
    size_t m_otherEntries;
    uint64_t m_lastNumber { 0 };
    std::deque<JournalEntry> m_requests;
    std::deque<JournalEntry> m_others;
};

}
