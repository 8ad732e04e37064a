#include <Services/fulmard/Observability.h>

#include <algorithm>
#include <array>

namespace Fulmard {

using Decision::DecisionKind;
using Telemetry::LogLevel;

namespace {

    struct KindLevel {
        DecisionKind kind;
        LogLevel level;
    };

    // Decisions that every request brings are of no interest to an operator by default; losses are.
    constexpr std::array kindLevels {
        KindLevel { DecisionKind::RequestRouted, LogLevel::Trace },
        KindLevel { DecisionKind::RequestAnswered, LogLevel::Trace },
        KindLevel { DecisionKind::RequestQueued, LogLevel::Trace },
        KindLevel { DecisionKind::ProbeSent, LogLevel::Debug },
        KindLevel { DecisionKind::RequestRetried, LogLevel::Debug },
        KindLevel { DecisionKind::RequestCountedAsRetry, LogLevel::Debug },
        KindLevel { DecisionKind::ClaimHeld, LogLevel::Debug },
        KindLevel { DecisionKind::RequestUnknown, LogLevel::Warn },
        KindLevel { DecisionKind::MemberDead, LogLevel::Warn },
        KindLevel { DecisionKind::PathLost, LogLevel::Warn },
        KindLevel { DecisionKind::BackendEjected, LogLevel::Warn },
        KindLevel { DecisionKind::BackendEjectionWithheld, LogLevel::Warn },
        KindLevel { DecisionKind::BackendLapsed, LogLevel::Warn },
        KindLevel { DecisionKind::CrashSuspected, LogLevel::Warn },
        KindLevel { DecisionKind::ProfileRejected, LogLevel::Error },
        KindLevel { DecisionKind::ProfileForked, LogLevel::Error },
        KindLevel { DecisionKind::RoutesWatchLost, LogLevel::Warn },
        KindLevel { DecisionKind::ConfigurationProofLost, LogLevel::Warn },
        KindLevel { DecisionKind::PlatformLost, LogLevel::Warn },
        KindLevel { DecisionKind::StoreRestored, LogLevel::Warn },
    };

    LogLevel levelOf(DecisionKind kind)
    {
        auto entry = std::ranges::find(kindLevels, kind, &KindLevel::kind);
        return entry == kindLevels.end() ? LogLevel::Info : entry->level;
    }

    Telemetry::EventLogOptions logOptions(const LogSettings& settings, std::function<void(const std::string&)> sink)
    {
        Telemetry::EventLogOptions options;
        options.format = settings.format;
        options.level = enumFromName<LogLevel>(settings.level).value_or(LogLevel::Info);
        options.sink = std::move(sink);
        return options;
    }

    Telemetry::TracerOptions tracerOptions(const Settings& settings, ObservabilityOptions& options)
    {
        return { settings.trace.sampledShare, options.randomSeed, settings.instance.value(), std::move(options.traceSink) };
    }

}

Observability::Observability(const Settings& settings, ObservabilityOptions options)
    : m_log(logOptions(settings.log, std::move(options.logSink)))
    , m_tracer(tracerOptions(settings, options))
{
}

void Observability::record(Instant now, const Decision::DecisionEvent& event)
{
    m_metrics.countDecision(event.kind);
    Telemetry::LogRecord record { levelOf(event.kind), nameOf(event.kind), {} };
    record.fields = {
        { "step", event.step },
        { "peer", event.peer },
        { "service", event.service.value() },
        { "backend", event.backend.value() },
        { "request", event.request.value() },
        { "profile", event.profile.value() },
        { "revision", event.revision.value() ? std::to_string(event.revision.value()) : "" },
        { "evidence", event.evidence },
    };
    m_log.write(now, std::move(record));
    m_journal.record(now, event);
}

}
