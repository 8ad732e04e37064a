#pragma once

#include <LibDecision/Message.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Decision {

// A service's backend servers, with those in the process's own availability zone first, so that random candidates can
// be drawn from either group in constant time.
class CandidateList {
public:
    void rebuild(const std::vector<const BackendRecord*>& own, const std::vector<const BackendRecord*>& other, std::optional<Duration> extraRoundTrip, uint64_t generation, Instant now)
    {
        m_all = own;
        m_all.insert(m_all.end(), other.begin(), other.end());
        m_ownCount = own.size();
        m_extraRoundTrip = extraRoundTrip;
        m_generation = generation;
        m_builtAt = now;
    }

    // The list expires even if the registry hasn't changed, because a process's zone may become known later than its
    // backend servers.
    bool isFresh(uint64_t generation, Instant now) const
    {
        return m_generation == generation && now - m_builtAt < renewalPeriod;
    }

    std::span<const BackendRecord* const> own() const { return std::span(m_all).first(m_ownCount); }
    std::span<const BackendRecord* const> other() const { return std::span(m_all).subspan(m_ownCount); }
    std::span<const BackendRecord* const> all() const { return m_all; }
    // How much longer a round trip to the nearest other zone takes than one within the own; nullopt if it isn't known.
    std::optional<Duration> extraRoundTrip() const { return m_extraRoundTrip; }

private:
    static constexpr Duration renewalPeriod = std::chrono::seconds(1);

    std::vector<const BackendRecord*> m_all;
    size_t m_ownCount { 0 };
    std::optional<Duration> m_extraRoundTrip;
    uint64_t m_generation { 0 };
    Instant m_builtAt;
};

}
