#pragma once

#include <cstdint>
#include <memory>
#include <opentracing/span.h>
#include <optional>
#include <string>
#include <string_view>

namespace Telemetry {

// The identity of a span as it travels between processes. https://www.w3.org/TR/trace-context/
class TraceContext final : public opentracing::SpanContext {
public:
    TraceContext() = default;
    TraceContext(uint64_t traceHigh, uint64_t traceLow, uint64_t span, bool isSampled);

    // Reads a traceparent header; gives nothing if it is malformed, as the standard asks.
    static std::optional<TraceContext> parse(std::string_view traceparent);
    std::string traceparent() const;

    uint64_t traceHigh() const { return m_traceHigh; }
    uint64_t traceLow() const { return m_traceLow; }
    uint64_t span() const { return m_span; }
    bool isSampled() const { return m_isSampled; }

    void ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const override { } // NOLINT(readability-identifier-naming)
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override; // NOLINT(readability-identifier-naming)
    std::string ToTraceID() const noexcept override; // NOLINT(readability-identifier-naming)
    std::string ToSpanID() const noexcept override; // NOLINT(readability-identifier-naming)

private:
    uint64_t m_traceHigh { 0 };
    uint64_t m_traceLow { 0 };
    uint64_t m_span { 0 };
    bool m_isSampled { false };
};

}
