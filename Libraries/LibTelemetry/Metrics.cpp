#include <LibTelemetry/Metrics.h>

#include <array>
#include <boost/histogram.hpp>
#include <cstdio>

namespace Telemetry {

namespace {

    namespace Histogram = boost::histogram;

    constexpr double shortestSeconds = 0.0001;
    constexpr double longestSeconds = 100;
    constexpr unsigned bucketsPerDecade = 6;
    constexpr unsigned decades = 6;

    using LogAxis = Histogram::axis::regular<double, Histogram::axis::transform::log>;
    using LatencyHistogram = decltype(Histogram::make_histogram(LogAxis()));

    template <typename Enum>
    constexpr size_t countOf = EnumNames<Enum>::entries.size();

    template <typename Enum>
    using CounterTable = std::array<uint64_t, countOf<Enum>>;

    LatencyHistogram makeLatencyHistogram()
    {
        return Histogram::make_histogram(LogAxis(bucketsPerDecade * decades, shortestSeconds, longestSeconds));
    }

    std::string formatNumber(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.9g", value);
        return text.data();
    }

    void writeHistogram(std::string& text, const std::string& name, const LatencyHistogram& histogram, double sum)
    {
        text += "# TYPE " + name + " histogram\n";
        const auto& axis = histogram.axis(0);
        double cumulative = histogram.at(-1);
        for (int bucket = 0; bucket < axis.size(); ++bucket) {
            cumulative += histogram.at(bucket);
            text += name + "_bucket{le=\"" + formatNumber(axis.bin(bucket).upper()) + "\"} " + formatNumber(cumulative) + "\n";
        }
        cumulative += histogram.at(axis.size());
        text += name + "_bucket{le=\"+Inf\"} " + formatNumber(cumulative) + "\n";
        text += name + "_sum " + formatNumber(sum) + "\n";
        text += name + "_count " + formatNumber(cumulative) + "\n";
    }

    template <typename Enum>
    void writeCounters(std::string& text, const std::string& name, const char* label, const CounterTable<Enum>& counters)
    {
        text += "# TYPE " + name + " counter\n";
        for (size_t position = 0; position < counters.size(); ++position)
            text += name + "{" + label + "=\"" + std::string(EnumNames<Enum>::entries[position].name) + "\"} " + std::to_string(counters[position]) + "\n";
    }

}

struct Metrics::Implementation {
    std::array<LatencyHistogram, countOf<Timing>> histograms;
    std::array<double, countOf<Timing>> sums {};
    std::array<double, countOf<Gauge>> gauges {};
    CounterTable<Total> totals {};
    CounterTable<Outcome> outcomes {};
    CounterTable<Reason> reasons {};
    CounterTable<Decision::AttemptResult> attempts {};
    CounterTable<Decision::DecisionKind> decisions {};
};

Metrics::Metrics()
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->histograms.fill(makeLatencyHistogram());
}

Metrics::~Metrics() = default;

void Metrics::countOutcome(Outcome outcome, Reason reason)
{
    ++m_implementation->outcomes[static_cast<size_t>(outcome)];
    ++m_implementation->reasons[static_cast<size_t>(reason)];
}

void Metrics::countAttempt(Decision::AttemptResult result) { ++m_implementation->attempts[static_cast<size_t>(result)]; }
void Metrics::countDecision(Decision::DecisionKind kind) { ++m_implementation->decisions[static_cast<size_t>(kind)]; }

void Metrics::observe(Timing timing, Duration duration)
{
    auto seconds = std::chrono::duration<double>(duration).count();
    m_implementation->histograms[static_cast<size_t>(timing)](seconds);
    m_implementation->sums[static_cast<size_t>(timing)] += seconds;
}

void Metrics::set(Gauge gauge, double value) { m_implementation->gauges[static_cast<size_t>(gauge)] = value; }
void Metrics::set(Total total, uint64_t value) { m_implementation->totals[static_cast<size_t>(total)] = value; }

std::string Metrics::prometheusText() const
{
    std::string text;
    writeCounters<Outcome>(text, "fulmar_requests_total", "outcome", m_implementation->outcomes);
    writeCounters<Reason>(text, "fulmar_request_reasons_total", "reason", m_implementation->reasons);
    writeCounters<Decision::AttemptResult>(text, "fulmar_attempts_total", "result", m_implementation->attempts);
    writeCounters<Decision::DecisionKind>(text, "fulmar_decisions_total", "kind", m_implementation->decisions);
    for (const auto& entry : EnumNames<Timing>::entries) {
        auto position = static_cast<size_t>(entry.value);
        writeHistogram(text, std::string(entry.name), m_implementation->histograms[position], m_implementation->sums[position]);
    }
    for (const auto& entry : EnumNames<Gauge>::entries)
        text += "# TYPE " + std::string(entry.name) + " gauge\n" + std::string(entry.name) + " " + formatNumber(m_implementation->gauges[static_cast<size_t>(entry.value)]) + "\n";
    for (const auto& entry : EnumNames<Total>::entries)
        text += "# TYPE " + std::string(entry.name) + " counter\n" + std::string(entry.name) + " " + std::to_string(m_implementation->totals[static_cast<size_t>(entry.value)]) + "\n";
    return text;
}

}
