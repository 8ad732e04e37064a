#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

namespace FulmarCtl {

// Publishes the profile in the named file as the next revision, by compare-and-swap on the revision that it was
// edited from.
ExitCode publishProfile(CommandContext&);

// Sets single values of the profile in force, given as SECTION.KEY=VALUE, and publishes the result.
ExitCode amendProfile(CommandContext&);

}
