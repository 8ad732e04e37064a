#include <LibModel/DurationText.h>
#include <LibModel/Error.h>
#include <LibModel/TextFile.h>
#include <Utilities/fulmarctl/CommandTable.h>
#include <platform/NodeFile.h>
#include <platform/OperatorConfiguration.h>

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace FulmarCtl;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("fulmarctl", "Steers and explains a fleet of fulmard processes.");
    options.add_options()("config", "Operator's settings (YAML)", cxxopts::value<std::string>()->default_value("fulmarctl.yaml"));
    options.add_options()("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
    options.add_options()("author", "Name for the history", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("wait", "How long to wait until the revision is in force everywhere, such as 3s", cxxopts::value<std::string>());
    options.add_options()("base", "Revision that the profile was edited from; default: the one in force", cxxopts::value<uint64_t>());
    options.add_options()("service", "Limits status to one service", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("json", "The same as --output json");
    options.add_options()("in-force", "File with the routes or a profile in force, to compare with; may be repeated (check)", cxxopts::value<std::vector<std::string>>());
    options.add_options()("process", "Control address of a process to take the configuration in force from, such as 127.0.0.1:8081 (check)", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("settings", "Settings of a process (check)", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("node-file", "Settings of a process in the platform's form (check)", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("version", "Print the version");
    options.add_options()("help", "Print this help");
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "words" });
    return options;
}

void printHelp(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const auto& command : allCommands())
        std::cout << "  " << command.words << " " << command.argumentNames << "\n      " << command.summary << "\n";
    std::cout << "\nExit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 unknown, 5 not yet in force everywhere\n"
                 "Exit codes of check: 0 no findings or only notes, 1 warnings, 2 errors, 3 the input couldn't be read\n"
                 "\nExamples:\n"
                 "  fulmarctl check routes.json office-desk.yaml --process 127.0.0.1:8081\n"
                 "  fulmarctl profile publish office-desk.yaml --wait 3s --author amina\n"
                 "  fulmarctl profile amend office-desk health.floor=0.8\n"
                 "  fulmarctl explain backend commission-desk-1-1\n"
                 "  fulmarctl status --service commission-desk --output json\n";
}

std::optional<Duration> readWait(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("wait") == 0)
        return std::nullopt;
    auto wait = Model::parseDuration(parsed["wait"].as<std::string>());
    if (!wait)
        throw Model::Error("read-options", "local", "--wait takes a duration such as 3s");
    return wait;
}

CheckOptions readCheckOptions(const cxxopts::ParseResult& parsed)
{
    CheckOptions options;
    if (parsed.count("in-force"))
        options.inForceFiles = parsed["in-force"].as<std::vector<std::string>>();
    options.process = parsed["process"].as<std::string>();
    options.settingsFile = parsed["settings"].as<std::string>();
    options.nodeFile = parsed["node-file"].as<std::string>();
    options.tableForms.push_back({ PlatformAdapter::isOperatorConfiguration, PlatformAdapter::parseOperatorConfiguration });
    options.readNodeFile = PlatformAdapter::readNodeFile;
    return options;
}

CommandContext readContext(const cxxopts::ParseResult& parsed, std::function<FleetClient&()> connect, std::vector<std::string> arguments)
{
    auto output = Model::enumFromName<OutputFormat>(parsed.count("json") ? "json" : parsed["output"].as<std::string>());
    if (!output)
        throw Model::Error("read-options", "local", "--output takes table or json");
    CommandContext context { std::move(connect), *output, std::move(arguments), parsed["author"].as<std::string>(), readWait(parsed), parsed["service"].as<std::string>(), {}, readCheckOptions(parsed), std::cout };
    if (parsed.count("base"))
        context.base = Revision(parsed["base"].as<uint64_t>());
    return context;
}

ExitCode runCommand(const cxxopts::ParseResult& parsed)
{
    auto words = parsed.count("words") ? parsed["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    auto command = takeCommand(words);
    if (!command || !command->accepts(words.size())) {
        std::cerr << "fulmarctl: " << (command ? "wrong number of arguments" : "no such command") << "; see fulmarctl --help\n";
        return command ? command->usageError : ExitCode::BadInput;
    }

    std::optional<FleetClient> fleet;
    auto connect = [&]() -> FleetClient& {
        auto path = parsed["config"].as<std::string>();
        if (!fleet)
            fleet.emplace(Model::parseOperatorSettings(readTextFile(path), path));
        return *fleet;
    };
    std::optional<CommandContext> context;
    try {
        context.emplace(readContext(parsed, connect, std::move(words)));
    } catch (const Model::Error& error) {
        // The code for failures is that of warnings with `check`.
        if (command->usageError == ExitCode::BadInput)
            throw;
        std::cerr << "fulmarctl: " << error.what() << "\n";
        return command->usageError;
    }
    return command->run(*context);
}

}

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            printHelp(options);
            return 0;
        }
        if (parsed.count("version")) {
            std::cout << "fulmarctl " FULMAR_VERSION "\n";
            return 0;
        }
        return static_cast<int>(runCommand(parsed));
    } catch (const Model::DocumentError& error) {
        std::cerr << "fulmarctl: " << error.what() << "\n";
        return static_cast<int>(ExitCode::BadInput);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "fulmarctl: " << error.what() << "; see fulmarctl --help\n";
        return static_cast<int>(ExitCode::BadInput);
    } catch (const std::exception& error) {
        std::cerr << "fulmarctl: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}
