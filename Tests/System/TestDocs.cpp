#include <LibDecision/DecisionEvent.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Error.h>
#include <LibModel/Profile.h>
#include <LibModel/Settings.h>
#include <LibTelemetry/Metrics.h>
#include <Utilities/fulmarctl/CommandTable.h>
#include <Utilities/fulmarctl/ExitCode.h>

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

// The pages must name what the code has.

namespace {

std::string readPage(const std::string& name)
{
    std::ifstream file(std::string(FULMAR_DOCS) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_FALSE(text.str().empty()) << name;
    return text.str();
}

bool names(const std::string& page, const std::string& word)
{
    return page.find(word) != std::string::npos;
}

}

TEST(Docs, EveryProfileKeyIsDocumented)
{
    auto page = readPage("SETTINGS.md");
    Model::Profile profile;
    profile.idempotency.rules.push_back({ Model::Method::Post, "/", true });
    std::istringstream document(Model::formatProfile(profile));
    size_t keys = 0;
    for (std::string line; std::getline(document, line);) {
        auto begin = line.find_first_not_of(" -");
        auto key = line.substr(begin, line.find(':') - begin);
        EXPECT_TRUE(names(page, "`" + key + "`")) << key;
        ++keys;
    }
    EXPECT_GT(keys, 30u);
}

TEST(Docs, EveryDocumentedSettingIsAccepted)
{
    std::istringstream page(readPage("SETTINGS.md"));
    std::set<std::string> sections { "log", "trace", "limits" };
    size_t checked = 0;
    for (std::string line; std::getline(page, line) && !line.starts_with("# Settings of an operator");) {
        if (!line.starts_with("| `"))
            continue;
        auto key = line.substr(3, line.find('`', 3) - 3);
        auto dot = key.find('.');
        auto document = dot == std::string::npos ? key + ": ?\n" : key.substr(0, dot) + ": {" + key.substr(dot + 1) + ": ?}\n";
        try {
            Model::parseSettings("instance: a\nzone: z\nregion: r\ncallers: 127.0.0.1:1\ncontrol: 127.0.0.1:2\nplatform: [127.0.0.1:3]\n"
                                 "fleet-key: 0123456789abcdef0123456789abcdef\noperator-key: fedcba9876543210fedcba9876543210\n"
                    + document,
                "s.yaml");
        } catch (const Model::DocumentError& error) {
            EXPECT_FALSE(names(error.what(), "unknown key")) << error.what();
        }
        ++checked;
    }
    EXPECT_GE(checked, 15u);
}

TEST(Docs, ExitCodesAreThoseOfTheCode)
{
    auto page = readPage("OPERATIONS.md");
    for (const auto& entry : Model::EnumNames<FulmarCtl::ExitCode>::entries)
        EXPECT_TRUE(names(page, std::string(entry.name) + " " + std::to_string(static_cast<int>(entry.value)))) << entry.name;
}

TEST(Docs, AlertsNameMetricsAndDecisionsThatExist)
{
    auto page = readPage("OPERATIONS.md");
    auto metrics = Telemetry::Metrics().prometheusText();
    size_t found = 0;
    for (auto position = page.find("`fulmar_"); position != std::string::npos; position = page.find("`fulmar_", position + 1)) {
        auto metric = page.substr(position + 1, page.find_first_of("`", position + 1) - position - 1);
        EXPECT_TRUE(names(metrics, metric)) << metric;
        ++found;
    }
    EXPECT_GE(found, 6u);
}

TEST(Docs, EveryDocumentedCommandExists)
{
    size_t found = 0;
    for (auto name : { "OPERATIONS.md", "SETTINGS.md" }) {
        auto page = readPage(name);
        for (auto position = page.find("fulmarctl "); position != std::string::npos; position = page.find("fulmarctl ", position + 1)) {
            std::istringstream words(page.substr(position, 60));
            std::vector<std::string> arguments(3);
            words >> arguments[0] >> arguments[1] >> arguments[2];
            arguments.erase(arguments.begin());
            for (auto& argument : arguments)
                argument = argument.substr(0, argument.find_first_of("`:);,|"));
            if (arguments[0].starts_with("--"))
                continue;
            EXPECT_NE(FulmarCtl::takeCommand(arguments), nullptr) << name << ": " << page.substr(position, 40);
            ++found;
        }
    }
    EXPECT_GE(found, 6u);
}

TEST(Docs, EveryCommandHasASummary)
{
    std::set<std::string_view> words;
    for (const auto& command : FulmarCtl::allCommands()) {
        EXPECT_FALSE(command.summary.empty()) << command.words;
        EXPECT_TRUE(words.insert(command.words).second) << command.words;
    }
}
