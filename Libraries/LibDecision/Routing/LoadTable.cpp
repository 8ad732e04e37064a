#include <LibDecision/Routing/LoadTable.h>

#include <LibDecision/Admission/RequestLimit.h>
#include <LibDecision/Health/FaultFilter.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    constexpr std::chrono::duration<double> refusalHalfLife = 500ms;
    constexpr double maximumRefusals = 4;
    constexpr double averageSamples = 50;
    constexpr double defaultServiceTimeMicroseconds = 10'000;
    // Service times up to this multiple of the service's mean count as the mean. A mean over few requests is noisy, and
    // all ingresses would follow the same noise. Backend servers that fail fast must not be preferred either.
    constexpr double toleratedServiceTimeRatio = 2.5;
    // Weight of the share of busy slots in the expected time. It counts even while a slot seems to be free, because the
    // known load is always somewhat out of date.
    constexpr double busyShareWeight = 0.5;

    Duration microseconds(double value) { return Duration(static_cast<Duration::rep>(value)); }

}

void LoadTable::started(const BackendRecord& record, Instant now)
{
    auto& load = loadOf(record);
    ++load.outstanding;
    if (load.limitInterval > Duration::zero())
        load.limitedUntil = std::max(load.limitedUntil, now) + load.limitInterval;
}

void LoadTable::limited(const BackendRecord& record, const BackendCondition& condition, Reason reason, double randomShare, Instant now)
{
    constexpr int maximumLimitRefusals = 8;
    if (condition.incarnation != record.incarnation)
        return;
    auto& load = loadOf(record);
    if (!condition.requestLimit) {
        load.limitInterval = {};
        load.limitedUntil = {};
        load.limitRefusals = 0;
        return;
    }
    load.limitInterval = microseconds(1e6 / std::max(*condition.requestLimit, RequestLimit::minimumRate));
    load.limitRefusals = std::clamp(load.limitRefusals + (reason == Reason::BackendLimited ? 1 : -1), 0, maximumLimitRefusals);
    auto intervals = randomShare * (std::exp2(load.limitRefusals) - 1);
    load.limitedUntil = now + condition.limitWait + microseconds(intervals * static_cast<double>(load.limitInterval.count()));
}

LoadTable::Load& LoadTable::loadOf(const BackendRecord& record)
{
    auto& load = m_loads[record.id];
    if (load.incarnation != record.incarnation) {
        load = {};
        load.incarnation = record.incarnation;
    }
    return load;
}

void LoadTable::changed(const BackendRecord& record)
{
    auto load = m_loads.find(record.id);
    if (load == m_loads.end())
        return;
    if (record.phase == BackendPhase::Gone || load->second.incarnation != record.incarnation)
        m_loads.erase(load);
}

void LoadTable::finished(const BackendRecord& record, const AttemptReport& attempt, Instant now)
{
    auto& load = loadOf(record);
    if (load.outstanding > 0)
        --load.outstanding;
    if (attempt.result == AttemptResult::RefusedNotRun && attempt.reason != Reason::BackendLimited) {
        load.refusals = std::min(recentRefusals(load, now) + 1, maximumRefusals);
        load.refusedAt = now;
    }
    if (!attempt.hasLoad || attempt.load.slots == 0)
        return;
    load.report = attempt.load;
    load.reportedAt = now;
    load.outstandingAtReport = load.outstanding;

    auto& average = m_averages[record.service];
    auto reported = static_cast<double>(attempt.load.serviceTime.count());
    // A sidecar that has run nothing yet reports no service time.
    if (reported > 0) {
        // A plain mean at first: the shortest requests end first, and their times would stay in a moving average.
        average.serviceTimes = std::min(average.serviceTimes + 1, averageSamples);
        average.serviceTimeMicroseconds += (reported - average.serviceTimeMicroseconds) / average.serviceTimes;
    }
    auto others = std::max(0.0, static_cast<double>(attempt.load.running + attempt.load.queued) - load.outstanding);
    average.othersPerSlot += (others / attempt.load.slots - average.othersPerSlot) / averageSamples;
}

double LoadTable::expectedRequests(const BackendRecord& record, Instant now) const
{
    auto average = m_averages.find(record.service);
    auto usual = average == m_averages.end() ? 0 : average->second.othersPerSlot * record.slots;
    auto entry = m_loads.find(record.id);
    if (entry == m_loads.end())
        return usual;
    const auto& load = entry->second;
    if (load.report.slots == 0)
        return load.outstanding + usual;

    // The report's weight halves with each mean service time: once the requests that it counted have ended, the
    // service's average is the better estimate.
    auto age = std::chrono::duration<double, std::micro>(now - load.reportedAt).count() / std::max(1.0, average->second.serviceTimeMicroseconds);
    auto freshness = std::exp2(-age);
    auto others = std::max(0.0, static_cast<double>(load.report.running + load.report.queued) - load.outstandingAtReport);
    return load.outstanding + others * freshness + usual * (1 - freshness);
}

double LoadTable::serviceTimeOf(const BackendRecord& record) const
{
    auto average = m_averages.find(record.service);
    bool isKnown = average != m_averages.end() && average->second.serviceTimeMicroseconds > 0;
    auto usual = isKnown ? average->second.serviceTimeMicroseconds : defaultServiceTimeMicroseconds;
    auto load = m_loads.find(record.id);
    if (load == m_loads.end() || load->second.report.serviceTime <= Duration::zero())
        return usual;
    return std::max(usual, static_cast<double>(load->second.report.serviceTime.count()) / toleratedServiceTimeRatio);
}

Duration LoadTable::limitWait(const BackendRecord& record, Instant now) const
{
    auto load = m_loads.find(record.id);
    bool isLimited = load != m_loads.end() && load->second.incarnation == record.incarnation && load->second.limitInterval > Duration::zero();
    return isLimited ? std::max(Duration::zero(), load->second.limitedUntil - now) : Duration::zero();
}

Duration LoadTable::expectedWait(const BackendRecord& record, Instant now) const
{
    auto requests = expectedRequests(record, now);
    auto queued = std::max(0.0, requests + 1 - record.slots);
    return std::max(limitWait(record, now), microseconds(serviceTimeOf(record) * queued / record.slots));
}

Duration LoadTable::expectedTime(const BackendRecord& record, Instant now) const
{
    auto busy = expectedRequests(record, now) / record.slots;
    auto load = m_loads.find(record.id);
    auto refusals = load == m_loads.end() ? 0 : recentRefusals(load->second, now);
    return expectedWait(record, now) + microseconds(serviceTimeOf(record) * (1 + busyShareWeight * busy + refusals));
}

Duration LoadTable::expectedOverhead(const BackendRecord& record, Instant now) const
{
    // A backend server slows down more than linearly as its slots fill up.
    auto busy = std::min(1.0, expectedRequests(record, now) / record.slots);
    auto load = m_loads.find(record.id);
    auto refusals = load == m_loads.end() ? 0 : recentRefusals(load->second, now);
    return expectedWait(record, now) + microseconds(serviceTimeOf(record) * (busy * busy * busy + refusals));
}

double LoadTable::faultProbability(const BackendRecord& record, Instant now) const
{
    // Without a load report the backend server counts as healthy.
    constexpr double faultProbabilityWithoutReport = 0;
    auto load = m_loads.find(record.id);
    bool isReported = load != m_loads.end() && load->second.report.slots > 0 && load->second.incarnation == record.incarnation;
    return isReported ? FaultFilter::decayed(load->second.report.faultProbability, now - load->second.reportedAt) : faultProbabilityWithoutReport;
}

bool LoadTable::isTrialDue(const BackendRecord& record, Instant now) const
{
    auto load = m_loads.find(record.id);
    return load == m_loads.end() || load->second.report.isTrialDue || now - load->second.reportedAt >= faultTrialInterval;
}

Duration LoadTable::usualServiceTime(const BackendRecord& record) const { return microseconds(serviceTimeOf(record)); }

double LoadTable::recentRefusals(const Load& load, Instant now)
{
    return load.refusals * std::exp2(-(std::chrono::duration<double>(now - load.refusedAt) / refusalHalfLife));
}

uint32_t LoadTable::outstanding(const BackendId& id) const
{
    auto load = m_loads.find(id);
    return load == m_loads.end() ? 0 : load->second.outstanding;
}

}
