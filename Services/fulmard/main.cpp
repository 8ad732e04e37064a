#include <LibModel/Error.h>
#include <LibModel/TextFile.h>
#include <LibPlatform/ConsulStore.h>
#include <LibTelemetry/LineWriter.h>
#include <Services/fulmard/BackendApi.h>
#include <Services/fulmard/Daemon.h>
#include <Services/fulmard/StopSignals.h>
#include <platform/InstanceReport.h>
#include <platform/NodeFile.h>
#include <platform/RevisionStore.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <random>
#include <unistd.h>

namespace {

constexpr int exitSettingsRefused = 2;
constexpr int exitFailed = 1;

Model::Incarnation startIncarnation()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Model::Incarnation(std::chrono::duration_cast<Model::Duration>(sinceEpoch).count());
}

uint64_t randomSeed()
{
    std::random_device device;
    return (uint64_t(device()) << 32) | device();
}

template <typename Store, typename... Arguments>
Fulmard::StoreFunction openStore(Transport::EventLoop& loop, Arguments... arguments)
{
    static_assert(Platform::PlatformStore<Store>);
    auto store = std::make_shared<Store>(loop, arguments...);
    return [store](Decision::PlatformTag tag, const Decision::PlatformOperation& operation, Platform::PlatformCallback callback) {
        store->execute(tag, operation, std::move(callback));
    };
}

Fulmard::PlatformInterface platformInterface(const Model::Settings& settings)
{
    if (settings.platformApi == Model::PlatformApi::Consul) {
        Platform::ConsulStoreSettings store { settings.platform };
        return { [store](Transport::EventLoop& loop) { return openStore<Platform::ConsulStore>(loop, store); }, Fulmard::readAnnouncement, {} };
    }
    auto endpoint = settings.platform.front();
    return { [endpoint](Transport::EventLoop& loop) { return openStore<PlatformAdapter::RevisionStore>(loop, endpoint); }, PlatformAdapter::readInstanceReport, PlatformAdapter::latestIncarnation };
}

// The product's settings file, or the one that the platform gives.
Model::Settings readSettings(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings")) {
        auto path = arguments["settings"].as<std::string>();
        return Model::parseSettings(Model::readTextFile(path), path);
    }
    const auto* variable = std::getenv(PlatformAdapter::nodeFileVariable);
    std::string path = arguments.count("node-file") ? arguments["node-file"].as<std::string>() : variable ? variable
                                                                                                          : "";
    if (path.empty())
        throw Model::DocumentError("fulmard", 0, "settings", "missing", "--settings FILE or --node-file FILE; see fulmard --help");
    return PlatformAdapter::readNodeFile(Model::readTextFile(path), path);
}

// Ends the process without destructors. Those of all parts together take a slow instance longer than the platform waits
// for a process to end, and the log library's waits for its worker thread. All lines are written by then. Sanitizers look
// for leaks in the usual way out, so they keep it.
void endProcess()
{
#ifndef __SANITIZE_ADDRESS__
    std::quick_exit(0);
#endif
}

// By default the allocator raises the size from which on it maps blocks one by one whenever such a block is freed. The
// buffers of long bodies would then come from its heap, which doesn't give memory back while anything lies above it.
void keepLongBuffersApart()
{
    constexpr int longBuffer = 128 << 10;
    constexpr int keptAtTop = 1 << 20;
    mallopt(M_MMAP_THRESHOLD, longBuffer);
    mallopt(M_TRIM_THRESHOLD, keptAtTop);
}

// The reader gives the settings anew, for a reload.
void runDaemon(const std::function<Model::Settings()>& readSettings)
{
    keepLongBuffersApart();
    auto settings = readSettings();
    Transport::EventLoop loop;
    Fulmard::DaemonOptions options;
    options.settings = settings;
    options.platform = platformInterface(settings);
    options.start = startIncarnation();
    options.randomSeed = randomSeed();
    options.onLeft = [&] { loop.stop(); };
    options.observability.randomSeed = randomSeed();
    Telemetry::LineWriter traces(STDOUT_FILENO);
    options.observability.traceSink = [&traces](const std::string& line) { traces.write(line); };
    Fulmard::Daemon daemon(loop, std::move(options));

    Fulmard::StopSignals stopSignals;
    auto stop = [&](int signal) {
        switch (stopSignals.receive(signal)) {
        case Fulmard::StopAction::Leave:
            daemon.leave();
            return;
        case Fulmard::StopAction::EndNow:
            daemon.logUnfinished();
            loop.stop();
            return;
        }
    };
    loop.onSignal(SIGTERM, [&] { stop(SIGTERM); });
    loop.onSignal(SIGINT, [&] { stop(SIGINT); });
    loop.onSignal(SIGHUP, [&] { daemon.reload(readSettings); });
    daemon.start();
    loop.run();
    endProcess();
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("fulmard", "Takes callers' requests and stands before backend servers.");
    options.add_options()("s,settings", "Settings file (YAML)", cxxopts::value<std::string>())("node-file", "Settings file of the platform; its environment variable names it if this is not given", cxxopts::value<std::string>())("check", "Check the settings and exit")("version", "Print the version")("h,help", "Print this help");
    // A reload that is asked for before the daemon can do it is not needed: the settings are about to be read.
    std::signal(SIGHUP, SIG_IGN);
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << "fulmard " FULMAR_VERSION "\n";
            return 0;
        }
        auto settings = readSettings(arguments);
        if (arguments.count("check")) {
            std::cout << settings.instance << ": the settings are accepted\n";
            return 0;
        }
        runDaemon([&] { return readSettings(arguments); });
        return 0;
    } catch (const Model::DocumentError& error) {
        std::cerr << "fulmard: " << error.what() << "\n";
        return exitSettingsRefused;
    } catch (const std::exception& error) {
        std::cerr << "fulmard: " << error.what() << "\n";
        return exitFailed;
    }
}
