#pragma once

#include <LibDecision/Charts.h>

namespace Decision {

// The state of a profile revision at one process, as defined in Charts/profile-revision.yaml.
enum class RevisionState {
    Received,
    InForce,
    Superseded,
    Rejected,
};

enum class RevisionEvent {
    Checked,
    CheckFailed,
    Superseded,
};

}

template <>
struct Model::EnumNames<Decision::RevisionState> {
    static constexpr std::array entries {
        EnumName { Decision::RevisionState::Received, "heard" },
        EnumName { Decision::RevisionState::InForce, "in-force" },
        EnumName { Decision::RevisionState::Superseded, "superseded" },
        EnumName { Decision::RevisionState::Rejected, "rejected" },
    };
};

template <>
struct Model::EnumNames<Decision::RevisionEvent> {
    static constexpr std::array entries {
        EnumName { Decision::RevisionEvent::Checked, "checked" },
        EnumName { Decision::RevisionEvent::CheckFailed, "check-failed" },
        EnumName { Decision::RevisionEvent::Superseded, "superseded" },
    };
};
