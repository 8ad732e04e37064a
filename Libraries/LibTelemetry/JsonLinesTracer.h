#pragma once

#include <LibTelemetry/TraceContext.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <opentracing/tracer.h>
#include <random>
#include <string>

namespace Telemetry {

struct TracerOptions {
    // Share of traces that begin here and are written, 0 to 1. Traces that began elsewhere follow their own flag.
    double sampledShare { 0.01 };
    uint64_t randomSeed { 0 };
    // Names this process in each span.
    std::string instance;
    // Takes one JSON text per finished span.
    std::function<void(const std::string&)> sink;
};

// An OpenTracing tracer that writes each finished, sampled span as one line of JSON. Spans must not outlive it.
class JsonLinesTracer final : public opentracing::Tracer {
public:
    explicit JsonLinesTracer(TracerOptions);
    ~JsonLinesTracer() override;

    // Starts a span below the context that a traceparent header brought, or a new trace without one.
    std::unique_ptr<opentracing::Span> startSpan(const std::string& name, std::string_view traceparent) const;
    std::unique_ptr<opentracing::Span> startChild(const std::string& name, const opentracing::Span& parent) const;

    // The header that carries a span's identity on.
    static std::string traceparentOf(const opentracing::Span&);
    // Says whether the next hop has to know of the span. Not so if this fleet records no traces and the caller asked for none.
    bool mustPropagate(const opentracing::Span&) const;

    // The OpenTracing interface, https://opentracing.io/specification/
    // NOLINTBEGIN(readability-identifier-naming)
    std::unique_ptr<opentracing::Span> StartSpanWithOptions(opentracing::string_view name, const opentracing::StartSpanOptions&) const noexcept override;
    opentracing::expected<void> Inject(const opentracing::SpanContext&, std::ostream&) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext&, const opentracing::TextMapWriter&) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext&, const opentracing::HTTPHeadersWriter&) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream&) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(const opentracing::TextMapReader&) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(const opentracing::HTTPHeadersReader&) const override;
    // NOLINTEND(readability-identifier-naming)

private:
    friend class JsonLinesSpan;

    TraceContext makeContext(const TraceContext* parent) const;
    void write(const std::string& line) const;

    TracerOptions m_options;
    // Starting a span is const in the interface but draws ids.
    mutable std::mt19937_64 m_random;
};

}
