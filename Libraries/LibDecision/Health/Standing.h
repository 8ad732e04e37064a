#pragma once

#include <LibModel/EnumNames.h>

#include <string>

namespace Decision {

using namespace Model;

enum class StandingState {
    Healthy,
    Suspect,
    Ejected,
    Returning,
};

enum class StandingEvent {
    Suspected,
    Cleared,
    // The evidence is confirmed and the floor allows the ejection.
    Condemned,
    EjectionOver,
    // Fewer slots are in use than the floor requires, so the backend server is taken back.
    FloorReached,
    // The time of the return passed without enough evidence of a fault.
    Proven,
};

// One process's view of one backend server's health; input of routing.
struct Standing {
    StandingState state { StandingState::Healthy };
    // Share of its usual requests that it should get: 0 if ejected, between 0 and 1 while it returns or is cold.
    double share { 1 };
    // True in the first half of a return, when it should get idempotent requests only.
    bool isIdempotentOnly { false };
    // True if the evidence is above the ejection threshold and only the floor or the confirmation delay keeps it in
    // use. It should get only requests that the others have no capacity for.
    bool isLastResort { false };
    // From 0 (healthy) to 1 (certainly faulty); 0.5 is the ejection threshold.
    double suspicion { 0 };
    // Readable description of the evidence, for decision events and the operator API.
    std::string evidence;
};

}

template <>
struct Model::EnumNames<Decision::StandingState> {
    static constexpr std::array entries {
        EnumName { Decision::StandingState::Healthy, "healthy" },
        EnumName { Decision::StandingState::Suspect, "suspect" },
        EnumName { Decision::StandingState::Ejected, "ejected" },
        EnumName { Decision::StandingState::Returning, "returning" },
    };
};

template <>
struct Model::EnumNames<Decision::StandingEvent> {
    static constexpr std::array entries {
        EnumName { Decision::StandingEvent::Suspected, "suspected" },
        EnumName { Decision::StandingEvent::Cleared, "cleared" },
        EnumName { Decision::StandingEvent::Condemned, "condemned" },
        EnumName { Decision::StandingEvent::EjectionOver, "ejection-over" },
        EnumName { Decision::StandingEvent::FloorReached, "floor-reached" },
        EnumName { Decision::StandingEvent::Proven, "proven" },
    };
};
