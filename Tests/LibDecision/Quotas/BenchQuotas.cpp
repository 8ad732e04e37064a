#include "QuotaFleet.h"

#include <LibDecision/Membership/RecordSize.h>
#include <LibDecision/Quotas/QuotaBuckets.h>

#include <chrono>
#include <iostream>
#include <numeric>

using namespace Testing;

namespace {

constexpr double rate = 100;
constexpr double burst = 100;
constexpr double offered = 1.5;
constexpr Duration measured = 30s;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::vector<size_t> firstProcesses(size_t count)
{
    std::vector<size_t> processes(count);
    std::iota(processes.begin(), processes.end(), size_t { 0 });
    return processes;
}

// The share of its quota that a tenant gets if each process has an equal part of it.
double shareOfEqualSplit(size_t processes, size_t used)
{
    QuotaFleet fleet(1, 1, {});
    auto part = static_cast<double>(processes);
    std::mt19937_64 random(1);
    std::vector<TokenBucket> buckets(used, TokenBucket(std::max(1.0, burst / part)));
    std::exponential_distribution<double> gap(offered * rate);
    std::uniform_int_distribution<size_t> choice(0, used - 1);
    size_t passed = 0;
    Instant begin {};
    for (auto& bucket : buckets)
        bucket.startAt(begin);
    for (double at = 0; at < seconds(measured); at += gap(random)) {
        auto& bucket = buckets[choice(random)];
        bucket.refill(rate / part, begin + Duration(static_cast<int64_t>(at * 1e6)));
        if (!bucket.hasToken())
            continue;
        bucket.take();
        ++passed;
    }
    return static_cast<double>(passed) / (rate * seconds(measured));
}

double shareOfHolder(size_t processes, size_t used)
{
    AccountId name("hotel");
    QuotaFleet fleet(1, processes, { tenant("hotel", rate, burst) });
    fleet.runFor(8s);
    // Uses up the burst, which doesn't count.
    fleet.offer(name, 3 * rate, firstProcesses(used), fleet.fleet().now() + 5s);
    fleet.runFor(5s);
    auto from = fleet.fleet().now();
    fleet.offer(name, offered * rate, firstProcesses(used), from + measured);
    fleet.runFor(measured + 1s);
    auto passed = fleet.count(name, [&](const QuotaCall& call) { return call.isPassed && call.sentAt >= from; });
    return static_cast<double>(passed) / (rate * seconds(measured));
}

// Tenants below their quotas, at all processes.
void printTraffic(size_t processes, size_t tenantCount, double callsPerSecond, Duration length)
{
    std::vector<Tenant> tenants;
    auto each = callsPerSecond / static_cast<double>(tenantCount);
    for (size_t number = 0; number < tenantCount; ++number)
        tenants.push_back(tenant("tenant-" + std::to_string(number), 1.6 * each, std::max(5.0, 3.2 * each)));
    QuotaFleet fleet(1, processes, tenants);
    fleet.runFor(8s);
    auto calls = fleet.platform().reads() + fleet.platform().writes();
    std::vector<uint64_t> bytes(processes);
    uint64_t messages = 0;
    fleet.fleet().onSend = [&](size_t from, const SendMessage& message) {
        ++messages;
        bytes[from] += estimatedSize(message.body);
    };
    auto begin = std::chrono::steady_clock::now();
    for (const auto& each : tenants)
        fleet.offer(each.name, each.requestsPerSecond / 1.6, firstProcesses(processes), fleet.fleet().now() + length);
    fleet.runFor(length);
    auto passed = std::ranges::count_if(fleet.calls(), &QuotaCall::isPassed);
    auto total = std::accumulate(bytes.begin(), bytes.end(), uint64_t { 0 });
    auto perSecond = [&](uint64_t count) { return static_cast<double>(count) / seconds(length); };
    std::cout << processes << " processes, " << tenantCount << " tenants, " << callsPerSecond << " requests/s: passed " << passed << " of " << fleet.calls().size()
              << ", sent by a process: " << perSecond(messages) / static_cast<double>(processes) << " messages/s, " << perSecond(total) / static_cast<double>(processes)
              << " B/s on average, " << perSecond(*std::ranges::max_element(bytes)) << " B/s at most; store calls/s: "
              << perSecond(fleet.platform().reads() + fleet.platform().writes() - calls) << "; " << seconds(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin)) << " s of processor\n";
}

}

int main()
{
    for (size_t processes : { 100, 1500 }) {
        for (size_t used : { size_t { 1 }, size_t { 3 }, processes })
            std::cout << processes << " processes, callers at " << used << ": holder " << shareOfHolder(processes, used) << ", equal split " << shareOfEqualSplit(processes, used) << " of the quota" << std::endl;
    }
    printTraffic(100, 82, 2000, 10s);
    printTraffic(1500, 75000, 170000, 2s);
}
