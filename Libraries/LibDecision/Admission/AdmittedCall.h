#pragma once

#include <LibDecision/Admission/CrashWatch.h>
#include <LibDecision/Admission/FairQueue.h>
#include <LibDecision/Attempt.h>
#include <LibDecision/Health/FaultFilter.h>
#include <LibModel/Request.h>

#include <cstdint>
#include <optional>

namespace Decision {

// Where a request stands inside its sidecar. Claiming and running requests hold a slot.
enum class AdmissionStage {
    Queued,
    Claiming,
    Running,
};

// A request that a sidecar has accepted and not yet answered or refused.
struct AdmittedCall {
    BackendId backend;
    // The backend server's incarnation for which the request was accepted.
    Incarnation incarnation;
    RequestInfo request;
    bool isIdempotent { false };
    ArrivalKind arrival { ArrivalKind::First };
    // True if it holds one of the retries that this sidecar may let in.
    bool hasReservedRetry { false };
    AdmissionStage stage { AdmissionStage::Queued };
    Instant deadline;
    Instant startedAt;
    // A run that takes longer speaks against the backend server; zero if none does.
    Duration latencyObjective { 0 };
    // True once the run was held against the backend server because it took too long.
    bool isLate { false };
    // What the account was charged when the request took its slot.
    Duration charged { 0 };
    // True if the ingress no longer waits for the outcome.
    bool isCancelled { false };

    // Says whether the claims have to agree before the request runs.
    bool needsClaim() const { return request.key && !isIdempotent; }
};

// What a sidecar keeps for one of its backend servers.
struct BackendOccupancy {
    Incarnation incarnation;
    FairQueue queue;
    // Slots held by requests. They are counted across incarnations: a backend server that announced itself anew
    // may still be busy with what it got before.
    uint32_t running { 0 };
    // Set while a request runs alone because it is suspected of crashing backend servers.
    std::optional<SidecarCallId> isolated;
    // Exponentially weighted mean; zero until the first answer.
    Duration serviceTime { 0 };
    CrashWatch crashes;
    FaultFilter faults;
};

// An outcome without an answer, with its reason.
struct Verdict {
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
};

// What the end of a run means for the request. The outcome is Answered only for a whole answer.
Verdict verdictOf(const RunReport&);

}
