#pragma once

#include <LibDecision/Rendezvous.h>
#include <LibModel/Tenant.h>
#include <LibModel/Time.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace Decision {

using namespace std::chrono_literals;

// Number of quota partitions. Each has at most one holder, so the store's load doesn't depend on the size of the fleet:
// at most 64 leases, each renewed twice a second. Processes of different versions must use the same number.
constexpr uint32_t quotaPartitionCount = 64;

// Longest validity of a token. Longer questions help no caller.
constexpr Duration longestTokenValidity = 500ms;
// Shortest validity of a token: with less, questions to processes in other zones would often be answered too late.
constexpr Duration shortestTokenValidity = 100ms;
// Tokens that were granted ahead count for this part of a token's validity.
constexpr int aheadValidityDivisor = 5;
// The clock of a process runs at most this share slower than the others'.
constexpr int clockRateDivisor = 10;
// Spans of grants are longer by this part, since the holder's clock may run faster than others.
constexpr int clockToleranceDivisor = 50;
// Suspended time up to this length isn't noticed, because it is the difference of two clocks that are read one after
// the other.
constexpr Duration suspensionTolerance = 50ms;

// What the settings on tenants mean for tokens and buckets.
struct QuotaTerms {
    // A token counts only if its reply arrives within this time after the question was sent.
    Duration tokenValidity { longestTokenValidity };
    // Tokens by which each bucket is deeper than the tenant's burst.
    double extraDepth { 0 };
    // A tenant may have rate x window + burst requests in any span of this length.
    Duration window { 5s };
    // Share by which the tokens of a window and one validity more may exceed that.
    double overshoot { 0.1 };

    // The requests of a window take tokens that were granted within the window and one validity more, so the validity is
    // the share of the window by which a quota may be exceeded. Half of the slack deepens the buckets: callers below their
    // rate come in clumps, which a burst of a few tokens would refuse. The other half covers requests in transit and
    // pauses that aren't noticed.
    static QuotaTerms from(const TenantTerms& terms)
    {
        auto validity = std::clamp(std::chrono::duration_cast<Duration>(terms.quotaWindow * terms.quotaOvershoot), shortestTokenValidity, longestTokenValidity);
        auto overshoot = std::min(terms.quotaOvershoot, std::chrono::duration<double>(validity) / terms.quotaWindow);
        return { validity, terms.quotaSlack / 2, terms.quotaWindow, overshoot };
    }

    // Tokens a second that use up what a window allows.
    double refillRate(const Tenant& tenant) const { return tenant.requestsPerSecond + tenant.burst / std::chrono::duration<double>(window).count(); }
    // Tokens that may be granted within grantSpan().
    double grantLimit(const Tenant& tenant) const { return refillRate(tenant) * std::chrono::duration<double>(window).count() * (1 + overshoot) + extraDepth; }
    Duration grantSpan() const { return (window + tokenValidity) + (window + tokenValidity) / clockToleranceDivisor; }

    // Tokens that were granted ahead count for this time after the question was sent. Together with the longest wait it is
    // the token's validity: a request takes a token that was granted within the longest wait after its arrival or this time
    // before it.
    Duration aheadValidity() const { return tokenValidity / aheadValidityDivisor; }
    // A request waits for a token for this time at most.
    Duration longestWait() const { return tokenValidity - aheadValidity(); }
    // A holder grants only if its lease lasts for longer than this, so that no token is used after the lease's end.
    Duration grantMargin() const { return tokenValidity + tokenValidity / clockRateDivisor + suspensionTolerance; }
};

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
