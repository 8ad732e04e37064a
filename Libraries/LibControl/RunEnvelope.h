#pragma once

#include <LibControl/ControlError.h>
#include <LibControl/ReplayGuard.h>
#include <LibControl/Signer.h>
#include <LibDecision/Attempt.h>
#include <LibModel/Endpoint.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Outcome.h>
#include <LibModel/Request.h>

#include <string>
#include <string_view>

namespace Control {

// What an ingress tells a sidecar about a request, in the header `fulmar-run`. The caller's own method, target,
// headers and body make up the rest of the HTTP request.
struct RunOrder {
    Model::Endpoint to;
    Model::InstanceId from;
    Model::Incarnation senderStart;
    uint64_t sequence { 0 };
    Model::BackendId backend;
    Model::Incarnation backendIncarnation;
    Model::RequestInfo request;
    bool isIdempotent { false };
    Model::Duration latencyObjective { 0 };
    bool isOnlyForFreeSlot { false };
    bool isLastResort { false };
    Decision::ArrivalKind arrival { Decision::ArrivalKind::First };
    bool isReplayOnly { false };
    // Numbers the orders of one start of the sender that may be sent again; 0 if this one may not.
    Model::AttemptId attempt;
    Model::Duration firstSentAgo { 0 };

    bool operator==(const RunOrder&) const = default;
};

// What a sidecar tells the ingress, in the header `fulmar-sidecar` of every answer and refusal.
struct RunResult {
    Model::Outcome outcome { Model::Outcome::Answered };
    Model::Reason reason { Model::Reason::None };
    std::string step;
    std::string peer;
    Model::Duration serviceTime { 0 };
    Decision::LoadReport load;
    // Set if another process keeps the first outcome of the key; the outcome is then Unknown.
    Model::InstanceId outcomeKeeper;

    bool operator==(const RunResult&) const = default;
};

// Signs run orders, and lets in only those that another member sent to this process now.
class RunOrderChannel {
public:
    RunOrderChannel(const std::string& fleetKey, Model::InstanceId self, Model::Incarnation start, Model::Endpoint selfControl);

    // Gives the header's value.
    std::string seal(RunOrder);
    // Throws ControlError.
    RunOrder open(std::string_view headerValue);

private:
    Signer m_signer;
    Model::InstanceId m_self;
    Model::Incarnation m_start;
    Model::Endpoint m_selfControl;
    ReplayGuard m_replayGuard;
    uint64_t m_lastSequence { 0 };
};

std::string encodeRunResult(const RunResult&);
// Throws ControlError.
RunResult decodeRunResult(std::string_view headerValue);

}
