#include "TenantHistory.h"

namespace Load {

double TenantQuota::mostIn(Duration window) const
{
    // Of the platform's bounds quotaOvershoot and quotaSlack.
    constexpr double overshoot = 1.1;
    constexpr double slack = 20;
    return (requestsPerSecond * std::chrono::duration<double>(window).count() + burst) * overshoot + slack;
}

Entitlement TenantHistory::judge(const SendRecord& send, const std::string& tenant) const
{
    if (send.key.empty())
        return tenant.empty() ? Entitlement::Valid : Entitlement::Never;
    auto holdings = holdingsByKey.find(send.key);
    if (holdings == holdingsByKey.end())
        return Entitlement::Never;
    auto result = Entitlement::Never;
    for (const auto& holding : holdings->second) {
        // A request that got no answer may have been accepted at any time after it was sent.
        bool wasHeld = send.told == Told::Nothing || holding.from <= send.sentAt + send.elapsed;
        if (holding.tenant != tenant || !wasHeld)
            continue;
        if (holding.until == Instant::max() || send.sentAt <= holding.until + revocationBound)
            return Entitlement::Valid;
        result = Entitlement::Removed;
    }
    return result;
}

}
