#pragma once

#include <LibModel/Backend.h>
#include <LibModel/EnumNames.h>

namespace Decision {

using namespace Model;

// Events of the state machine in Charts/backend.yaml, whose states are the phases of a backend server.
enum class BackendLifecycleEvent {
    Announced,
    Ready,
    DrainRequested,
    Drained,
    Withdrawn,
    Lapsed,
};

}

template <>
struct Model::EnumNames<Decision::BackendLifecycleEvent> {
    static constexpr std::array entries {
        EnumName { Decision::BackendLifecycleEvent::Announced, "announced" },
        EnumName { Decision::BackendLifecycleEvent::Ready, "ready" },
        EnumName { Decision::BackendLifecycleEvent::DrainRequested, "drain-requested" },
        EnumName { Decision::BackendLifecycleEvent::Drained, "drained" },
        EnumName { Decision::BackendLifecycleEvent::Withdrawn, "withdrawn" },
        EnumName { Decision::BackendLifecycleEvent::Lapsed, "lapsed" },
    };
};
