#pragma once

#include <Utilities/fulmarctl/CommandContext.h>

namespace FulmarCtl {

// Prints a bash completion script that is made from the table of commands.
ExitCode printCompletion(CommandContext&);

}
