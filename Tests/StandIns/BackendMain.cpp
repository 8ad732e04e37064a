#include <LibModel/Error.h>
#include <Tests/StandIns/StandInBackend.h>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace StandIns;

namespace {

Endpoint endpointOption(const cxxopts::ParseResult& options, const std::string& name)
{
    auto text = options[name].as<std::string>();
    auto colon = text.rfind(':');
    if (text.ends_with(":0"))
        return { text.substr(0, colon), 0 };
    auto endpoint = Endpoint::parse(text);
    if (!endpoint)
        throw Error("read options", name, "\"" + text + "\" is no endpoint");
    return *endpoint;
}

Duration millisecondsOption(const cxxopts::ParseResult& options, const std::string& name)
{
    return std::chrono::milliseconds(options[name].as<int64_t>());
}

StandInBackendSettings readSettings(const cxxopts::ParseResult& options)
{
    StandInBackendSettings settings;
    settings.id = BackendId(options["id"].as<std::string>());
    settings.service = ServiceName(options["service"].as<std::string>());
    settings.profile = ProfileName(options["profile"].as<std::string>());
    settings.listen = endpointOption(options, "listen");
    if (options.count("control") != 0)
        settings.control = endpointOption(options, "control");
    settings.incarnation = Incarnation(options["incarnation"].as<uint64_t>());
    settings.slots = options["slots"].as<uint32_t>();
    settings.weight = options["weight"].as<double>();
    settings.meanServiceTime = millisecondsOption(options, "mean-service-ms");
    settings.spread = options["spread"].as<double>();
    settings.seed = options["seed"].as<uint64_t>();
    settings.lapse = millisecondsOption(options, "lapse-ms");
    settings.coldStart = millisecondsOption(options, "cold-start-ms");
    settings.secretMarker = options["secret-marker"].as<std::string>();
    settings.drainTime = millisecondsOption(options, "drain-ms");
    return settings;
}

void run(const StandInBackendSettings& settings)
{
    Transport::EventLoop loop;
    StandInBackend backend(loop, settings);
    loop.onSignal(SIGTERM, [&] { backend.drain([&] { loop.stop(); }); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    std::cout << "listening on " << backend.endpoint().toString() << std::endl;
    loop.run();
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-backend", "A backend server for tests, with faults that can be switched at run time.");
    options.add_options()("id", "name, unique in the fleet", cxxopts::value<std::string>()->default_value("backend-1"));
    options.add_options()("service", "service that it belongs to", cxxopts::value<std::string>()->default_value("commission-desk"));
    options.add_options()("profile", "profile of the service", cxxopts::value<std::string>()->default_value("default"));
    options.add_options()("listen", "endpoint; port 0 takes any", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("control", "control endpoint of the process to announce itself to", cxxopts::value<std::string>());
    options.add_options()("incarnation", "grows with each start", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("slots", "requests run at once", cxxopts::value<uint32_t>()->default_value("3"));
    options.add_options()("weight", "share of work", cxxopts::value<double>()->default_value("1"));
    options.add_options()("mean-service-ms", "mean service time", cxxopts::value<int64_t>()->default_value("25"));
    options.add_options()("spread", "standard deviation of the service time's logarithm", cxxopts::value<double>()->default_value("0.3"));
    options.add_options()("seed", "of the random numbers", cxxopts::value<uint64_t>()->default_value("1"));
    options.add_options()("lapse-ms", "how long an announcement holds", cxxopts::value<int64_t>()->default_value("5000"));
    options.add_options()("cold-start-ms", "how long it warms", cxxopts::value<int64_t>()->default_value("0"));
    options.add_options()("drain-ms", "how long it serves on after SIGTERM", cxxopts::value<int64_t>()->default_value("3000"));
    options.add_options()("secret-marker", "text that no request may contain; those that do are listed in the ledger", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("help", "print this");

    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        run(readSettings(parsed));
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin-backend: " << error.what() << "\n";
        return 2;
    }
}
