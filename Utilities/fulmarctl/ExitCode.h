#pragma once

#include <LibModel/EnumNames.h>

namespace FulmarCtl {

// The exit codes of fulmarctl, as documented.
enum class ExitCode {
    Done = 0,
    // The call failed: a peer didn't answer or refused.
    Failed = 1,
    // The command line, the settings or a profile can't be accepted.
    BadInput = 2,
    // Another operator's revision stands in the way; nothing was changed.
    Conflict = 3,
    // The change may have been accepted; the platform doesn't answer.
    Unknown = 4,
    // The change was accepted but isn't in force everywhere yet.
    NotYetEverywhere = 5,
    // Those of `check`, which has numbers of its own so that scripts tell findings from failures; see docs/CHECK.md.
    CheckWarnings = 1,
    CheckErrors = 2,
    CheckUnreadable = 3,
};

}

template <>
struct Model::EnumNames<FulmarCtl::ExitCode> {
    static constexpr std::array entries {
        EnumName { FulmarCtl::ExitCode::Done, "done" },
        EnumName { FulmarCtl::ExitCode::Failed, "failed" },
        EnumName { FulmarCtl::ExitCode::BadInput, "bad-input" },
        EnumName { FulmarCtl::ExitCode::Conflict, "conflict" },
        EnumName { FulmarCtl::ExitCode::Unknown, "unknown" },
        EnumName { FulmarCtl::ExitCode::NotYetEverywhere, "not-yet-everywhere" },
    };
};
