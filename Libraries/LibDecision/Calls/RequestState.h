#pragma once

#include <LibModel/EnumNames.h>

namespace Decision {

// States of a caller's request; their transitions are in Charts/request.yaml.
enum class RequestState {
    Routing,
    Attempting,
    Answered,
    Refused,
    Unknown,
    Abandoned,
};

enum class RequestEvent {
    Sent,
    Answered,
    RetryAllowed,
    Refused,
    OutcomeLost,
    CallerGone,
};

}

template <>
struct Model::EnumNames<Decision::RequestState> {
    static constexpr std::array entries {
        EnumName { Decision::RequestState::Routing, "routing" },
        EnumName { Decision::RequestState::Attempting, "attempting" },
        EnumName { Decision::RequestState::Answered, "answered" },
        EnumName { Decision::RequestState::Refused, "refused" },
        EnumName { Decision::RequestState::Unknown, "unknown" },
        EnumName { Decision::RequestState::Abandoned, "abandoned" },
    };
};

template <>
struct Model::EnumNames<Decision::RequestEvent> {
    static constexpr std::array entries {
        EnumName { Decision::RequestEvent::Sent, "sent" },
        EnumName { Decision::RequestEvent::Answered, "answered" },
        EnumName { Decision::RequestEvent::RetryAllowed, "retry-allowed" },
        EnumName { Decision::RequestEvent::Refused, "refused" },
        EnumName { Decision::RequestEvent::OutcomeLost, "outcome-lost" },
        EnumName { Decision::RequestEvent::CallerGone, "caller-gone" },
    };
};
