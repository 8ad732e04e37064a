#pragma once

#include <LibModel/Time.h>
#include <LibTelemetry/LogRecord.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Telemetry {

struct EventLogOptions {
    LogFormat format { LogFormat::KeyValue };
    LogLevel level { LogLevel::Info };
    // Lines of one event per second; further ones are counted and the count is logged with the next line.
    uint32_t linesPerSecond { 20 };
    // Takes the lines instead of the process's standard output, for tests.
    std::function<void(const std::string&)> sink;
};

// Writes one line for each event through log4cplus, limits how many lines an event may write, and never waits for
// whoever reads the output.
class EventLog {
public:
    explicit EventLog(EventLogOptions);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(Instant now, LogRecord);

    // Lines that were left out since the start, because of the limit or because nobody read the output.
    uint64_t suppressedLines() const;

private:
    struct Allowance {
        Instant secondBegan;
        uint32_t written { 0 };
        uint64_t suppressed { 0 };
    };

    struct Appender;

    EventLogOptions m_options;
    std::unique_ptr<Appender> m_appender;
    std::unordered_map<std::string_view, Allowance> m_allowances;
    uint64_t m_suppressedLines { 0 };
};

}
