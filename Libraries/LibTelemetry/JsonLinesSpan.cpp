#include <LibTelemetry/JsonLinesSpan.h>

#include <LibTelemetry/LogRecord.h>

#include <chrono>

namespace Telemetry {

namespace {

    // Writes a tag's value as JSON.
    struct ValueWriter {
        std::string operator()(bool value) const { return value ? "true" : "false"; }
        std::string operator()(double value) const { return std::to_string(value); }
        std::string operator()(int64_t value) const { return std::to_string(value); }
        std::string operator()(uint64_t value) const { return std::to_string(value); }
        std::string operator()(const std::string& value) const { return quoteJson(value); }
        std::string operator()(const char* value) const { return quoteJson(value); }
        std::string operator()(const opentracing::string_view& value) const { return quoteJson(std::string(value)); }
        std::string operator()(std::nullptr_t) const { return "null"; }
        std::string operator()(const opentracing::Values&) const { return "[]"; }
        std::string operator()(const opentracing::Dictionary&) const { return "{}"; }
    };

    std::string writeValue(const opentracing::Value& value)
    {
        return opentracing::Value::visit(value, ValueWriter());
    }

    int64_t microseconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

}

JsonLinesSpan::JsonLinesSpan(const JsonLinesTracer& tracer, std::string name, TraceContext context, uint64_t parentSpan, const opentracing::StartSpanOptions& options)
    : m_tracer(tracer)
    , m_name(std::move(name))
    , m_context(context)
    , m_parentSpan(parentSpan)
    , m_startedAt(options.start_system_timestamp)
    , m_startedSteady(options.start_steady_timestamp)
{
    if (m_startedAt == opentracing::SystemTime())
        m_startedAt = std::chrono::system_clock::now();
    if (m_startedSteady == opentracing::SteadyTime())
        m_startedSteady = std::chrono::steady_clock::now();
    for (const auto& [key, value] : options.tags)
        m_tags.push_back({ key, writeValue(value) });
}

JsonLinesSpan::~JsonLinesSpan()
{
    Finish();
}

void JsonLinesSpan::FinishWithOptions(const opentracing::FinishSpanOptions& options) noexcept
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    if (m_context.isSampled())
        m_tracer.write(format(microseconds(options.finish_steady_timestamp - m_startedSteady)));
}

void JsonLinesSpan::SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept
{
    m_tags.push_back({ std::string(key), writeValue(value) });
}

template <typename Fields>
void JsonLinesSpan::logFields(const Fields& fields)
{
    for (const auto& [key, value] : fields)
        SetTag(key, value);
}

void JsonLinesSpan::Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept { logFields(fields); }
void JsonLinesSpan::Log(opentracing::SystemTime, std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept { logFields(fields); }
void JsonLinesSpan::Log(opentracing::SystemTime, const std::vector<std::pair<opentracing::string_view, opentracing::Value>>& fields) noexcept { logFields(fields); }

std::string JsonLinesSpan::format(int64_t durationMicroseconds) const
{
    std::string line = "{";
    // Names of fields need no escapes; values come written as JSON.
    auto field = [&line](std::string_view name, std::string_view value) {
        line.append(line.size() == 1 ? "\"" : ",\"");
        line.append(name);
        line.append("\":");
        line.append(value);
    };
    field("trace", quoteJson(m_context.ToTraceID()));
    field("span", quoteJson(m_context.ToSpanID()));
    if (m_parentSpan)
        field("parent", quoteJson(TraceContext(0, 0, m_parentSpan, false).ToSpanID()));
    field("name", quoteJson(m_name));
    field("instance", quoteJson(m_tracer.m_options.instance));
    field("startMicroseconds", std::to_string(microseconds(m_startedAt.time_since_epoch())));
    field("durationMicroseconds", std::to_string(durationMicroseconds));
    for (const auto& tag : m_tags) {
        auto key = quoteJson(tag.key);
        field(std::string_view(key).substr(1, key.size() - 2), tag.value);
    }
    line.push_back('}');
    return line;
}

}
