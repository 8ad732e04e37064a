#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

namespace FulmarCtl {

// Checks the configuration in the named files, and compares it with the one in force if the options name one. Nothing
// is published.
ExitCode runCheck(CommandContext&);

}
