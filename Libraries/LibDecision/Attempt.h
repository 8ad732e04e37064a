#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Outcome.h>
#include <LibModel/Time.h>

#include <cstdint>

namespace Decision {

using namespace Model;

// How one send of a request to a sidecar or to a backend server ended, as the sender saw it.
enum class AttemptResult {
    // A whole answer arrived.
    Answered,
    // The peer said definitely that the request was not run.
    RefusedNotRun,
    // No byte of the request was sent.
    NotSent,
    // The connection ended or broke off within the answer, or before it.
    Cut,
    // The answer broke the protocol or its length limit.
    Malformed,
    // The deadline passed.
    TimedOut,
    // Nothing moved on the connection while others worked.
    Silent,
    // The peer said that the request may have run, but it has no answer.
    PeerUnknown,
    // The first outcome of the request's key is kept by another process.
    Redirected,
    // The caller went away or another attempt was answered.
    Cancelled,
};

// What an order's arrival at a backend server counts as, where the arrivals of a whole fleet are bounded.
enum class ArrivalKind {
    // The request's first arrival at any backend server.
    First,
    // The request may have arrived at a backend server before. It is refused if the sidecar's part is used up.
    Retry,
    // Counts like a retry but isn't refused: a call that a retried run makes, or a request whose earlier send was given
    // up for this one.
    Counted,
};

// What a sidecar says about its backend server in each answer and refusal.
struct LoadReport {
    uint32_t slots { 0 };
    uint32_t running { 0 };
    uint32_t queued { 0 };
    // Exponentially weighted mean time that the backend server takes for a request, without the queue.
    Duration serviceTime { 0 };
    // The sidecar's suspicion against the backend server: 0 is healthy, 1 is certainly sick.
    double suspicion { 0 };
    // How probable it is that the backend server fails its requests right now.
    double faultProbability { 0 };

    bool operator==(const LoadReport&) const = default;
};

// What the ingress learns when an attempt ends.
struct AttemptReport {
    AttemptResult result { AttemptResult::Answered };
    // HTTP status of the answer, 0 if there is none.
    uint16_t status { 0 };
    // Why the peer refused, if it did.
    Reason reason { Reason::None };
    // From sending until the end, by the ingress's clock.
    Duration elapsed { 0 };
    // The time that the backend server itself took, by the sidecar's clock; zero if it wasn't asked.
    Duration serviceTime { 0 };
    // Whether the load report below was present.
    bool hasLoad { false };
    LoadReport load;
    // The process that keeps the key's first outcome, if the result is Redirected.
    InstanceId outcomeKeeper;
};

// What the sidecar learns when its backend server is done with a request.
struct RunReport {
    AttemptResult result { AttemptResult::Answered };
    uint16_t status { 0 };
    Reason reason { Reason::None };
    Duration elapsed { 0 };
    // Whether the connection that carried the request was opened for it.
    bool wasFreshConnection { true };
};

}

template <>
struct Model::EnumNames<Decision::ArrivalKind> {
    static constexpr std::array entries {
        EnumName { Decision::ArrivalKind::First, "first" },
        EnumName { Decision::ArrivalKind::Retry, "retry" },
        EnumName { Decision::ArrivalKind::Counted, "counted" },
    };
};

template <>
struct Model::EnumNames<Decision::AttemptResult> {
    static constexpr std::array entries {
        EnumName { Decision::AttemptResult::Answered, "answered" },
        EnumName { Decision::AttemptResult::RefusedNotRun, "refused-not-run" },
        EnumName { Decision::AttemptResult::NotSent, "not-sent" },
        EnumName { Decision::AttemptResult::Cut, "cut" },
        EnumName { Decision::AttemptResult::Malformed, "malformed" },
        EnumName { Decision::AttemptResult::TimedOut, "timed-out" },
        EnumName { Decision::AttemptResult::Silent, "silent" },
        EnumName { Decision::AttemptResult::PeerUnknown, "peer-unknown" },
        EnumName { Decision::AttemptResult::Redirected, "redirected" },
        EnumName { Decision::AttemptResult::Cancelled, "cancelled" },
    };
};
