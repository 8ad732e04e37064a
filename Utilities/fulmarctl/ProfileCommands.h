#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

namespace FulmarCtl {

// Checks the profile in the named file without publishing it.
ExitCode validateProfile(CommandContext&);

// Prints a profile with all its default values.
ExitCode printDefaultProfile(CommandContext&);

// Prints the profile revision in force, as the first process that answers knows it.
ExitCode showProfile(CommandContext&);

// Compares the profile in the named file with the revision in force.
ExitCode diffProfile(CommandContext&);

// Prints every revision of a profile that the platform remembers.
ExitCode showHistory(CommandContext&);

// Begins the drain of a backend server, wherever its sidecar is.
ExitCode drainBackend(CommandContext&);

}
