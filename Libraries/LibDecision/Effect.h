#pragma once

#include <LibDecision/Attempt.h>
#include <LibDecision/DecisionEvent.h>
#include <LibDecision/Message.h>
#include <LibDecision/PlatformOperation.h>
#include <LibModel/Outcome.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Everything that the core asks of its driver. Effects are carried out in the order of the list.
namespace Decision {

struct SendMessage {
    Endpoint to;
    // Empty if the endpoint is a seed whose instance isn't known yet.
    InstanceId peer;
    MessageBody body;
};

// Sends a caller's request to the sidecar of the chosen backend server. The sidecar may be this process.
struct ForwardCall {
    CallId call;
    AttemptId attempt;
    // Counts from 1.
    uint32_t attemptNumber { 1 };
    InstanceId sidecar;
    Endpoint sidecarControl;
    BackendId backend;
    Incarnation incarnation;
    Duration remaining { 0 };
    // Longest time without any progress on the connection.
    Duration progressTimeout { 0 };
    bool isIdempotent { false };
    // A run that takes longer speaks against the backend server.
    Duration latencyObjective { 0 };
    // True if the request goes elsewhere unless a slot is free.
    bool isOnlyForFreeSlot { false };
    // True if no backend server looks better, so that suspicion is no reason to refuse.
    bool isLastResort { false };
    ArrivalKind arrival { ArrivalKind::First };
    // True if the sidecar is only asked for a kept answer and must not run the request.
    bool isReplayOnly { false };
    // True if the sidecar is to recognise the order if it comes again.
    bool isSettled { false };
    // Zero unless the order was sent before, over a connection that is in doubt.
    Duration firstSentAgo { 0 };
};

// Passes a cancellation on; the attempt's report is then no longer needed.
struct CancelAttempt {
    CallId call;
    AttemptId attempt;
};

// Gives the whole answer of the attempt to the caller.
struct AnswerCall {
    CallId call;
    AttemptId attempt;
};

// Tells the caller an outcome without an answer.
struct RefuseCall {
    CallId call;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::string step;
    std::string peer;
    // A hint to the caller; zero if there is none.
    Duration retryAfter { 0 };
};

// Sends a request to a backend server of this process.
struct RunCall {
    SidecarCallId call;
    BackendId backend;
    Endpoint endpoint;
    Duration remaining { 0 };
    Duration progressTimeout { 0 };
    // A request that may not run twice goes only on a connection that is new or recently proven.
    bool needsProvenConnection { false };
    uint32_t maximumConnections { 1 };
    Duration idleConnectionTimeout { 0 };
};

struct CancelRun {
    SidecarCallId call;
};

// Gives the backend server's whole answer to the ingress.
struct AnswerSidecarCall {
    SidecarCallId call;
    Duration serviceTime { 0 };
    LoadReport load;
};

// Gives the answer that an earlier request with the same key got.
struct ReplaySidecarCall {
    SidecarCallId call;
    // The sidecar call whose answer was kept by KeepAnswer.
    SidecarCallId keptAnswer;
    LoadReport load;
};

// The ingress asks again for a request that is under way: its answer goes to the later call, which is the same request.
struct AdoptSidecarCall {
    SidecarCallId call;
    SidecarCallId underway;
};

// Points the ingress to the process that keeps the first outcome of the key.
struct RedirectSidecarCall {
    SidecarCallId call;
    InstanceId keeper;
};

struct RefuseSidecarCall {
    SidecarCallId call;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::string step;
    std::string peer;
    LoadReport load;
};

// Keeps the answer of a finished request for replays, and forgets it on ForgetAnswer.
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

// Closes every idle connection to the endpoint and marks those in use as not to be used again.
struct DropConnections {
    Endpoint endpoint;
};

struct CallPlatform {
    PlatformTag tag;
    PlatformOperation operation;
};

struct Explain {
    DecisionEvent event;
};

// The process has handed over everything and may exit.
struct Leave {
};

using Effect = std::variant<SendMessage, ForwardCall, CancelAttempt, AnswerCall, RefuseCall, RunCall, CancelRun, AnswerSidecarCall,
    ReplaySidecarCall, AdoptSidecarCall, RedirectSidecarCall, RefuseSidecarCall, KeepAnswer, ForgetAnswer, ProbeBackend, DropConnections, CallPlatform,
    Explain, Leave>;

using EffectList = std::vector<Effect>;

}
