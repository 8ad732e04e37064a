#pragma once

#include <LibTelemetry/JsonLinesTracer.h>

#include <string>
#include <vector>

namespace Telemetry {

// A span of JsonLinesTracer. It is written when it is finished, at the latest when it is destroyed.
class JsonLinesSpan final : public opentracing::Span {
public:
    JsonLinesSpan(const JsonLinesTracer&, std::string name, TraceContext, uint64_t parentSpan, const opentracing::StartSpanOptions&);
    ~JsonLinesSpan() override;

    // NOLINTBEGIN(readability-identifier-naming)
    void FinishWithOptions(const opentracing::FinishSpanOptions&) noexcept override;
    void SetOperationName(opentracing::string_view name) noexcept override { m_name = std::string(name); }
    void SetTag(opentracing::string_view key, const opentracing::Value&) noexcept override;
    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }
    std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override;
    void Log(opentracing::SystemTime, std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override;
    void Log(opentracing::SystemTime, const std::vector<std::pair<opentracing::string_view, opentracing::Value>>& fields) noexcept override;
    // NOLINTEND(readability-identifier-naming)
    const opentracing::SpanContext& context() const noexcept override { return m_context; }
    const opentracing::Tracer& tracer() const noexcept override { return m_tracer; }

private:
    struct Tag {
        std::string key;
        // Already JSON.
        std::string value;
    };

    template <typename Fields>
    void logFields(const Fields&);
    std::string format(int64_t durationMicroseconds) const;

    const JsonLinesTracer& m_tracer;
    std::string m_name;
    TraceContext m_context;
    uint64_t m_parentSpan;
    opentracing::SystemTime m_startedAt;
    opentracing::SteadyTime m_startedSteady;
    std::vector<Tag> m_tags;
    bool m_isFinished { false };
};

}
