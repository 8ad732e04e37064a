#pragma once

#include <LibDecision/Admission/AccountUsage.h>
#include <LibDecision/Admission/AdmittedCall.h>
#include <LibDecision/Admission/ColdStartRamp.h>
#include <LibDecision/Admission/CrashGuard.h>
#include <LibDecision/Admission/FleetRetryShare.h>
#include <LibDecision/Admission/RunLedger.h>
#include <LibDecision/Configuration/ProfileBook.h>
#include <LibDecision/Input.h>
#include <LibDecision/Registry/LocalBackends.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Decision {

// The answer of the claims to a sidecar that wants to run a keyed request.
struct ClaimDecision {
    SidecarCallId call;
    // Granted, or why not.
    ClaimVerdict verdict { ClaimVerdict::NotHolder };
    // The grant is void from this instant on.
    Instant validUntil;
    InstanceId outcomeKeeper;
    // The kept answer, if this process keeps it.
    std::optional<SidecarCallId> keptAnswer;
};

// What admission asks of the claims. Decisions come back through SidecarAdmission::claimDecided().
template <typename T>
concept ClaimGate = requires(T& gate, Turn& turn, SidecarCallId call, const RequestInfo& request, const Profile& profile, Outcome outcome)
{
    gate.request(turn, call, request, profile);
    gate.finished(turn, call, outcome);
    {
        gate.findKeptAnswer(request)
        } -> std::same_as<std::optional<SidecarCallId>>;
};

// What admission asks of health.
template <typename T>
concept RunObserver = requires(T& observer, const T& constObserver, Turn& turn, SidecarCallId call, const BackendId& backend, const RunReport& report)
{
    observer.runStarted(turn, call, backend);
    observer.runFinished(turn, call, backend, report);
    {
        constObserver.sidecarSuspicion(backend)
        } -> std::same_as<double>;
};

// Admits requests to the backend servers of this process: exact slots, a short queue that is fair between
// accounts, deadlines, cold start, drain and claims. The only writer of these for its backend servers.
//
// Each request that arrives ends once: it is answered, replayed, redirected or refused, or was cancelled before.
// A request told to be not run was never handed to its backend server, or its backend server refused it.
template <ClaimGate Gate, RunObserver Observer>
class SidecarAdmission {
public:
    SidecarAdmission(LocalBackends&, const ProfileBook&, CrashGuard&, Gate&, Observer&);

    // Tells how many backend servers share a service's bounds. Without it the one here is alone.
    void useServiceSize(std::function<size_t(const ServiceName&)> serviceSize) { m_serviceSize = std::move(serviceSize); }

    // The instant is that of the process's start.
    void start(Instant now) { m_startedAt = now; }

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    void arrive(Turn&, const SidecarCallArrived&);
    // The ingress no longer waits. A waiting request is dropped and a running one is cancelled, except for one that
    // runs under a claim: it goes on, so that a resend of its key gets its answer.
    void cancel(Turn&, SidecarCallId);
    void claimDecided(Turn&, const ClaimDecision&);
    void runFinished(Turn&, SidecarCallId, const RunReport&);
    // Whether a probe reached the backend server tells if a cut answer was a crash.
    void probeFinished(Turn&, const BackendId&, const RunReport&);
    // The backend server's announcement changed: slots may be free or its phase another.
    void backendChanged(Turn&, const BackendId&);
    // From now on every new request is refused with "not run".
    void leave(Turn&);

    // Says whether a request that runs here with this id had arrived at a backend server before.
    bool isRunningRetry(const RequestId&) const;
    LoadReport load(const BackendId&, Instant now) const;
    // Requests queued or running.
    size_t inFlight() const { return m_calls.size(); }
    // Reports about requests that had ended before, and requests that arrived twice.
    uint64_t strayInputs() const { return m_strayInputs; }

private:
    // What a request is charged at least, so that one is never free.
    static constexpr Duration minimumCost = 1ms;
    // A cancelled run keeps its slot until its end is reported, or for this time if it isn't.
    static constexpr Duration cancellationGrace = 100ms;
    // The weight of a new service time is one part in so many.
    static constexpr int serviceTimeSamples = 8;

    void endWait(Turn&, SidecarCallId);
    // Handles an order that came before, or that an earlier process may have got. Returns false if it is new.
    bool settle(Turn&, const SidecarCallArrived&);
    void replay(Turn&, const SidecarCallArrived&);
    std::optional<Reason> refusalFor(Turn&, const SidecarCallArrived&) const;
    std::optional<Reason> obstacleTo(const AdmittedCall&, Instant now) const;
    std::optional<Reason> phaseObstacle(const LocalBackend*, Incarnation) const;
    bool hasSlotFor(const AdmittedCall&, Instant now) const;

    void enqueue(Turn&, SidecarCallId, AdmittedCall&);
    // Forgets a request that came for a free slot only and found none.
    void refuseUnqueued(Turn&, SidecarCallId, const AdmittedCall&);
    void start(Turn&, SidecarCallId, AdmittedCall&);
    void run(Turn&, SidecarCallId, AdmittedCall&);
    void serveQueue(Turn&, const BackendId&);
    void refuseQueue(Turn&, const BackendId&, Reason);
    void scheduleRamp(const BackendId&, Instant now);

    void decideOtherwise(Turn&, const ClaimDecision&);
    void withdrawClaim(Turn&, SidecarCallId, Verdict);
    void finishSettled(Turn&, SidecarCallId, Verdict);
    void finishClaimed(Turn&, SidecarCallId, Outcome);
    void settleUsage(const AdmittedCall&, const RunReport&, Instant now);
    // Whether the request would be one retry too many for the fleet.
    bool isBeyondRetryShare(const SidecarCallArrived&, Instant now);
    // A retry counts from its admission on, so that those that wait don't overdraw the share together.
    void reserveRetry(AdmittedCall&, Instant now);
    // The request is refused after all and never reaches the backend server.
    void giveRetryBack(const AdmittedCall&);
    void countArrival(const AdmittedCall&, Instant now);
    // Whether the probability of a fault forbids the request.
    bool isTooDoubtful(const SidecarCallArrived&, Instant now) const;
    void noteLate(SidecarCallId, Instant now);
    void learnFault(const AdmittedCall&, const RunReport&, Instant now);
    void learnServiceTime(BackendOccupancy&, const RunReport&);
    void watchCrashes(Turn&, const AdmittedCall&, const RunReport&);
    void blameSuspects(Turn&, const BackendId&, Incarnation);
    void blame(Turn&, const AdmittedCall&);
    void dropCohort(Turn&, const AdmittedCall&);

    // Forgets the request and gives its place or slot back.
    void release(SidecarCallId);
    void end(Turn&, SidecarCallId, Verdict, const std::string& step);
    void tellOutcome(Turn&, SidecarCallId, const AdmittedCall&, const RunReport&);
    void tellRefusal(Turn&, SidecarCallId, const BackendId&, const RequestInfo&, Verdict, const std::string& step);
    void explain(Turn&, DecisionKind, const BackendId&, const RequestInfo&, const std::string& step, std::string evidence) const;
    void forgetIfGone(const BackendId&);
    const Profile& profileOf(const BackendId&) const;

    LocalBackends& m_backends;
    const ProfileBook& m_profiles;
    CrashGuard& m_crashGuard;
    Gate& m_gate;
    Observer& m_observer;
    AccountUsage m_usage;
    RunLedger m_ledger;
    std::function<size_t(const ServiceName&)> m_serviceSize { [](const ServiceName&) { return size_t(1); } };
    std::unordered_map<ServiceName, FleetRetryShare> m_retryShares;
    Instant m_startedAt;
    std::unordered_map<SidecarCallId, AdmittedCall> m_calls;
    std::unordered_map<BackendId, BackendOccupancy> m_occupancies;
    // Ends of waits, for the queue and for claims.
    TimerQueue<SidecarCallId> m_waits;
    // When running requests begin to speak against their backend server.
    TimerQueue<SidecarCallId> m_lateTimers;
    // Instants at which a cold backend server may use one more slot.
    TimerQueue<BackendId> m_rampSteps;
    uint64_t m_strayInputs { 0 };
    bool m_isLeaving { false };
};

}

#include <LibDecision/Admission/SidecarAdmissionInline.h>
