#include <LibControl/JsonText.h>
#include <LibModel/TextFile.h>
#include <Utilities/fulmarctl/CheckCommand.h>

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace FulmarCtl;

namespace {

constexpr auto table = R"({"version":1,"routes":[],"services":[],"limits":{"headerBytes":100,"bodyBytes":1000000,"headerTimeout":1000000,"idleTimeout":1000000}})";

std::string fileWith(const std::string& name, const std::string& text)
{
    auto path = testing::TempDir() + "check-" + name;
    std::ofstream(path) << text;
    return path;
}

class CheckCommand : public testing::Test {
protected:
    int run(std::vector<std::string> files)
    {
        out.str("");
        auto connect = []() -> FleetClient& {
            static FleetClient client({ { { "127.0.0.1", 1 } }, { { "127.0.0.1", 1 } }, std::string(32, 'k'), "" });
            return client;
        };
        CommandContext context { connect, output, std::move(files), "", {}, "", {}, options, out };
        return static_cast<int>(runCheck(context));
    }

    std::ostringstream out;
    OutputFormat output { OutputFormat::Table };
    CheckOptions options;
};

}

TEST_F(CheckCommand, ExitsByTheMostSevereFinding)
{
    EXPECT_EQ(run({ fileWith("desk.yaml", "name: desk\n") }), 0) << out.str();
    EXPECT_EQ(run({ fileWith("budget.yaml", "name: desk\nretries: {budget: 0, minimum-per-second: 0}\n") }), 1) << out.str();
    EXPECT_EQ(run({ fileWith("bad.yaml", "name: desk\nretries: 5\n") }), 2) << out.str();
    EXPECT_EQ(run({ testing::TempDir() + "check-none.yaml" }), 3);
    EXPECT_EQ(run({ testing::TempDir() }), 3);
}

TEST_F(CheckCommand, SaysThatNothingWasComparedIfTheProcessIsGone)
{
    options.process = "127.0.0.1:1";
    EXPECT_EQ(run({ fileWith("desk.yaml", "name: desk\n") }), 1);
    EXPECT_NE(out.str().find("in-force-unavailable: Nothing was compared"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("compared with nothing"), std::string::npos) << out.str();
    options.process = "here";
    EXPECT_EQ(run({ fileWith("desk.yaml", "name: desk\n") }), 3);
}

TEST_F(CheckCommand, PrintsJson)
{
    output = OutputFormat::Json;
    options.inForceFiles = { fileWith("in-force.json", table) };
    EXPECT_EQ(run({ fileWith("routes.json", table) }), 0);
    auto json = Control::parseJson(out.str());
    EXPECT_EQ(json["notes"].asUInt(), 2u);
    EXPECT_EQ(json["comparedWith"].asString(), options.inForceFiles[0]);
    EXPECT_EQ(json["findings"][0]["id"].asString(), "memory-unknown");
    EXPECT_EQ(json["findings"][0]["severity"].asString(), "note");
    EXPECT_EQ(json["findings"][0]["entry"].asString(), "limits");
}

TEST_F(CheckCommand, TakesTheMemoryFromTheSettings)
{
    options.settingsFile = fileWith("settings.yaml", "instance: a\nzone: z\nregion: r\ncallers: 127.0.0.1:1\ncontrol: 127.0.0.1:2\nplatform: [127.0.0.1:3]\nlimits: {memory-bytes: 1048576}\n"
                                                     "fleet-key: 0123456789abcdef0123456789abcdef\noperator-key: fedcba9876543210fedcba9876543210\n");
    EXPECT_EQ(run({ fileWith("routes.json", table) }), 1);
    EXPECT_NE(out.str().find("body-above-memory"), std::string::npos) << out.str();
}

// Names in a file could otherwise move the cursor of the operator's terminal and hide findings.
TEST_F(CheckCommand, WritesNoControlSequences)
{
    run({ fileWith("escape.yaml", "name: \"d\\e[2J\"\nretries: {budget: 0, minimum-per-second: 0}\n") });
    EXPECT_EQ(out.str().find('\x1b'), std::string::npos);
}

TEST(CheckPage, NamesEveryFindingWithItsSeverity)
{
    auto page = Model::readTextFile(std::string(FULMAR_WORKSPACE) + "/docs/CHECK.md");
    for (const auto& entry : Model::EnumNames<Check::FindingId>::entries) {
        auto row = "| `" + std::string(entry.name) + "` | " + std::string(nameOf(Check::severityOf(entry.value))) + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}
