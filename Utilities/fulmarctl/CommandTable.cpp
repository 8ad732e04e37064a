#include <Utilities/fulmarctl/CommandTable.h>

#include <Utilities/fulmarctl/CheckCommand.h>
#include <Utilities/fulmarctl/CompletionCommand.h>
#include <Utilities/fulmarctl/ExplainCommand.h>
#include <Utilities/fulmarctl/ProfileCommands.h>
#include <Utilities/fulmarctl/PublishCommand.h>
#include <Utilities/fulmarctl/StatusCommand.h>

#include <algorithm>
#include <array>

namespace FulmarCtl {

namespace {

    constexpr std::array commands {
        Command { "check", "FILE...", 1, "Checks routes, tenants and profiles before they are published; see --in-force, --process, --settings, --json", runCheck, true, ExitCode::CheckUnreadable },
        Command { "profile validate", "FILE", 1, "Checks a profile without publishing it", validateProfile },
        Command { "profile defaults", "", 0, "Prints a profile with all default values", printDefaultProfile },
        Command { "profile diff", "FILE", 1, "Compares a profile with the revision in force", diffProfile },
        Command { "profile publish", "FILE", 1, "Publishes a profile as the next revision; see --wait, --base, --author", publishProfile },
        Command { "profile amend", "NAME SECTION.KEY=VALUE", 2, "Sets one value of the profile in force and publishes it", amendProfile },
        Command { "profile show", "NAME", 1, "Prints the revision in force", showProfile },
        Command { "profile history", "NAME", 1, "Prints every revision that the platform remembers", showHistory },
        Command { "status", "", 0, "Prints members, backend servers and revisions in force", showStatus },
        Command { "explain", "backend|request|service ID", 2, "Prints what was decided, where, and on which evidence", explain },
        Command { "drain", "BACKEND", 1, "Begins the drain of a backend server", drainBackend },
        Command { "completion", "", 0, "Prints a completion script for bash", printCompletion },
    };

}

std::span<const Command> allCommands()
{
    return commands;
}

const Command* takeCommand(std::vector<std::string>& arguments)
{
    for (size_t words = std::min<size_t>(2, arguments.size()); words > 0; --words) {
        auto name = arguments[0] + (words == 2 ? " " + arguments[1] : "");
        auto command = std::ranges::find(commands, name, &Command::words);
        if (command == commands.end())
            continue;
        arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(words));
        return command;
    }
    return nullptr;
}

}
