#pragma once

#include <LibDecision/Admission/AccountTurns.h>
#include <LibDecision/Admission/CrashWatch.h>
#include <LibDecision/Admission/PriorityQueue.h>
#include <LibDecision/Attempt.h>
#include <LibDecision/Health/FaultFilter.h>
#include <LibModel/Request.h>

#include <cstdint>
#include <optional>

namespace Decision {

// Progress of a request inside the sidecar that accepted it. Claiming and running requests hold a slot.
enum class AdmissionStage {
    Queued,
    Claiming,
    Running,
};

// A request that a sidecar has accepted and has neither answered nor refused yet.
struct AdmittedCall {
    BackendId backend;
    // Incarnation of the backend server for which the request was accepted.
    Incarnation incarnation;
    RequestInfo request;
    bool isIdempotent { false };
    // True if it runs in spite of a probable fault.
    bool toleratesFault { false };
    // 0 is the most urgent.
    uint32_t priority { 0 };
    // Longest time in the queue; zero if only the profile limits it.
    Duration longestWait { 0 };
    ArrivalKind arrival { ArrivalKind::First };
    // True if a retry was deducted from this sidecar's FleetRetryShare for the request.
    bool hasReservedRetry { false };
    AdmissionStage stage { AdmissionStage::Queued };
    Instant deadline;
    Instant startedAt;
    // A run that takes longer counts as a fault of the backend server; zero if there is no objective.
    Duration latencyObjective { 0 };
    // True once the run was counted as a fault because it exceeded the latency objective.
    bool isLate { false };
    // True once a call that the run made has failed, which explains a server error.
    bool hasFailedCall { false };
    // Time charged to the account when the request took its slot.
    Duration charged { 0 };
    // True if the ingress has stopped waiting for the outcome.
    bool isCancelled { false };
    // True if it runs alone because it is suspected of crashing backend servers.
    bool runsAlone { false };

    // Returns true if the request must be granted a claim on its idempotency key before it runs.
    bool needsClaim() const { return request.key && !isIdempotent; }
};

// Queue, slots and statistics that a sidecar keeps for one of its backend servers.
struct BackendOccupancy {
    Incarnation incarnation;
    PriorityQueue queue;
    // Used only while accounts take turns.
    AccountTurns turns;
    // Slots held by requests, across incarnations: a backend server that announced a new incarnation may still be
    // working on requests that it received before.
    uint32_t running { 0 };
    // The request that runs alone because it is suspected of crashing backend servers.
    std::optional<SidecarCallId> isolatedCall;
    // Exponentially weighted moving average; zero until the first answer.
    Duration serviceTime { 0 };
    CrashWatch crashWatch;
    // When a connection was last opened only to find out whether the backend server is still there.
    std::optional<Instant> connectionCheckedAt;
    FaultFilter faults;
    // Until then no request is sent, because this incarnation refused one as meant for another backend server.
    Instant misdirectedUntil;
    // The last request that was let in to find out whether a probable fault is over.
    std::optional<SidecarCallId> trial;
};

// The outcome of a request and the reason for it.
struct Verdict {
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
};

// Returns the request's outcome after a run ended. The outcome is Answered only if the answer was complete.
Verdict verdictOf(const RunReport&);

}
