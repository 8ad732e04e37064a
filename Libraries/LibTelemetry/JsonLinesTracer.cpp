#include <LibTelemetry/JsonLinesTracer.h>

#include <LibTelemetry/JsonLinesSpan.h>

namespace Telemetry {

namespace {

    constexpr auto traceparentKey = "traceparent";

    const TraceContext* parentOf(const opentracing::StartSpanOptions& options)
    {
        for (const auto& [type, context] : options.references) {
            if (auto parent = dynamic_cast<const TraceContext*>(context))
                return parent;
        }
        return nullptr;
    }

}

JsonLinesTracer::JsonLinesTracer(TracerOptions options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
{
}

JsonLinesTracer::~JsonLinesTracer() = default;

std::unique_ptr<opentracing::Span> JsonLinesTracer::startSpan(const std::string& name, std::string_view traceparent) const
{
    auto parent = TraceContext::parse(traceparent);
    return StartSpan(name, { opentracing::ChildOf(parent ? &*parent : nullptr) });
}

std::unique_ptr<opentracing::Span> JsonLinesTracer::startChild(const std::string& name, const opentracing::Span& parent) const
{
    return StartSpan(name, { opentracing::ChildOf(&parent.context()) });
}

std::string JsonLinesTracer::traceparentOf(const opentracing::Span& span)
{
    auto context = dynamic_cast<const TraceContext*>(&span.context());
    return context ? context->traceparent() : std::string();
}

bool JsonLinesTracer::mustPropagate(const opentracing::Span& span) const
{
    auto context = dynamic_cast<const TraceContext*>(&span.context());
    return m_options.sampledShare > 0 || (context && context->isSampled());
}

std::unique_ptr<opentracing::Span> JsonLinesTracer::StartSpanWithOptions(opentracing::string_view name, const opentracing::StartSpanOptions& options) const noexcept
{
    auto parent = parentOf(options);
    return std::make_unique<JsonLinesSpan>(*this, std::string(name), makeContext(parent), parent ? parent->span() : 0, options);
}

TraceContext JsonLinesTracer::makeContext(const TraceContext* parent) const
{
    // Zero is no valid id.
    auto span = m_random() | 1;
    if (parent)
        return { parent->traceHigh(), parent->traceLow(), span, parent->isSampled() };
    bool isSampled = std::bernoulli_distribution(m_options.sampledShare)(m_random);
    auto traceHigh = m_random();
    return { traceHigh, m_random() | 1, span, isSampled };
}

void JsonLinesTracer::write(const std::string& line) const
{
    if (m_options.sink)
        m_options.sink(line);
}

opentracing::expected<void> JsonLinesTracer::Inject(const opentracing::SpanContext&, std::ostream&) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<void> JsonLinesTracer::Inject(const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const
{
    auto own = dynamic_cast<const TraceContext*>(&context);
    if (!own)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set(traceparentKey, own->traceparent());
}

opentracing::expected<void> JsonLinesTracer::Inject(const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const
{
    return Inject(context, static_cast<const opentracing::TextMapWriter&>(writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonLinesTracer::Extract(std::istream&) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonLinesTracer::Extract(const opentracing::TextMapReader& reader) const
{
    std::unique_ptr<opentracing::SpanContext> found;
    auto result = reader.ForeachKey([&](opentracing::string_view key, opentracing::string_view value) -> opentracing::expected<void> {
        auto context = key == traceparentKey ? TraceContext::parse({ value.data(), value.size() }) : std::nullopt;
        if (context)
            found = context->Clone();
        return {};
    });
    if (!result)
        return opentracing::make_unexpected(result.error());
    return found;
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonLinesTracer::Extract(const opentracing::HTTPHeadersReader& reader) const
{
    return Extract(static_cast<const opentracing::TextMapReader&>(reader));
}

}
