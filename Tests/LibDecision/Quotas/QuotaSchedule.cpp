#include "QuotaSchedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <span>

namespace Testing {

namespace {

    constexpr Duration window = 5s;
    constexpr Duration configurationTime = 2500ms;
    constexpr double overshoot = 0.1;
    constexpr double slack = 20;
    // How many times its rate a tenant offers.
    constexpr double load = 5;

    const std::vector<std::vector<Tenant>> quotas {
        { tenant("hotel", 100, 100), tenant("agency", 40, 0), tenant("portal", 60, 300) },
        { tenant("hotel", 50, 20), tenant("agency", 60, 40), tenant("portal", 60, 30) },
        { tenant("hotel", 100, 100), tenant("agency", 0, 0), tenant("portal", 20, 200) },
        {},
    };

    std::vector<size_t> allProcesses()
    {
        std::vector<size_t> processes(QuotaSchedule::processCount);
        for (size_t process = 0; process < processes.size(); ++process)
            processes[process] = process;
        return processes;
    }

}

QuotaSchedule::QuotaSchedule(uint64_t seed, std::vector<QuotaFault> faults)
    : m_fleet(seed, processCount, quotas.front(), 0.02)
    , m_faults(std::move(faults))
{
    m_fleet.fleet().cut = [this](size_t from, size_t to) { return m_cuts.contains({ from, to }); };
}

void QuotaSchedule::run()
{
    m_fleet.runFor(5s);
    m_startedAt = m_fleet.fleet().now();
    for (const auto& tenant : quotas.front())
        m_fleet.offer(tenant.name, load * tenant.requestsPerSecond, allProcesses(), m_startedAt + length);
    for (const auto& fault : m_faults) {
        m_fleet.fleet().callLater(fault.at, [this, fault] { begin(fault); });
        m_fleet.fleet().callLater(fault.at + fault.length, [this, fault] { end(fault); });
    }
    m_fleet.runFor(length + 1s);
}

// Faults strike the holder of the first tenant's partition more often than others.
size_t QuotaSchedule::busyProcess(size_t rank)
{
    auto holder = m_fleet.holderOf(quotaPartitionOf(quotas.front().front().name));
    return rank >= processCount && holder ? *holder : rank % processCount;
}

void QuotaSchedule::split(size_t first, size_t second)
{
    m_fleet.withoutStore.insert({ first, second });
    for (size_t other = 0; other < processCount; ++other) {
        if (other != first && other != second)
            m_cuts.insert({ { first, other }, { other, first }, { second, other }, { other, second } });
    }
}

void QuotaSchedule::begin(const QuotaFault& fault)
{
    auto first = busyProcess(fault.first);
    switch (fault.kind) {
    case QuotaFaultKind::Pause:
    case QuotaFaultKind::Suspend:
        return m_fleet.pause(first, fault.length, fault.kind == QuotaFaultKind::Suspend);
    case QuotaFaultKind::Kill:
        m_fleet.kill(first);
        return m_fleet.fleet().callLater(fault.length, [this, first] { m_fleet.restart(first); });
    case QuotaFaultKind::Leave:
        m_fleet.leave(first);
        return m_fleet.fleet().callLater(fault.length + 1s, [this, first] {
            m_fleet.kill(first);
            m_fleet.restart(first);
        });
    case QuotaFaultKind::CutOneWay:
        m_cuts.emplace(first, fault.second);
        return;
    case QuotaFaultKind::Isolate:
        for (size_t other = 0; other < processCount; ++other)
            m_cuts.insert({ { first, other }, { other, first } });
        return;
    case QuotaFaultKind::Split:
        split(first, (first + 1) % processCount);
        return;
    case QuotaFaultKind::CutFromStore:
        m_fleet.withoutStore.insert(first);
        return;
    case QuotaFaultKind::FalseDeath:
        if (m_fleet.fleet().isRunning(fault.second))
            m_fleet.fleet().process(fault.second).peers().dead.emplace(QuotaFleet::nameOf(first));
        return;
    case QuotaFaultKind::BadNetwork:
        m_fleet.fleet().faults = { 0.1, 0.1, 1ms, 700ms };
        return;
    case QuotaFaultKind::StoreDown:
        m_fleet.isStoreDown = true;
        return;
    case QuotaFaultKind::StoreRepliesLost:
        m_fleet.lostStoreReplies = 0.5;
        return;
    case QuotaFaultKind::StoreSlow:
        m_fleet.slowestStoreCall = 900ms;
        return;
    case QuotaFaultKind::StoreRestored:
        m_fleet.platform().takeSnapshot();
        return;
    case QuotaFaultKind::ChangeQuotas:
        m_fleet.publish(quotas[(fault.first + fault.second) % quotas.size()], configurationTime);
        return;
    }
}

void QuotaSchedule::end(const QuotaFault& fault)
{
    switch (fault.kind) {
    case QuotaFaultKind::Split:
        m_fleet.withoutStore.clear();
        [[fallthrough]];
    case QuotaFaultKind::CutOneWay:
    case QuotaFaultKind::Isolate:
        m_cuts.clear();
        return;
    case QuotaFaultKind::CutFromStore:
        m_fleet.withoutStore.clear();
        return;
    case QuotaFaultKind::FalseDeath:
        if (m_fleet.fleet().isRunning(fault.second))
            m_fleet.fleet().process(fault.second).peers().dead.clear();
        return;
    case QuotaFaultKind::BadNetwork:
        m_fleet.fleet().faults = {};
        return;
    case QuotaFaultKind::StoreDown:
        m_fleet.isStoreDown = false;
        return;
    case QuotaFaultKind::StoreRepliesLost:
        m_fleet.lostStoreReplies = 0;
        return;
    case QuotaFaultKind::StoreSlow:
        m_fleet.slowestStoreCall = 4ms;
        return;
    case QuotaFaultKind::StoreRestored:
        m_fleet.platform().restoreSnapshot(m_fleet.fleet().now());
        return;
    default:
        return;
    }
}

double QuotaSchedule::allowed(const AccountId& name, Instant from, Instant until) const
{
    double rate = 0;
    double burst = 0;
    const auto& published = m_fleet.published();
    for (size_t number = 0; number < published.size(); ++number) {
        bool isReplaced = number + 1 < published.size() && published[number + 1].first + configurationTime + window < from;
        if (published[number].first > until || isReplaced)
            continue;
        auto entry = std::ranges::find(published[number].second, name, &Tenant::name);
        if (entry == published[number].second.end() || !entry->hasQuota())
            return INFINITY;
        rate = std::max(rate, entry->requestsPerSecond);
        burst = std::max(burst, entry->burst);
    }
    return (rate * std::chrono::duration<double>(window).count() + burst) * (1 + overshoot) + slack;
}

double QuotaSchedule::largestExcess() const
{
    double largest = -INFINITY;
    for (const auto& tenant : quotas.front()) {
        std::vector<QuotaCall> passed;
        std::ranges::copy_if(m_fleet.calls(), std::back_inserter(passed), [&](const QuotaCall& call) { return call.tenant == tenant.name && call.isPassed; });
        for (size_t first = 0, last = 0; first < passed.size(); ++first) {
            auto from = passed[first].sentAt;
            while (last < passed.size() && passed[last].sentAt < from + window)
                ++last;
            // A quota that was lifted until a paused process read a request applies to that request.
            auto calls = std::span(passed).subspan(first, last - first);
            auto until = *std::ranges::max_element(calls, {}, &QuotaCall::decidedAt)->decidedAt;
            largest = std::max(largest, static_cast<double>(calls.size()) - allowed(tenant.name, from, until));
        }
    }
    return largest;
}

double QuotaSchedule::shareServed(Duration from) const
{
    const auto& tenant = quotas.front().front();
    auto passed = m_fleet.count(tenant.name, [&](const QuotaCall& call) { return call.isPassed && call.sentAt >= m_startedAt + from; });
    return static_cast<double>(passed) / (tenant.requestsPerSecond * std::chrono::duration<double>(length - from).count());
}

}
