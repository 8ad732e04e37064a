#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

#include <span>
#include <string_view>

namespace FulmarCtl {

// A command as it stands on the command line.
struct Command {
    // One or two words, such as "profile publish".
    std::string_view words;
    // Names of its arguments, for help.
    std::string_view argumentNames;
    size_t argumentCount { 0 };
    std::string_view summary;
    ExitCode (*run)(CommandContext&) { nullptr };
    // Whether the last argument may be repeated.
    bool takesMore { false };
    // What a wrong number of arguments ends with.
    ExitCode usageError { ExitCode::BadInput };

    bool accepts(size_t count) const { return takesMore ? count >= argumentCount : count == argumentCount; }
};

std::span<const Command> allCommands();

// Gives the command whose words begin the arguments, and removes those words; nothing if there is none.
const Command* takeCommand(std::vector<std::string>& arguments);

}
