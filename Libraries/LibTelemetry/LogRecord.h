#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Settings.h>

#include <string>
#include <string_view>
#include <vector>

namespace Telemetry {

using namespace Model;

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

}

template <>
struct Model::EnumNames<Telemetry::LogLevel> {
    static constexpr std::array entries {
        EnumName { Telemetry::LogLevel::Trace, "trace" },
        EnumName { Telemetry::LogLevel::Debug, "debug" },
        EnumName { Telemetry::LogLevel::Info, "info" },
        EnumName { Telemetry::LogLevel::Warn, "warn" },
        EnumName { Telemetry::LogLevel::Error, "error" },
    };
};

namespace Telemetry {

struct LogField {
    std::string_view name;
    std::string value;
};

// One event to be logged on one line. Fields without a value are left out.
struct LogRecord {
    LogLevel level { LogLevel::Info };
    // A fixed name, such as "backend-ejected"; lines are counted and limited by it.
    std::string_view event;
    std::vector<LogField> fields;
};

// Writes a record as {"event":"...","name":"value"} or event=... name="value", on one line.
std::string formatRecord(const LogRecord&, LogFormat);

// Writes a text as a JSON string with its quotes. Bytes that aren't printable ASCII are escaped, so that the
// result is one line whatever the text holds.
std::string quoteJson(std::string_view);

}
