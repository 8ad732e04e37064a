#pragma once

#include <LibCheck/DocumentReader.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Settings.h>
#include <Utilities/fulmarctl/ExitCode.h>
#include <Utilities/fulmarctl/FleetClient.h>

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace FulmarCtl {

enum class OutputFormat {
    Table,
    Json,
};

}

template <>
struct Model::EnumNames<FulmarCtl::OutputFormat> {
    static constexpr std::array entries {
        EnumName { FulmarCtl::OutputFormat::Table, "table" },
        EnumName { FulmarCtl::OutputFormat::Json, "json" },
    };
};

namespace FulmarCtl {

// What `check` compares with, and how it reads what the users' platform has its own forms for.
struct CheckOptions {
    // Files with the configuration in force.
    std::vector<std::string> inForceFiles;
    // Control address of the process that is asked for the configuration in force; empty if none is.
    std::string process;
    // Settings of a process; empty if not given.
    std::string settingsFile;
    // The same in the platform's form.
    std::string nodeFile;
    std::vector<Check::TableForm> tableForms;
    std::function<Settings(std::string_view text, const std::string& fileName)> readNodeFile;
};

// What every command gets from the command line.
struct CommandContext {
    // Reads the operator's settings and connects, when a command first needs the fleet. Throws Model::Error.
    std::function<FleetClient&()> fleet;
    OutputFormat output { OutputFormat::Table };
    // Words after the command's own.
    std::vector<std::string> arguments;
    std::string author;
    // How long `profile publish` waits until the revision is in force everywhere.
    std::optional<Duration> wait;
    // Service that `status` is limited to; empty for all.
    std::string service;
    // Revision that a profile was edited from; nothing means the one in force.
    std::optional<Revision> base;
    CheckOptions check;
    std::ostream& out;
};

}
