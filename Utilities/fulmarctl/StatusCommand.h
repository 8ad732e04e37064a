#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

namespace FulmarCtl {

// Prints members, services with their backend servers and why they are out, and which revisions are in force where.
ExitCode showStatus(CommandContext&);

}
