#pragma once

#include <LibDecision/Admission/AccountUsage.h>
#include <LibDecision/Admission/AdmittedCall.h>
#include <LibDecision/Admission/ColdStartRamp.h>
#include <LibDecision/Admission/CrashGuard.h>
#include <LibDecision/Admission/FleetRetryShare.h>
#include <LibDecision/Admission/RequestLimit.h>
#include <LibDecision/Admission/RunLedger.h>
#include <LibDecision/Configuration/ProfileRegistry.h>
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

// Decision about a sidecar's request for a claim on the idempotency key of a call.
struct ClaimDecision {
    SidecarCallId call;
    // Granted, or why it wasn't.
    ClaimVerdict verdict { ClaimVerdict::NotHolder };
    // The grant expires at this instant.
    Instant validUntil;
    InstanceId outcomeKeeper;
    // The call whose answer is kept, if this process keeps it.
    std::optional<SidecarCallId> keptAnswer;
};

// The interface to the claims that SidecarAdmission needs. Decisions arrive in SidecarAdmission::claimDecided().
template <typename T>
concept ClaimGate = requires(T& gate, Turn& turn, SidecarCallId call, const RequestInfo& request, const Profile& profile, Outcome outcome)
{
    gate.request(turn, call, request, profile);
    gate.finished(turn, call, outcome);
    {
        gate.findKeptAnswer(request)
        } -> std::same_as<std::optional<SidecarCallId>>;
};

// Requests that reached backend servers of this process, by what they count as under the fleet-wide limit on retries.
struct ArrivalCounters {
    uint64_t first { 0 };
    uint64_t retries { 0 };
    uint64_t countedAsRetry { 0 };
};

// The interface to health checking that SidecarAdmission needs.
template <typename T>
concept RunObserver = requires(T& observer, const T& constObserver, Turn& turn, SidecarCallId call, const BackendId& backend, const RunReport& report)
{
    observer.runStarted(turn, call, backend);
    observer.runFinished(turn, call, backend, report);
    {
        constObserver.sidecarSuspicion(backend)
        } -> std::same_as<double>;
};

// Admission control for the backend servers of this process: concurrency slots, the rate of requests that they name, a
// short queue that is fair between accounts, deadlines, slow start, draining and claims. It alone decides about these for
// its backend servers.
//
// Each request that arrives ends exactly once: it is answered, replayed, redirected, refused or cancelled. A request
// that ends as "not run" was never sent to its backend server, or its backend server refused it.
template <ClaimGate Gate, RunObserver Observer>
class SidecarAdmission {
public:
    SidecarAdmission(LocalBackends&, const ProfileRegistry&, CrashGuard&, Gate&, Observer&);

    // Sets the function that returns how many backend servers a service has; the default is 1.
    void useServiceSize(std::function<size_t(const ServiceName&)> serviceSize) { m_serviceSize = std::move(serviceSize); }

    // Sets whether the accounts of waiting requests take turns, because they are tenants. Otherwise the account that used the
    // backend servers least lately goes first.
    void takeTurns(bool takesTurns) { m_takesTurns = takesTurns; }

    // Sets the instant at which the process started.
    void start(Instant now) { m_startedAt = now; }

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    void arrive(Turn&, const SidecarCallArrived&);
    // Handles an ingress that has stopped waiting. A queued or claiming request is dropped and a running one is
    // cancelled, unless it runs under a claim or its ingress may resend it: it then continues, so that the resend gets
    // its answer.
    void cancel(Turn&, SidecarCallId);
    void claimDecided(Turn&, const ClaimDecision&);
    void runFinished(Turn&, SidecarCallId, const RunReport&);
    // Handles a health probe's result, which shows whether earlier cut answers were caused by a crash.
    void probeFinished(Turn&, const BackendId&, const RunReport&);
    // Handles a refused connection to this incarnation of the backend server, for which CheckConnection asked.
    void connectionRefused(Turn&, const BackendId&, Incarnation);
    // Handles a change of the backend server's slots, incarnation or phase.
    void backendChanged(Turn&, const BackendId&);
    // Refuses every new request with "not run" from this call on.
    void leave(Turn&);

    // Handles the failure of a call that a run of this request made.
    void nestedCallFailed(const RequestId&);
    // Returns true if a request with this id is running here since its first arrival. Runs that were cancelled, or that a
    // predecessor of this process started, may go on at their backend servers unknown to this process.
    bool isRunningFirstArrival(const RequestId&) const;
    // The priority of a request that is running here.
    std::optional<uint32_t> priorityOfRunning(const RequestId&) const;
    // The account of a request that is running here.
    std::optional<AccountId> accountOfRunning(const RequestId&) const;
    LoadReport load(const BackendId&, Instant now) const;
    // Number of requests that are queued, claiming or running.
    size_t inFlight() const { return m_calls.size(); }
    // Number of inputs about calls that had ended, and of calls that arrived twice.
    uint64_t ignoredInputs() const { return m_ignoredInputs; }
    const ArrivalCounters& arrivals() const { return m_arrivals; }

private:
    struct LimitedBackend {
        Incarnation incarnation;
        RequestLimit limit;
    };

    // Minimum usage charged for a request, so that no request is free.
    static constexpr Duration minimumCost = 1ms;
    // A cancelled run keeps its slot until its end is reported, but no longer than this.
    static constexpr Duration cancellationGrace = 100ms;
    // Longer than the interval at which backend servers announce themselves, so that the successor is known by then.
    static constexpr Duration misdirectionHold = 2s;
    // Connections are cut before the listener closes if a process ends in the opposite order.
    static constexpr Duration connectionCheckDelay = 50ms;
    // Some backend servers cut many answers without ending.
    static constexpr Duration connectionCheckInterval = 1s;
    // The moving average weights a new service time by 1 / serviceTimeSamples.
    static constexpr int serviceTimeSamples = 8;

    // Returns nullptr if no request with this id is running here.
    const AdmittedCall* findRunning(const RequestId&) const;
    void handleWaitTimeout(Turn&, SidecarCallId);
    // Handles an attempt that was received before, or may have been. Returns false if it is new.
    bool handleResend(Turn&, const SidecarCallArrived&);
    // Returns true if the attempt, which the ledger doesn't contain, may have run nevertheless.
    bool mayHaveRunBefore(const SidecarCallArrived&) const;
    void replay(Turn&, const SidecarCallArrived&);
    std::optional<Reason> refusalFor(Turn&, const SidecarCallArrived&) const;
    std::optional<Reason> dispatchRefusalFor(const AdmittedCall&, Instant now) const;
    std::optional<Reason> phaseRefusalFor(const LocalBackend*, Incarnation) const;
    bool hasSlotFor(const AdmittedCall&, Instant now) const;
    // Returns why the request can't start now; nullopt if it can.
    std::optional<Reason> waitReasonFor(const AdmittedCall&, Instant now) const;
    // Returns true if another backend server has probably taken the place of this one.
    bool isMisdirected(const BackendId&, Instant now) const;

    // Longest time that the request may wait for a slot here.
    Duration longestWait(const AdmittedCall&) const;
    // Returns true if the ingress offers the request for the first time: its whole wait, as CallTable::remainingWait() gives it
    // at the arrival, is left. Requests that several sidecars refuse would otherwise count once for each of them, so a hot
    // tenant's would seem to be served far less often than they are.
    static bool isFirstOffer(const SidecarCallArrived&);
    // Number of waiting requests that would be served before this one if it joins the queue now.
    size_t countAhead(const AdmittedCall&) const;
    FairQueueOffer offerToQueue(SidecarCallId, const AdmittedCall&, Instant now);
    // Records that the request takes a slot, for the order in which accounts are served.
    void recordService(const AdmittedCall&, Instant now);
    // Time until a slot becomes free for the request if it joins the queue now.
    Duration expectedWaitForSlot(const AdmittedCall&) const;
    // Time until the backend server's limit lets the request through if it joins the queue now.
    Duration waitForLimit(const AdmittedCall&, Instant now) const;
    void enqueue(Turn&, SidecarCallId, AdmittedCall&);
    // Refuses a request that must not queue.
    void refuseInsteadOfQueueing(Turn&, SidecarCallId, const AdmittedCall&, Reason);
    void start(Turn&, SidecarCallId, AdmittedCall&);
    void run(Turn&, SidecarCallId, AdmittedCall&);
    void serveQueue(Turn&, const BackendId&);
    void refuseQueue(Turn&, const BackendId&, Reason);
    void scheduleRamp(const BackendId&, Instant now);
    // Serves the queue again when the backend server's limit lets the next request through.
    void scheduleNextUnderLimit(const BackendId&, Instant now);

    void handleUngrantedClaim(Turn&, const ClaimDecision&);
    void withdrawClaim(Turn&, SidecarCallId, Verdict);
    void recordRunResult(Turn&, SidecarCallId, Verdict);
    void finishClaimed(Turn&, SidecarCallId, Outcome);
    void chargeActualUsage(const AdmittedCall&, const RunReport&, Instant now);
    FleetRetryShare& retryShareOf(const ServiceName& service) { return m_retryShares.try_emplace(service, m_startedAt).first->second; }
    // Returns true if the request is a retry and this sidecar has none left of the fleet's limit.
    bool exceedsRetryShare(const SidecarCallArrived&, Instant now);
    // Deducts a retry at admission rather than at its run, so that queued retries can't exceed the share together.
    void reserveRetry(AdmittedCall&, Instant now);
    // Returns the deducted retry of a request that ends without reaching the backend server.
    void refundRetry(const AdmittedCall&);
    void countArrival(Turn&, const AdmittedCall&);
    // Returns true if the backend server's fault probability is too high for such a request.
    bool exceedsFaultBound(const BackendId&, bool isIdempotent, Instant now) const;
    bool isTrialDue(const BackendOccupancy&, Instant now) const;
    // Returns true if the request, which must be idempotent, may run in spite of a probable fault, to find out whether
    // it is over. At most one such request is in progress.
    bool beginTrial(const SidecarCallArrived&, Instant now);
    void recordLateRun(SidecarCallId, Instant now);
    void observeFault(const AdmittedCall&, const RunReport&, Instant now);
    void updateServiceTime(BackendOccupancy&, const RunReport&);
    // Takes what the backend server said of its own state in an answer to a request that was sent at that instant.
    void heedNotice(Turn&, const BackendId&, Incarnation, const BackendNotice&, Instant sentAt);
    void heedProbe(Turn&, const BackendId&, const RunReport&);
    // Takes the limit that the ingress knows, in case that a predecessor of this process heard of it.
    void learnLimit(Turn&, const SidecarCallArrived&);
    // Returns nullptr if no answer of this incarnation was heard and no other process told of a limit.
    const RequestLimit* limitOf(const BackendId&, Incarnation) const;
    RequestLimit& ensureLimit(const BackendId&, Incarnation);
    void explainLimit(Turn&, const BackendId&, const std::string& source, const RequestLimit&) const;
    std::optional<BackendCondition> conditionOf(const LocalBackend&, Instant now) const;
    void observeCrashes(Turn&, const AdmittedCall&, const RunReport&);
    void recordSuspectedCrashes(Turn&, const BackendId&, Incarnation);
    void recordCrash(Turn&, const AdmittedCall&);
    // Plans to find out whether the backend server is still there after an answer was cut. Other requests may not come.
    void scheduleConnectionCheck(const BackendId&, Instant now);
    void checkConnection(Turn&, const BackendId&);
    void dropConnections(Turn&, const AdmittedCall&);

    // Removes the request and frees its slot or its position in the queue.
    void release(SidecarCallId);
    void end(Turn&, SidecarCallId, Verdict, const std::string& step);
    void sendOutcome(Turn&, SidecarCallId, const AdmittedCall&, const RunReport&);
    void sendRefusal(Turn&, SidecarCallId, const BackendId&, const RequestInfo&, Verdict, const std::string& step);
    void explain(Turn&, DecisionKind, const BackendId&, const RequestInfo&, const std::string& step, std::string evidence) const;
    void removeIfGone(const BackendId&);
    const Profile& profileOf(const BackendId&) const;

    LocalBackends& m_backends;
    const ProfileRegistry& m_profiles;
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
    // Kept apart from the occupancies, which end when an announcement lapses: the backend server may still be in need.
    std::unordered_map<BackendId, LimitedBackend> m_limits;
    // Timeouts of queued and claiming requests, and of cancelled runs.
    TimerQueue<SidecarCallId> m_waitTimers;
    // Instants at which running requests exceed their latency objective.
    TimerQueue<SidecarCallId> m_lateTimers;
    // Instants at which another slot of a cold backend server becomes usable.
    TimerQueue<BackendId> m_rampTimers;
    // Instants at which a limit lets the next queued request through.
    TimerQueue<BackendId> m_limitTimers;
    // Instants at which connections to backend servers are checked after cut answers.
    TimerQueue<BackendId> m_connectionCheckTimers;
    uint64_t m_ignoredInputs { 0 };
    ArrivalCounters m_arrivals;
    bool m_isLeaving { false };
    bool m_takesTurns { false };
};

}

#include <LibDecision/Admission/SidecarAdmissionInline.h>
