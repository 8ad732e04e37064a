#include <LibDecision/Claims/OutcomeReports.h>

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    using namespace std::chrono_literals;

    // Delay before the first retransmission of a report. It doubles with each one, up to the maximum.
    constexpr Duration firstRetryDelay = 200ms;
    constexpr Duration maximumRetryDelay = 3s;
    // A report is kept for this time, whether confirmed or not.
    constexpr Duration reportLifetime = 30s;
    // A leaving process waits this long for the confirmation of a report.
    constexpr Duration confirmationTimeout = 3s;
    constexpr size_t maximumReports = 20'000;

}

void OutcomeReports::add(Instant now, ClaimOutcome outcome)
{
    if (m_reports.size() >= maximumReports)
        removeOldest();
    auto sequence = outcome.sequence;
    m_reports.insert_or_assign(sequence, Report { std::move(outcome), now });
    m_timers.set(sequence, now);
    ++m_awaitedCount;
}

std::vector<ClaimOutcome> OutcomeReports::takeDue(Instant now)
{
    std::vector<ClaimOutcome> due;
    for (auto sequence : m_timers.takeDue(now)) {
        auto position = m_reports.find(sequence);
        auto& report = position->second;
        auto endsAt = report.addedAt + reportLifetime;
        if (report.addedAt + confirmationTimeout <= now)
            stopWaiting(report);
        if (endsAt <= now) {
            m_reports.erase(position);
            continue;
        }
        if (!report.isConfirmed)
            due.push_back(report.outcome);
        report.retryDelay = std::clamp(report.retryDelay * 2, firstRetryDelay, maximumRetryDelay);
        m_timers.set(sequence, report.isConfirmed ? endsAt : std::min(now + report.retryDelay, endsAt));
    }
    return due;
}

std::optional<ClaimOutcome> OutcomeReports::handleReply(const ClaimReply& reply)
{
    auto position = m_reports.find(reply.sequence);
    if (position == m_reports.end() || reply.verdict == ClaimVerdict::NotHolder)
        return std::nullopt;

    auto& report = position->second;
    bool isGrant = reply.verdict == ClaimVerdict::Granted && reply.validity > Duration(0);
    if (!isGrant) {
        report.isConfirmed = true;
        stopWaiting(report);
        return std::nullopt;
    }
    // A late grant must be returned, except one under which the request may have run.
    if (report.outcome.outcome != Outcome::NotRun)
        return std::nullopt;
    return report.outcome;
}

void OutcomeReports::stopWaiting(Report& report)
{
    if (std::exchange(report.isAwaited, false))
        --m_awaitedCount;
}

void OutcomeReports::removeOldest()
{
    stopWaiting(m_reports.begin()->second);
    m_timers.cancel(m_reports.begin()->first);
    m_reports.erase(m_reports.begin());
}

}
