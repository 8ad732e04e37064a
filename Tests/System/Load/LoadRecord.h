#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Outcome.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Load {

using namespace Model;

enum class RequestKind {
    // Idempotent, through the fleet.
    Lookup,
    // Not idempotent, sent once.
    Booking,
    // Not idempotent, with an Idempotency-Key, sent again until it is answered.
    KeyedBooking,
    // Idempotent, straight to a backend server.
    Direct,
    // Not idempotent, with a large body, sent once.
    Upload,
};

}

template <>
struct Model::EnumNames<Load::RequestKind> {
    static constexpr std::array entries {
        EnumName { Load::RequestKind::Lookup, "lookup" },
        EnumName { Load::RequestKind::Booking, "booking" },
        EnumName { Load::RequestKind::KeyedBooking, "keyed booking" },
        EnumName { Load::RequestKind::Direct, "direct" },
        EnumName { Load::RequestKind::Upload, "upload" },
    };
};

namespace Load {

// What the caller was told about one send of a request.
enum class Told {
    Answered,
    NotRun,
    Unknown,
    // The process that took the request went away; nothing was told.
    Nothing,
};

}

template <>
struct Model::EnumNames<Load::Told> {
    static constexpr std::array entries {
        EnumName { Load::Told::Answered, "answered" },
        EnumName { Load::Told::NotRun, "not-run" },
        EnumName { Load::Told::Unknown, "unknown" },
        EnumName { Load::Told::Nothing, "nothing" },
    };
};

namespace Load {

// One send of a request and what came of it.
struct SendRecord {
    Told told { Told::Nothing };
    std::string reason;
    uint16_t status { 0 };
    Duration elapsed { 0 };
    // Id that the fleet gave to this send; empty if nothing came back.
    std::string fleetRequestId;
    // Whether a whole answer carried this request's own id and an unbroken body.
    bool isOwnAnswer { false };
    bool isWholeAnswer { false };
    // Known to the backend servers that ran it, also if nothing came back.
    std::string sendId;
    // API key that entitles the send; empty if it goes without, also if it carries one on a public route.
    std::string key;
    Instant sentAt {};
};

// One request of the load, with all its sends.
struct RequestRecord {
    std::string id;
    RequestKind kind { RequestKind::Lookup };
    std::vector<SendRecord> sends;
};

}
