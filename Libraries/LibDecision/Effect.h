#pragma once

#include <LibDecision/Attempt.h>
#include <LibDecision/DecisionEvent.h>
#include <LibDecision/Message.h>
#include <LibDecision/PlatformOperation.h>
#include <LibModel/Outcome.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The effects that the core requests from its driver. The driver carries them out in the order of the list.
namespace Decision {

struct SendMessage {
    Endpoint to;
    // Empty if the endpoint is a seed whose instance is not known yet.
    InstanceId peer;
    MessageBody body;
};

// Forwards a caller's request to the sidecar of the chosen backend server, which may be this process.
struct ForwardCall {
    CallId call;
    AttemptId attempt;
    // Counts from 1.
    uint32_t attemptNumber { 1 };
    InstanceId sidecar;
    Endpoint sidecarControl;
    // The process that is to forward the order to the sidecar, and its control endpoint; empty if it is sent directly.
    InstanceId forwarder;
    Endpoint forwarderControl;
    BackendId backend;
    Incarnation incarnation;
    Duration remaining { 0 };
    // The attempt fails after this time without any data on the connection.
    Duration progressTimeout { 0 };
    bool isIdempotent { false };
    // A longer run counts against the health of the backend server.
    Duration latencyObjective { 0 };
    // 0 is the most urgent.
    uint32_t priority { 0 };
    // Longest time in the queue, so that the answer is still in time; zero if only the profile limits it.
    Duration longestWait { 0 };
    // True if the sidecar must refuse rather than queue the request when no slot is free; the ingress then sends it
    // elsewhere.
    bool isOnlyForFreeSlot { false };
    // True if no healthier backend server is known, so the sidecar must not refuse because of suspicion.
    bool isLastResort { false };
    ArrivalKind arrival { ArrivalKind::First };
    // The limit on requests a second that this incarnation of the backend server named, as far as this process was told.
    std::optional<double> knownLimit;
    // True if the sidecar may only replay a stored answer and must not run the request.
    bool isReplayOnly { false };
    // True if the sidecar must recognise a repeated send of this request, so that it isn't run twice.
    bool requiresDeduplication { false };
    // Time since the request was first sent; zero unless it was sent before over a connection that may have failed. Only
    // receivers of earlier versions use its length.
    Duration firstSentAgo { 0 };
    // The start incarnation of the process that the attempt was first addressed to, the same in each send of the attempt.
    std::optional<Incarnation> receiverStart;
    // The request's parent, account and fingerprint as decided, which differ from what the caller said if there are tenants.
    std::optional<RequestId> parent;
    AccountId account;
    Fingerprint fingerprint;
    // Whether the account is that of a tenant, whose name the backend server is told.
    bool isFromTenant { false };
};

// Cancels an attempt at the sidecar. No report of the attempt is expected afterwards.
struct CancelAttempt {
    CallId call;
    AttemptId attempt;
};

// Sends the complete answer of the attempt to the caller.
struct AnswerCall {
    CallId call;
    AttemptId attempt;
};

// Reports an outcome without an answer to the caller.
struct RefuseCall {
    CallId call;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::string step;
    std::string peer;
    // When the caller may try again; zero if there is no hint.
    Duration retryAfter { 0 };
};

// Runs a request at a backend server of this process.
struct RunCall {
    SidecarCallId call;
    BackendId backend;
    Endpoint endpoint;
    Duration remaining { 0 };
    Duration progressTimeout { 0 };
    // True for a request that must not run twice: it is sent only on a connection that is new or was recently used
    // successfully.
    bool needsProvenConnection { false };
    uint32_t maximumConnections { 1 };
    Duration idleConnectionTimeout { 0 };
};

struct CancelRun {
    SidecarCallId call;
};

// Sends the backend server's complete answer to the ingress.
struct AnswerSidecarCall {
    SidecarCallId call;
    Duration serviceTime { 0 };
    LoadReport load;
};

// Answers with the stored answer of an earlier request with the same idempotency key.
struct ReplaySidecarCall {
    SidecarCallId call;
    // The sidecar call whose answer was stored by KeepAnswer.
    SidecarCallId keptAnswer;
    LoadReport load;
};

// The ingress repeated a request that is still running. The answer of the running call goes to the later call instead.
struct RebindSidecarCall {
    SidecarCallId call;
    SidecarCallId runningCall;
};

// Redirects the ingress to the process that stores the outcome of the first request with this idempotency key.
struct RedirectSidecarCall {
    SidecarCallId call;
    InstanceId outcomeKeeper;
};

struct RefuseSidecarCall {
    SidecarCallId call;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::string step;
    std::string peer;
    LoadReport load;
};

// Stores the answer of a finished request for replays until ForgetAnswer.
struct KeepAnswer {
    SidecarCallId call;
};

struct ForgetAnswer {
    SidecarCallId call;
};

struct ProbeBackend {
    BackendId backend;
    Endpoint endpoint;
    std::string path;
    Duration timeout { 0 };
};

// Opens a connection to the backend server and closes it again. ConnectionRefused follows if it is refused.
struct CheckConnection {
    BackendId backend;
    Incarnation incarnation;
    Endpoint endpoint;
};

// Closes every idle connection to the endpoint and prevents reuse of those in use.
struct DropConnections {
    Endpoint endpoint;
};

struct CallPlatform {
    PlatformTag tag;
    PlatformOperation operation;
};

struct RecordDecision {
    DecisionEvent event;
};

// The process has left the fleet and may exit.
struct Leave {
};

using Effect = std::variant<SendMessage, ForwardCall, CancelAttempt, AnswerCall, RefuseCall, RunCall, CancelRun, AnswerSidecarCall,
    ReplaySidecarCall, RebindSidecarCall, RedirectSidecarCall, RefuseSidecarCall, KeepAnswer, ForgetAnswer, ProbeBackend, CheckConnection, DropConnections, CallPlatform,
    RecordDecision, Leave>;

using EffectList = std::vector<Effect>;

}
