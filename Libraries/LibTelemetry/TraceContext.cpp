#include <LibTelemetry/TraceContext.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace Telemetry {

namespace {

    // "00-" trace (32 digits) "-" span (16 digits) "-" flags (2 digits)
    constexpr size_t traceparentLength = 55;

    std::string formatHexadecimal(uint64_t value)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
        return text.data();
    }

    std::optional<uint64_t> parseHexadecimal(std::string_view text)
    {
        constexpr int hexadecimal = 16;
        uint64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        bool hasUpperCase = text.find_first_of("ABCDEF") != std::string_view::npos;
        if (error != std::errc() || end != text.data() + text.size() || hasUpperCase)
            return std::nullopt;
        return value;
    }

}

TraceContext::TraceContext(uint64_t traceHigh, uint64_t traceLow, uint64_t span, bool isSampled)
    : m_traceHigh(traceHigh)
    , m_traceLow(traceLow)
    , m_span(span)
    , m_isSampled(isSampled)
{
}

std::optional<TraceContext> TraceContext::parse(std::string_view text)
{
    // Later versions may be longer, but begin alike.
    bool isLongEnough = text.size() == traceparentLength || (text.size() > traceparentLength && !text.starts_with("00") && text[traceparentLength] == '-');
    if (!isLongEnough || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    auto version = parseHexadecimal(text.substr(0, 2));
    auto traceHigh = parseHexadecimal(text.substr(3, 16));
    auto traceLow = parseHexadecimal(text.substr(19, 16));
    auto span = parseHexadecimal(text.substr(36, 16));
    auto flags = parseHexadecimal(text.substr(53, 2));
    constexpr uint64_t forbiddenVersion = 255;
    if (!version || !traceHigh || !traceLow || !span || !flags || *version == forbiddenVersion)
        return std::nullopt;
    if ((*traceHigh == 0 && *traceLow == 0) || *span == 0)
        return std::nullopt;
    return TraceContext(*traceHigh, *traceLow, *span, (*flags & 1) != 0);
}

std::string TraceContext::traceparent() const
{
    return "00-" + ToTraceID() + "-" + ToSpanID() + (m_isSampled ? "-01" : "-00");
}

std::unique_ptr<opentracing::SpanContext> TraceContext::Clone() const noexcept
{
    return std::make_unique<TraceContext>(*this);
}

std::string TraceContext::ToTraceID() const noexcept { return formatHexadecimal(m_traceHigh) + formatHexadecimal(m_traceLow); }
std::string TraceContext::ToSpanID() const noexcept { return formatHexadecimal(m_span); }

}
