#include "LedgerCheck.h"

#include <algorithm>

namespace Load {

namespace {

    uint32_t runsOf(const std::unordered_map<std::string, uint32_t>& runs, const std::string& id)
    {
        auto entry = runs.find(id);
        return entry == runs.end() ? 0 : entry->second;
    }

    // An idempotency key belongs to one account. If an API key moves to another tenant between two sends, the second one is
    // another account's request and may run too.
    bool ranTwiceForATenant(const RequestRecord& request, const Ledger& ledger)
    {
        std::map<std::string, uint32_t> runsByTenant;
        for (const auto& send : request.sends) {
            auto runs = ledger.runsBySend.find(send.sendId);
            if (runs == ledger.runsBySend.end())
                continue;
            for (const auto& [tenant, count] : runs->second)
                runsByTenant[tenant] += count;
        }
        return std::ranges::any_of(runsByTenant, [](const auto& entry) { return entry.second > 1; })
            || runsOf(ledger.runsByLoadId, request.id) > std::max<size_t>(1, runsByTenant.size());
    }

    bool isDoubled(const RequestRecord& request, const Ledger& ledger)
    {
        switch (request.kind) {
        case RequestKind::Booking:
        case RequestKind::Upload:
            return runsOf(ledger.runsByLoadId, request.id) > 1;
        case RequestKind::KeyedBooking:
            return ranTwiceForATenant(request, ledger);
        case RequestKind::Lookup:
        case RequestKind::Direct:
            break;
        }
        return false;
    }

    bool isPromisedNotRun(const SendRecord& send)
    {
        constexpr uint16_t tooManyRequests = 429;
        constexpr uint16_t serviceUnavailable = 503;
        return send.told == Told::NotRun || send.status == tooManyRequests || send.status == serviceUnavailable;
    }

    bool isFalselyTold(const RequestRecord& request, const SendRecord& send, const Ledger& ledger)
    {
        if (isPromisedNotRun(send))
            return runsOf(ledger.runsByFleetId, send.fleetRequestId) > 0 || ledger.runsBySend.contains(send.sendId);
        if (send.told == Told::Answered)
            return runsOf(ledger.runsByLoadId, request.id) == 0;
        return false;
    }

    void checkNames(const SendRecord& send, const Ledger& ledger, const TenantHistory& history, Violations& violations)
    {
        auto runs = ledger.runsBySend.find(send.sendId);
        if (runs == ledger.runsBySend.end())
            return;
        for (const auto& [tenant, count] : runs->second) {
            switch (history.judge(send, tenant)) {
            case Entitlement::Valid:
                break;
            case Entitlement::Never:
                violations.misnamed.push_back(send.sendId);
                break;
            case Entitlement::Removed:
                violations.revoked.push_back(send.sendId);
                break;
            }
        }
    }

    size_t mostInOneWindow(std::vector<Instant> instants, Duration window)
    {
        std::ranges::sort(instants);
        size_t most = 0;
        for (size_t first = 0, last = 0; last < instants.size(); ++last) {
            while (instants[last] - instants[first] >= window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    void checkQuotas(const std::vector<RequestRecord>& requests, const Ledger& ledger, const TenantHistory& history, Violations& violations)
    {
        for (const auto& [tenant, most] : mostInWindows(requests, ledger, history)) {
            const auto& quota = history.quotas.at(tenant);
            if (quota.isLimited() && static_cast<double>(most) > quota.mostIn(history.quotaWindow))
                violations.overQuota.push_back(tenant + ":" + std::to_string(most));
        }
    }

    void checkTenants(const std::vector<RequestRecord>& requests, const Ledger& ledger, const TenantHistory& history, Violations& violations)
    {
        for (const auto& request : requests) {
            if (request.kind != RequestKind::Direct)
                std::ranges::for_each(request.sends, [&](const SendRecord& send) { checkNames(send, ledger, history, violations); });
        }
        checkQuotas(requests, ledger, history, violations);
    }

}

// Each send that ran counts once, by the tenant whose name arrived and the instant at which it was sent.
std::map<std::string, size_t> mostInWindows(const std::vector<RequestRecord>& requests, const Ledger& ledger, const TenantHistory& history)
{
    std::map<std::string, std::vector<Instant>> instantsByTenant;
    for (const auto& request : requests) {
        for (const auto& send : request.sends) {
            auto runs = ledger.runsBySend.find(send.sendId);
            if (runs != ledger.runsBySend.end())
                instantsByTenant[runs->second.begin()->first].push_back(send.sentAt);
        }
    }
    std::map<std::string, size_t> most;
    for (const auto& [tenant, quota] : history.quotas)
        most[tenant] = mostInOneWindow(instantsByTenant[tenant], history.quotaWindow);
    return most;
}

Violations checkLedger(const std::vector<RequestRecord>& requests, const Ledger& ledger, const TenantHistory& history)
{
    Violations violations;
    violations.leaked = ledger.leaks;
    checkTenants(requests, ledger, history, violations);
    for (const auto& request : requests) {
        if (request.kind == RequestKind::Direct)
            continue;
        if (isDoubled(request, ledger))
            violations.doubled.push_back(request.id);

        auto isAnswered = [](const SendRecord& send) { return send.told == Told::Answered; };
        if (std::ranges::any_of(request.sends, [&](const SendRecord& send) { return isAnswered(send) && !send.isOwnAnswer; }))
            violations.crossed.push_back(request.id);
        if (std::ranges::any_of(request.sends, [&](const SendRecord& send) { return isAnswered(send) && !send.isWholeAnswer; }))
            violations.cut.push_back(request.id);
        if (std::ranges::any_of(request.sends, [&](const SendRecord& send) { return isFalselyTold(request, send, ledger); }))
            violations.falselyTold.push_back(request.id);
    }
    return violations;
}

}
