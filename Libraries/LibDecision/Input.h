#pragma once

#include <LibDecision/Admission/RunLedger.h>
#include <LibDecision/Attempt.h>
#include <LibDecision/CallTerms.h>
#include <LibDecision/Message.h>
#include <LibDecision/PlatformOperation.h>
#include <LibModel/Backend.h>
#include <LibModel/Request.h>

#include <optional>
#include <string>
#include <variant>

// The inputs of the core. Each is passed to the core together with the instant at which it occurred.
namespace Decision {

struct MessageReceived {
    Message message;
    // Time that the machine has spent suspended since its start, read after the message's bytes. Instants don't count it.
    Duration suspendedTime { 0 };
};

// The instant returned by Node::nextTimer() has been reached.
struct TimerFired {
};

// A control message could not be delivered to the endpoint.
struct SendFailed {
    Endpoint to;
};

// A caller's request was received completely.
struct CallArrived {
    CallId call;
    RequestInfo request;
    // The request's host, used to look up its route.
    std::string authority;
    // The terms of the request's route; empty if the profile's terms apply.
    std::optional<CallTerms> terms;
    // Digest of the request's API key, as in Model::Tenant; empty if it has none.
    std::string keyDigest;
    // Time that the machine has spent suspended since its start, read after the request's bytes. Instants don't count it.
    Duration suspendedTime { 0 };
};

// The caller closed its connection.
struct CallerDisconnected {
    CallId call;
};

struct AttemptFinished {
    CallId call;
    AttemptId attempt;
    AttemptReport report;
    // The process that the attempt was sent to.
    InstanceId sidecar;
};

// An ingress sent this process, as the sidecar, a request to run.
struct SidecarCallArrived {
    SidecarCallId call;
    BackendId backend;
    // The backend server's incarnation that the ingress chose; the request is refused if it has changed.
    Incarnation incarnation;
    // Its remaining deadline is always set.
    RequestInfo request;
    bool isIdempotent { false };
    // A longer run counts against the health of the backend server; zero if there is no objective.
    Duration latencyObjective { 0 };
    // 0 is the most urgent.
    uint32_t priority { 0 };
    // Longest time in the queue, so that the answer is still in time; zero if only the profile limits it.
    Duration longestWait { 0 };
    // True if the request must be refused rather than queued when no slot is free; the ingress then sends it elsewhere.
    bool isOnlyForFreeSlot { false };
    // True if the ingress knows no healthier backend server.
    bool isLastResort { false };
    ArrivalKind arrival { ArrivalKind::First };
    // The limit on requests a second that this incarnation of the backend server named, as far as the ingress was told.
    std::optional<double> knownLimit;
    // True if the request must not run and only a stored answer may be replayed.
    bool isReplayOnly { false };
    // Set if the ingress may send this request again over another connection.
    std::optional<RunKey> key;
    // Zero if this is the first send. Otherwise the age of the attempt when this order was made, which says nothing about its
    // age now: any delay in transit comes on top.
    Duration firstSentAgo { 0 };
    // The start incarnation of the process that the attempt was first addressed to; empty if the ingress is of a version that
    // doesn't name it.
    std::optional<Incarnation> receiverStart;

    bool isResent() const { return firstSentAgo > Duration::zero(); }
};

// The ingress cancelled the request, or its connection was closed.
struct SidecarCallCancelled {
    SidecarCallId call;
};

// A run of a request at a backend server ended.
struct RunFinished {
    SidecarCallId call;
    RunReport report;
};

struct ProbeFinished {
    BackendId backend;
    RunReport report;
};

// A connection that CheckConnection asked for was refused.
struct ConnectionRefused {
    BackendId backend;
    Incarnation incarnation;
};

// A backend server registered itself or renewed its announcement.
struct BackendAnnounced {
    BackendAnnouncement announcement;
};

struct PlatformReplied {
    PlatformReply reply;
};

// The process was asked to leave the fleet. Asked again, it gives the requests in flight the whole time anew.
struct LeaveRequested {
};

// A backend server withdrew its announcement.
struct BackendWithdrawn {
    BackendId backend;
    // No incarnation that the withdrawal can mean is higher. Empty if it means the one that this process knows.
    std::optional<Incarnation> latest;
};

// An operator asked this process to drain one of its backend servers.
struct DrainRequested {
    BackendId backend;
};

// The settings file was reloaded.
struct DefaultsChanged {
    Profile defaults;
};

// The time that the machine has spent suspended since its start has grown. Instants don't count it. The driver compares
// the clocks before each input and passes this one first, so that no input is judged as if that time hadn't passed.
struct SuspensionObserved {
    Duration suspendedTime { 0 };
};

using Input = std::variant<MessageReceived, TimerFired, SendFailed, CallArrived, CallerDisconnected, AttemptFinished, SidecarCallArrived,
    SidecarCallCancelled, RunFinished, ProbeFinished, ConnectionRefused, BackendAnnounced, BackendWithdrawn, PlatformReplied, LeaveRequested, DrainRequested,
    DefaultsChanged, SuspensionObserved>;

}
