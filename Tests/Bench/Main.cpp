#include "BaselinePolicies.h"
#include "Capacity.h"
#include "Crossing.h"
#include "Driver.h"
#include "FulmarPolicy.h"

#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Bench {

namespace {

    enum class PolicyKind {
        Fulmarsail,
        RoundRobin,
        LeastOutstanding,
        HealthChecks,
        ConsecutiveFailures,
    };

}

}

template <>
struct Model::EnumNames<Bench::PolicyKind> {
    static constexpr std::array entries {
        EnumName { Bench::PolicyKind::Fulmarsail, "fulmarsail" },
        EnumName { Bench::PolicyKind::RoundRobin, "round-robin" },
        EnumName { Bench::PolicyKind::LeastOutstanding, "least-outstanding" },
        EnumName { Bench::PolicyKind::HealthChecks, "health-checks" },
        EnumName { Bench::PolicyKind::ConsecutiveFailures, "consecutive-failures" },
    };
};

namespace Bench {

namespace {

    struct Options {
        uint64_t seed { 1 };
        int runs { 5 };
        double healthyHours { 0.1 };
        bool isCsv { false };
        bool explains { false };
        std::string service;
        std::string fault;
        std::string policy;
        bool measuresCapacity { false };
        bool measuresCrossing { false };
    };

    struct Scenario {
        std::string name;
        FaultKind fault { FaultKind::None };
        double load { 0.5 };
        Duration measured { 20s };
        int runs { 1 };
    };

    Measurement measureOnce(const ServiceShape& shape, const Scenario& scenario, PolicyKind kind, uint64_t seed, bool explains)
    {
        RunOptions run { .seed = seed, .load = scenario.load, .measured = scenario.measured };
        auto victim = static_cast<int>(seed % shape.backendCount);
        Fault fault(scenario.fault, shape, victim, Instant {} + run.warmUp, Instant {} + run.warmUp + run.measured);
        auto drive = [&](auto policy) { return Driver<decltype(policy)>(shape, run, fault, policy).run(); };
        switch (kind) {
        case PolicyKind::Fulmarsail:
            return drive(FulmarPolicy(shape, seed, explains));
        case PolicyKind::RoundRobin:
            return drive(RoundRobin(shape, seed));
        case PolicyKind::LeastOutstanding:
            return drive(LeastOutstanding(shape, seed));
        case PolicyKind::HealthChecks:
            return drive(HealthChecksAlone(shape, seed));
        case PolicyKind::ConsecutiveFailures:
            return drive(ConsecutiveFailures(shape, seed));
        }
        return {};
    }

    std::vector<Scenario> scenariosOf(const Options& options)
    {
        std::vector<Scenario> scenarios;
        auto healthyTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.healthyHours * 3600));
        scenarios.push_back({ "healthy", FaultKind::None, 0.5, healthyTime, 1 });
        for (const auto& entry : EnumNames<FaultKind>::entries) {
            if (entry.value != FaultKind::None)
                scenarios.push_back({ std::string(entry.name), entry.value, 0.5, 20s, options.runs });
        }
        for (auto [name, load] : { std::pair("load-1x", 1.0), std::pair("load-1.5x", 1.5), std::pair("load-3x", 3.0) })
            scenarios.push_back({ name, FaultKind::None, load, 20s, options.runs });
        return scenarios;
    }

    std::string milliseconds(Duration duration, int digits)
    {
        std::ostringstream text;
        text << std::fixed << std::setprecision(digits) << std::chrono::duration<double, std::milli>(duration).count();
        return text.str();
    }

    std::string share(uint64_t part, uint64_t whole)
    {
        std::ostringstream text;
        text << std::fixed << std::setprecision(2) << (whole > 0 ? 100.0 * static_cast<double>(part) / static_cast<double>(whole) : 0.0);
        return text.str();
    }

    std::string rate(uint64_t count, Duration window, Duration per, int digits)
    {
        std::ostringstream text;
        auto periods = std::chrono::duration<double>(window) / std::chrono::duration<double>(per);
        text << std::fixed << std::setprecision(digits) << static_cast<double>(count) / periods;
        return text.str();
    }

    Duration percentileOf(std::vector<Duration> values, double share)
    {
        Latencies latencies;
        for (auto value : values)
            latencies.add(value);
        return latencies.percentile(share);
    }

    const std::vector<std::string> columns { "service", "scenario", "policy", "detect p50 ms", "detect p99 ms", "undetected", "to sick %",
        "failed %", "p50 ms", "p99 ms", "p99.9 ms", "good/s", "retries %", "false/h", "probes/s" };

    std::vector<std::string> row(const ServiceShape& shape, const Scenario& scenario, PolicyKind kind, Measurement& measured)
    {
        bool hasSick = !measured.detections.empty();
        return { shape.name, scenario.name, std::string(nameOf(kind)),
            hasSick ? milliseconds(percentileOf(measured.detections, 0.5), 0) : "-",
            hasSick ? milliseconds(percentileOf(measured.detections, 0.99), 0) : "-",
            hasSick ? std::to_string(measured.undetected) + "/" + std::to_string(measured.detections.size()) : "-",
            hasSick ? share(measured.sendsToSick, measured.sends) : "-",
            share(measured.failed, measured.good + measured.failed),
            milliseconds(measured.latencies.percentile(0.5), 1),
            milliseconds(measured.latencies.percentile(0.99), 1),
            milliseconds(measured.latencies.percentile(0.999), 1),
            rate(measured.good, measured.window, 1s, 0),
            share(measured.retries, measured.calls),
            rate(measured.falseEjections, measured.window, 1h, 1),
            rate(measured.probes, measured.window, 1s, 2) };
    }

    void print(const std::vector<std::string>& cells, bool isCsv)
    {
        constexpr std::array widths { 19, 15, 21, 14, 14, 11, 10, 9, 8, 8, 9, 7, 10, 8, 9 };
        constexpr size_t textColumns = 3;
        for (size_t column = 0; column < cells.size(); ++column) {
            if (isCsv) {
                std::cout << (column > 0 ? "," : "") << cells[column];
                continue;
            }
            std::cout << (column < textColumns ? std::left : std::right) << std::setw(widths[column]) << cells[column];
        }
        std::cout << std::endl;
    }

    void measureAll(const Options& options)
    {
        print(columns, options.isCsv);
        for (const auto& shape : loadServiceShapes()) {
            if (!options.service.empty() && options.service != shape.name)
                continue;
            for (const auto& scenario : scenariosOf(options)) {
                if (!options.fault.empty() && options.fault != scenario.name)
                    continue;
                for (const auto& policy : EnumNames<PolicyKind>::entries) {
                    if (!options.policy.empty() && options.policy != policy.name)
                        continue;
                    Measurement total;
                    for (int run = 0; run < scenario.runs; ++run)
                        total.add(measureOnce(shape, scenario, policy.value, options.seed + run, options.explains));
                    print(row(shape, scenario, policy.value, total), options.isCsv);
                }
            }
        }
    }

    Options readOptions(int argumentCount, char** arguments)
    {
        cxxopts::Options description("bench-decisions", "Measures health, floor and routing against baselines in simulated time.");
        Options options;
        description.add_options()("seed", "Seed of the first run", cxxopts::value(options.seed))(
            "runs", "Runs of each fault", cxxopts::value(options.runs))(
            "healthy-hours", "Simulated hours without a fault", cxxopts::value(options.healthyHours))(
            "csv", "Print comma-separated values", cxxopts::value(options.isCsv))(
            "explain", "Print fulmarsail's decisions to standard error", cxxopts::value(options.explains))(
            "service", "Only this service", cxxopts::value(options.service))(
            "scenario", "Only this scenario", cxxopts::value(options.fault))(
            "policy", "Only this policy", cxxopts::value(options.policy))(
            "capacity", "Only memory and processor time of one process at the two-year size", cxxopts::value(options.measuresCapacity))(
            "crossing", "Only the decision whether requests leave their availability zone, apart from all others", cxxopts::value(options.measuresCrossing))(
            "help", "Print this help");
        auto parsed = description.parse(argumentCount, arguments);
        if (parsed.count("help")) {
            std::cout << description.help();
            std::exit(0);
        }
        return options;
    }

}

}

int main(int argumentCount, char** arguments)
{
    try {
        auto options = Bench::readOptions(argumentCount, arguments);
        if (options.measuresCapacity) {
            Bench::measureCapacity(std::cout);
            return 0;
        }
        if (options.measuresCrossing) {
            Bench::measureCrossing(std::cout, options.seed);
            return 0;
        }
        Bench::measureAll(options);
    } catch (const std::exception& error) {
        std::cerr << "bench-decisions: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
