#include "LoadReport.h"

#include <algorithm>
#include <iomanip>
#include <map>

namespace Load {

namespace {

    // Of each kind of violation.
    constexpr size_t mostPrinted = 3;

    std::vector<Duration> answeredLatencies(const std::vector<RequestRecord>& requests, RequestKind kind)
    {
        std::vector<Duration> latencies;
        for (const auto& request : requests) {
            if (request.kind != kind)
                continue;
            // Requests sent direct carry no outcome header, so the status tells.
            for (const auto& send : request.sends) {
                if (send.told == Told::Answered || (kind == RequestKind::Direct && send.status != 0))
                    latencies.push_back(send.elapsed);
            }
        }
        return latencies;
    }

    double milliseconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1000;
    }

    void printLatencies(std::ostream& stream, const std::vector<RequestRecord>& requests)
    {
        stream << std::fixed << std::setprecision(2) << "kind            answered    p50 ms    p99 ms  p99.9 ms\n";
        for (const auto& kind : EnumNames<RequestKind>::entries) {
            auto latencies = answeredLatencies(requests, kind.value);
            stream << std::left << std::setw(14) << kind.name << std::right << std::setw(10) << latencies.size();
            for (auto share : { 0.5, 0.99, 0.999 })
                stream << std::setw(10) << milliseconds(quantile(latencies, share));
            stream << "\n";
        }
        auto through = answeredLatencies(requests, RequestKind::Lookup);
        auto direct = answeredLatencies(requests, RequestKind::Direct);
        stream << "added to a lookup, against going direct:";
        for (auto share : { 0.5, 0.99 })
            stream << "  p" << share * 100 << " " << milliseconds(quantile(through, share) - quantile(direct, share)) << " ms";
        stream << "\n";
    }

    void printOutcomes(std::ostream& stream, const std::vector<RequestRecord>& requests)
    {
        std::map<std::string, size_t> counts;
        for (const auto& request : requests) {
            if (request.kind == RequestKind::Direct)
                continue;
            for (const auto& send : request.sends)
                ++counts[std::string(nameOf(send.told)) + (send.told == Told::Answered ? "" : " (" + send.reason + ")")];
        }
        stream << "told to callers:\n";
        for (const auto& [told, count] : counts)
            stream << "  " << std::setw(8) << count << "  " << told << "\n";
    }

    // Shows that the checks of tenants had something to check.
    void printTenants(std::ostream& stream, const std::vector<RequestRecord>& requests, const Ledger& ledger, const TenantHistory& history)
    {
        size_t removedKeys = 0;
        size_t lateSends = 0;
        for (const auto& [key, holdings] : history.holdingsByKey)
            removedKeys += holdings.back().until == Instant::max() ? 0 : 1;
        for (const auto& request : requests) {
            lateSends += std::ranges::count_if(request.sends, [&](const SendRecord& send) {
                auto holdings = history.holdingsByKey.find(send.key);
                return holdings != history.holdingsByKey.end() && holdings->second.back().until < send.sentAt - history.revocationBound;
            });
        }
        stream << "\ntenants: " << history.holdingsByKey.size() << " keys, " << removedKeys << " removed, " << lateSends
               << " sends with one after the revocation bound; most that ran in a window:";
        for (const auto& [tenant, most] : mostInWindows(requests, ledger, history)) {
            const auto& quota = history.quotas.at(tenant);
            if (quota.isLimited())
                stream << " " << tenant << " " << most << " of " << quota.mostIn(history.quotaWindow);
        }
        stream << "\n";
    }

    void printViolations(std::ostream& stream, const char* name, const std::vector<std::string>& ids)
    {
        stream << "  " << std::left << std::setw(14) << name << std::right << std::setw(6) << ids.size();
        for (size_t index = 0; index < std::min(ids.size(), mostPrinted); ++index)
            stream << "  " << ids[index];
        stream << "\n";
    }

    // The sends of violating requests can be looked up in the processes' logs.
    void printSends(std::ostream& stream, const RequestRecord& request, const Ledger& ledger)
    {
        for (const auto& send : request.sends) {
            stream << "    " << send.sendId << " " << nameOf(request.kind) << " key " << (send.key.empty() ? "none" : send.key) << ", sent at "
                   << milliseconds(send.sentAt.time_since_epoch()) << " ms, " << nameOf(send.told) << " (" << send.reason << ") " << send.status
                   << " after " << milliseconds(send.elapsed) << " ms, fleet id " << send.fleetRequestId << "; ran";
            auto runs = ledger.runsBySend.find(send.sendId);
            if (runs == ledger.runsBySend.end())
                stream << " not";
            else
                for (const auto& [tenant, count] : runs->second)
                    stream << " " << count << " times for \"" << tenant << "\"";
            stream << "\n";
        }
    }

    // The ids are those of requests or sends.
    void printRequests(std::ostream& stream, const std::vector<std::string>& ids, const std::vector<RequestRecord>& requests, const Ledger& ledger)
    {
        size_t printed = 0;
        for (const auto& request : requests) {
            bool isListed = std::ranges::any_of(ids, [&](const std::string& id) {
                return id == request.id || std::ranges::any_of(request.sends, [&](const SendRecord& send) { return send.sendId == id; });
            });
            if (isListed && printed++ < mostPrinted)
                printSends(stream, request, ledger);
        }
    }

}

Duration quantile(std::vector<Duration>& values, double share)
{
    if (values.empty())
        return Duration::zero();
    auto position = std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())));
    std::ranges::nth_element(values, values.begin() + position);
    return values[position];
}

void printReport(std::ostream& stream, const LoadPlan& plan, const std::vector<RequestRecord>& requests, const Ledger& ledger, const TenantHistory& history, const Violations& violations)
{
    auto seconds = static_cast<double>(plan.length.count()) / 1e6;
    stream << requests.size() << " requests in " << seconds << " s (" << static_cast<double>(requests.size()) / seconds << "/s), seed " << plan.seed
           << "; the backend servers wrote down " << ledger.runsByLoadId.size() << " of them\n\n";
    printLatencies(stream, requests);
    stream << "\n";
    printOutcomes(stream, requests);
    if (!history.quotas.empty())
        printTenants(stream, requests, ledger, history);
    stream << "\nledgers (each must be 0):\n";
    printViolations(stream, "doubled", violations.doubled);
    printViolations(stream, "crossed", violations.crossed);
    printViolations(stream, "cut", violations.cut);
    printViolations(stream, "falsely told", violations.falselyTold);
    printViolations(stream, "leaked", violations.leaked);
    printViolations(stream, "misnamed", violations.misnamed);
    printViolations(stream, "revoked", violations.revoked);
    printViolations(stream, "over quota", violations.overQuota);
    for (const auto* ids : { &violations.doubled, &violations.falselyTold, &violations.misnamed, &violations.revoked })
        printRequests(stream, *ids, requests, ledger);
}

}
