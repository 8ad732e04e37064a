#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

namespace FulmarCtl {

// Prints what the fleet decided about a backend server, a request or a service, joined from all processes.
ExitCode explain(CommandContext&);

}
