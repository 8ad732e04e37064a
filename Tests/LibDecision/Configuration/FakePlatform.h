#pragma once

#include <LibDecision/PlatformOperation.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace Testing {

using namespace Decision;

// An in-memory implementation of the platform's key-value store, without leases. It answers immediately; the caller
// adds delays and faults.
class FakePlatform {
public:
    PlatformReply carryOut(PlatformTag tag, const PlatformOperation& operation)
    {
        ++m_calls;
        PlatformReply reply { .tag = tag, .status = PlatformStatus::Done };
        std::visit([&](const auto& typed) { carryOut(typed, reply); }, operation);
        reply.index = m_index;
        return reply;
    }

    // True if the operation is a watch and nothing has changed below its prefix since its index.
    bool mustWait(const PlatformOperation& operation) const
    {
        const auto* watch = std::get_if<WatchPrefix>(&operation);
        return watch && watch->index != 0 && watch->index >= changeIndexOf(watch->prefix);
    }

    void put(const std::string& key, const std::string& value)
    {
        m_values[key] = { value, ++m_index };
    }

    std::string valueOf(const std::string& key) const
    {
        auto stored = m_values.find(key);
        return stored == m_values.end() ? "" : stored->second.value;
    }

    FakePlatform snapshot() const { return *this; }

    // Restores an earlier state, as an operator does from a backup after data loss.
    void restore(const FakePlatform& earlier)
    {
        m_values = earlier.m_values;
        m_index = earlier.m_index;
    }

    uint64_t calls() const { return m_calls; }
    uint64_t writes() const { return m_writes; }

private:
    struct Stored {
        std::string value;
        uint64_t version { 0 };
    };

    uint64_t changeIndexOf(const std::string& prefix) const
    {
        uint64_t newest = 0;
        for (auto stored = m_values.lower_bound(prefix); stored != m_values.end() && stored->first.starts_with(prefix); ++stored)
            newest = std::max(newest, stored->second.version);
        return newest;
    }

    void readPrefix(const std::string& prefix, PlatformReply& reply) const
    {
        for (auto stored = m_values.lower_bound(prefix); stored != m_values.end() && stored->first.starts_with(prefix); ++stored)
            reply.values.push_back({ stored->first, stored->second.value, PlatformVersion(stored->second.version), {} });
    }

    void carryOut(const ReadPrefix& read, PlatformReply& reply) { readPrefix(read.prefix, reply); }
    void carryOut(const WatchPrefix& watch, PlatformReply& reply) { readPrefix(watch.prefix, reply); }

    void carryOut(const CompareAndSwap& swap, PlatformReply& reply)
    {
        ++m_writes;
        auto stored = m_values.find(swap.key);
        auto version = stored == m_values.end() ? 0 : stored->second.version;
        if (version != swap.expected.value()) {
            reply.status = PlatformStatus::Refused;
        } else {
            put(swap.key, swap.value);
        }
    }

    // Lease operations are not supported: the components under test don't use them.
    template <typename Other>
    void carryOut(const Other&, PlatformReply& reply)
    {
        reply.status = PlatformStatus::Refused;
    }

    std::map<std::string, Stored> m_values;
    uint64_t m_index { 0 };
    uint64_t m_calls { 0 };
    uint64_t m_writes { 0 };
};

}
