#pragma once

#include <LibModel/Endpoint.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>

namespace Model {

// Where a backend server stands in its life, as it says of itself.
enum class BackendPhase {
    Warming,
    Serving,
    Draining,
    Gone,
};

template <>
struct EnumNames<BackendPhase> {
    static constexpr std::array entries {
        EnumName { BackendPhase::Warming, "warming" },
        EnumName { BackendPhase::Serving, "serving" },
        EnumName { BackendPhase::Draining, "draining" },
        EnumName { BackendPhase::Gone, "gone" },
    };
};

// What a backend server says of itself to the process beside it.
struct BackendAnnouncement {
    BackendId id;
    ServiceName service;
    ProfileName profile;
    Endpoint endpoint;
    Incarnation incarnation;
    // Requests that it runs at once.
    uint32_t slots { 1 };
    // Share of work against other backend servers of the service.
    double weight { 1.0 };
    BackendPhase phase { BackendPhase::Serving };
    // Grows with each announcement of one incarnation; 0 if the backend server doesn't number them.
    uint64_t sequence { 0 };
};

}
