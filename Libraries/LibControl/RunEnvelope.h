#pragma once

#include <LibControl/ControlError.h>
#include <LibControl/ReplayGuard.h>
#include <LibControl/Signer.h>
#include <LibDecision/Attempt.h>
#include <LibModel/Endpoint.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Outcome.h>
#include <LibModel/Request.h>

#include <optional>
#include <string>
#include <string_view>

namespace Control {

// An ingress's order to a sidecar to run a request on a backend server, sent in the header `fulmar-run`. Method,
// target, body and the other headers of the HTTP request are those of the caller.
struct RunOrder {
    // Control endpoint of the sidecar.
    Model::Endpoint to;
    Model::InstanceId from;
    // The ingress's incarnation at its start. Together with the sequence number, it identifies the order.
    Model::Incarnation senderStart;
    uint64_t sequence { 0 };
    Model::BackendId backend;
    Model::Incarnation backendIncarnation;
    Model::RequestInfo request;
    bool isIdempotent { false };
    // A longer run counts against the backend server; 0 if there is no objective.
    Model::Duration latencyObjective { 0 };
    // 0 is the most urgent.
    uint32_t priority { 0 };
    // Longest time in the sidecar's queue; 0 if only the profile limits it.
    Model::Duration longestWait { 0 };
    // Whether the sidecar must refuse the request instead of queueing it if no slot is free.
    bool isOnlyForFreeSlot { false };
    // Whether the ingress knows no healthier backend server, so that the sidecar must not refuse because of suspected
    // faults.
    bool isLastResort { false };
    Decision::ArrivalKind arrival { Decision::ArrivalKind::First };
    // The limit on requests a second that this incarnation of the backend server named, as far as the ingress was told.
    std::optional<double> knownLimit;
    // Whether the sidecar may only return a stored answer and must not run the request.
    bool isReplayOnly { false };
    // Identifies an order that may be resent, unique within one start of the sender; 0 if the order must not be resent.
    Model::AttemptId attempt;
    // Greater than 0 if the order is resent because the earlier connection is in doubt. Receivers of earlier versions compare
    // this time since the first send with their own age.
    Model::Duration firstSentAgo { 0 };
    // The start incarnation of the process that the order was first addressed to, if the order may be resent.
    std::optional<Model::Incarnation> receiverStart;

    bool operator==(const RunOrder&) const = default;
};

// A sidecar's result of a run order, sent in the header `fulmar-sidecar` of every answer and refusal.
struct RunResult {
    Model::Outcome outcome { Model::Outcome::Answered };
    Model::Reason reason { Model::Reason::None };
    // Step that failed, and the other party involved in it.
    std::string step;
    std::string peer;
    // Time that the backend server took, without queueing; 0 if the request wasn't sent to it.
    Model::Duration serviceTime { 0 };
    Decision::LoadReport load;
    // The process that stores the first outcome of the idempotency key, if it is another one; the outcome is then
    // Unknown.
    Model::InstanceId outcomeKeeper;

    bool operator==(const RunResult&) const = default;
};

// Signs run orders and verifies received ones. An order is accepted only if its signature is valid, it is addressed to
// this process and it isn't a replay.
class RunOrderChannel {
public:
    RunOrderChannel(const std::string& fleetKey, Model::InstanceId self, Model::Incarnation startIncarnation, Model::Endpoint controlEndpoint);

    // Sets the sender and sequence fields, signs the order and returns the value of the header `fulmar-run`.
    std::string seal(RunOrder);
    // Verifies and decodes the header value. Throws ControlError if the order is refused.
    RunOrder open(std::string_view headerValue);
    // Verifies the signature and decodes the header value, without the checks of accept(). Throws ControlError if it is
    // refused.
    RunOrder verify(std::string_view headerValue) const;
    // Throws ControlError if the verified order is addressed to another process, or is a replay.
    void accept(const RunOrder&);
    // Whether the verified order is to be forwarded: sent again and addressed to another process, which accepts it.
    bool mustForward(const RunOrder&) const;

private:
    Signer m_signer;
    Model::InstanceId m_self;
    Model::Incarnation m_startIncarnation;
    Model::Endpoint m_controlEndpoint;
    ReplayGuard m_replayGuard;
    uint64_t m_lastSequence { 0 };
};

// Returns the value of the header `fulmar-sidecar`.
std::string encodeRunResult(const RunResult&);
// Throws ControlError if the header value is malformed.
RunResult decodeRunResult(std::string_view headerValue);

}
