#pragma once

#include <LibDecision/Rendezvous.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>

namespace Decision {

using namespace std::chrono_literals;

// Number of quota partitions. Each has at most one holder, so the store's load doesn't depend on the size of the fleet:
// at most 64 leases, each renewed twice a second. Processes of different versions must use the same number.
constexpr uint32_t quotaPartitionCount = 64;

// A token counts only if its reply arrives within this time after the question was sent.
constexpr Duration tokenValidity = 500ms;
// A request waits for a token for this time at most.
constexpr Duration quotaWait = 400ms;
// Tokens that were granted ahead count for this time after the question was sent. Together with the longest wait it is
// the token's validity: a request takes a token that was granted within that time before it or that time after it, so
// the requests of a window of 5 s take tokens that were granted within 5.5 s.
constexpr Duration tokenAheadValidity = tokenValidity - quotaWait;
// The clock of a process runs at most this share slower than the others'.
constexpr int clockRateDivisor = 10;
// Suspended time up to this length isn't noticed, because it is the difference of two clocks that are read one after
// the other.
constexpr Duration suspensionTolerance = 50ms;
// A holder grants only if its lease lasts for longer than this, so that no token is used after the lease's end.
constexpr Duration grantMargin = tokenValidity + tokenValidity / clockRateDivisor + suspensionTolerance;

// The store grants leases of at least 1 s. The lease is renewed three times in this time; a shorter one leaves less
// than two renewals before the holder has to stop granting.
constexpr Duration quotaLeaseTime = 1500ms;

inline uint32_t quotaPartitionOf(const AccountId& tenant)
{
    return static_cast<uint32_t>(stableHash({ "quota", tenant.value() }) % quotaPartitionCount);
}

// The key in the store that the holder of the partition binds to its lease; its value is the holder's name.
inline std::string quotaKey(uint32_t partition)
{
    // No key is a prefix of another one.
    return "quotas/" + std::to_string(quotaPartitionCount + partition);
}

// Detects that the machine was suspended. The suspended time is known only when an input tells it; in between, it is at
// least what was told last.
class SuspensionClock {
public:
    // Returns true if the machine was suspended since an earlier call.
    bool observe(Duration suspendedTime)
    {
        m_latest = std::max(m_latest, suspendedTime);
        if (m_latest <= m_reference + suspensionTolerance)
            return false;
        m_reference = m_latest;
        return true;
    }
    // The instant on a clock that counts suspended time, as far as it was told.
    Instant at(Instant now) const { return now + m_latest; }

private:
    Duration m_latest { 0 };
    Duration m_reference { 0 };
};

}
