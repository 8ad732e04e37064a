#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Outcome.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <optional>

namespace Decision {

using namespace Model;

// How one send of a request to a sidecar or to a backend server ended, as the sender saw it.
enum class AttemptResult {
    // A complete answer arrived.
    Answered,
    // The peer refused the request and guarantees that it was not run.
    RefusedNotRun,
    // No byte of the request was sent.
    NotSent,
    // The connection was closed or reset before the answer was complete.
    ConnectionLost,
    // The answer violated the protocol or exceeded its length limit.
    Malformed,
    // The deadline passed.
    TimedOut,
    // No data was transferred on the connection for the progress timeout. Other connections to the peer may still work.
    Stalled,
    // The peer reported that the request may have run but that it has no answer.
    OutcomeUnknown,
    // Another process stores the outcome of the first request with this idempotency key.
    Redirected,
    // The caller disconnected, or another attempt was answered.
    Cancelled,
};

// How the arrival of a forwarded request at a sidecar counts towards the fleet-wide limit on retries.
enum class ArrivalKind {
    // The request's first arrival at any backend server.
    First,
    // The request may have arrived at a backend server before. It is refused if the sidecar has used up its share of
    // the retry budget.
    Retry,
    // Counts as a retry, and its refusal would waste a run: a call made by a retried run, or a request that replaces an
    // earlier, abandoned send. It may use the part of the share that is reserved for such arrivals.
    CountedAsRetry,
};

// What a sidecar knows of the state that a backend server's answers tell.
struct BackendCondition {
    // The incarnation that it holds for.
    Incarnation incarnation;
    // Requests a second that it takes from all processes together; nullopt if none is named, or no answer told yet.
    std::optional<double> requestLimit;
    // Time until the limit lets another request through, after those that wait.
    Duration limitWait { 0 };
    // Whether an answer has told the sidecar if there is a limit.
    bool isHeard { false };
    // Whether this incarnation leaves for good.
    bool isLeaving { false };

    bool operator==(const BackendCondition&) const = default;
};

// The state of a backend server, which its sidecar attaches to each answer and refusal.
struct LoadReport {
    uint32_t slots { 0 };
    uint32_t running { 0 };
    uint32_t queued { 0 };
    // Exponentially weighted moving average of the time that the backend server takes per request, without queueing.
    Duration serviceTime { 0 };
    // The sidecar's suspicion that the backend server is unhealthy: 0 is healthy, 1 is certainly unhealthy.
    double suspicion { 0 };
    // Estimated probability, 0 to 1, that the backend server is currently failing its requests.
    double faultProbability { 0 };
    // Whether the sidecar would admit an idempotent request in spite of a probable fault, to find out whether it is over.
    bool isTrialDue { false };
    // Nullopt if the backend server stays, and the sidecar has heard that there is no limit and knows of nobody that
    // believes in one.
    std::optional<BackendCondition> condition;

    bool operator==(const LoadReport&) const = default;
};

// The result of one attempt, as reported to the ingress.
struct AttemptReport {
    AttemptResult result { AttemptResult::Answered };
    // HTTP status of the answer; 0 if there is none.
    uint16_t status { 0 };
    // Why the peer refused the request, if it did.
    Reason reason { Reason::None };
    // Time from sending the request to the end of the attempt, by the ingress's clock.
    Duration elapsed { 0 };
    // Time that the backend server took, by the sidecar's clock; zero if the request was not sent to it.
    Duration serviceTime { 0 };
    // Whether the peer sent a load report.
    bool hasLoad { false };
    LoadReport load;
    // If the result is Redirected: the process that stores the outcome of the first request with this key.
    InstanceId outcomeKeeper;
};

// What a backend server said of its own state in an answer.
struct BackendNotice {
    // Requests a second that it takes from all processes together; nullopt if it named no limit.
    std::optional<double> requestLimit;
    // True if it leaves and must get no new requests.
    bool isLeaving { false };

    bool operator==(const BackendNotice&) const = default;
};

// The result of one run of a request or probe at the backend server, as reported to the sidecar.
struct RunReport {
    AttemptResult result { AttemptResult::Answered };
    uint16_t status { 0 };
    Reason reason { Reason::None };
    Duration elapsed { 0 };
    // Whether the connection was opened for this request rather than reused.
    bool wasFreshConnection { true };
    // Nullopt if there was no answer, or none that speaks for the backend server's state.
    std::optional<BackendNotice> notice;
};

}

template <>
struct Model::EnumNames<Decision::ArrivalKind> {
    static constexpr std::array entries {
        EnumName { Decision::ArrivalKind::First, "first" },
        EnumName { Decision::ArrivalKind::Retry, "retry" },
        EnumName { Decision::ArrivalKind::CountedAsRetry, "counted" },
    };
};

template <>
struct Model::EnumNames<Decision::AttemptResult> {
    static constexpr std::array entries {
        EnumName { Decision::AttemptResult::Answered, "answered" },
        EnumName { Decision::AttemptResult::RefusedNotRun, "refused-not-run" },
        EnumName { Decision::AttemptResult::NotSent, "not-sent" },
        EnumName { Decision::AttemptResult::ConnectionLost, "cut" },
        EnumName { Decision::AttemptResult::Malformed, "malformed" },
        EnumName { Decision::AttemptResult::TimedOut, "timed-out" },
        EnumName { Decision::AttemptResult::Stalled, "silent" },
        EnumName { Decision::AttemptResult::OutcomeUnknown, "peer-unknown" },
        EnumName { Decision::AttemptResult::Redirected, "redirected" },
        EnumName { Decision::AttemptResult::Cancelled, "cancelled" },
    };
};
