#pragma once

#include <LibDecision/DecisionEvent.h>
#include <LibModel/Settings.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Journal.h>
#include <LibTelemetry/JsonLinesTracer.h>
#include <LibTelemetry/Metrics.h>

#include <functional>
#include <string>

namespace Fulmard {

using namespace Model;

struct ObservabilityOptions {
    // Takes spans as JSON lines.
    std::function<void(const std::string&)> traceSink;
    // Takes log lines instead of standard error, for tests.
    std::function<void(const std::string&)> logSink;
    uint64_t randomSeed { 0 };
};

// Everything by which people see what a process does: log, metrics, traces and the journal of decisions.
class Observability {
public:
    Observability(const Settings&, ObservabilityOptions);

    // Logs, counts and remembers one decision.
    void record(Instant now, const Decision::DecisionEvent&);

    Telemetry::EventLog& log() { return m_log; }
    Telemetry::Metrics& metrics() { return m_metrics; }
    const Telemetry::Journal& journal() const { return m_journal; }
    const Telemetry::JsonLinesTracer& tracer() const { return m_tracer; }

private:
    Telemetry::EventLog m_log;
    Telemetry::Metrics m_metrics;
    Telemetry::Journal m_journal;
    Telemetry::JsonLinesTracer m_tracer;
};

}
