#pragma once

#include <LibDecision/Admission/CrashGuard.h>
#include <LibDecision/Calls/AttemptTimeout.h>
#include <LibDecision/Calls/AttemptVerdict.h>
#include <LibDecision/Calls/CallLimit.h>
#include <LibDecision/Calls/CallRecord.h>
#include <LibDecision/Calls/RetryBudget.h>
#include <LibDecision/Charts.h>
#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Input.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Routing/Router.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <concepts>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Decision {

// The interface to routing that CallTable needs.
template <typename T>
concept CallRouter = requires(T& router, Turn& turn, const RouteRequest& request, Reason& reason, const BackendId& backend, const AttemptReport& report, const InstanceId& instance, const ServiceName& service, Instant now)
{
    {
        router.choose(turn, request, reason)
        } -> std::same_as<std::optional<RouteChoice>>;
    router.attemptStarted(turn, backend);
    router.attemptFinished(turn, backend, report);
    // Returns how long the service's limits let no request through; zero if they do, or there are none.
    {
        router.limitWait(service, now)
        } -> std::same_as<Duration>;
    // Draws another process that may reach the sidecar; nullopt if none is known.
    {
        router.drawForwarder(turn, service, instance)
        } -> std::same_as<std::optional<Forwarder>>;
    // Returns the endpoint at which the process accepts connections of the fleet; nullopt if the process is unknown or
    // unreachable.
    {
        router.controlOf(instance)
        } -> std::same_as<std::optional<Endpoint>>;
};

// The interface to health checking that CallTable needs.
template <typename T>
concept AttemptObserver = requires(T& observer, Turn& turn, CallId call, const BackendRecord& backend, const AttemptReport& report)
{
    observer.attemptStarted(turn, call, backend);
    observer.attemptFinished(turn, call, backend, report);
};

// Maps services to their profiles.
template <typename T>
concept ProfileDirectory = requires(const T& directory, const ServiceName& service)
{
    {
        directory.profileOf(service)
        } -> std::same_as<ProfileName>;
};

struct CallTableOptions {
    // Maximum number of calls that the process handles concurrently.
    uint32_t concurrentCalls { 4096 };
};

// Handles callers' requests at the ingress from arrival until their outcome is sent: deadlines, attempts, retries
// within the budget, and cancellation. Each request gets exactly one AnswerCall or RefuseCall unless its caller
// disconnects.
//
// At most one attempt of a request is in progress. A request is refused as "not run" only if every attempt was
// definitely not run.
template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory = BackendRegistry>
class CallTable {
public:
    CallTable(Routing&, Observer&, CrashGuard&, const Directory&, const ProfileRegistry&, CallTableOptions = {});

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    void handleTimer(Turn&);

    void arrive(Turn&, const CallArrived&);
    // Refuses the request immediately with "not run".
    // Without a time to return, the reason determines it.
    void refuse(Turn&, const CallArrived&, Reason, Duration retryAfter = Duration::zero());
    void callerGone(Turn&, CallId);
    void attemptFinished(Turn&, const AttemptFinished&);
    // The process will end at this instant. From this call on, no attempt is given up for another one, and none is begun
    // that would probably be broken off by the end.
    void endAt(Instant end) { m_endsAt = end; }
    // Refuses every new request with "not run" from this call on.
    void leave(Turn&);
    // Tells the outcome of every request in flight, because the process ends now: one that waits wasn't run.
    void endAll(Turn&);

    bool isLeaving() const { return m_isLeaving; }
    size_t inFlight() const { return m_calls.size(); }
    // Returns the requests of which a nested call failed since the last call of this function.
    std::vector<RequestId> takeFailedParents() { return std::exchange(m_failedParents, {}); }
    // Number of ignored inputs: reports about attempts that had ended or were cancelled, and calls that arrived twice.
    uint64_t lateReports() const { return m_lateReports; }

private:
    // Retry budget and timeouts of one service.
    struct ServiceRecord {
        RetryBudget budget;
        // By route, since the routes of a service differ in how long their requests take.
        std::unordered_map<std::string, AttemptTimeout> timeouts;
    };

    // An attempt's deadline is this much earlier than the request's, so that a sidecar's refusal arrives in time.
    static constexpr Duration answerMargin = 5ms;
    // Delay after which callers that were refused for a transient reason should retry.
    static constexpr Duration retryAfterHint = 1s;
    // Longest and shortest delay after which callers should retry if the limits of all backend servers are used up.
    static constexpr Duration shortestLimitHint = 100ms;
    static constexpr Duration longestLimitHint = 10s;
    // Interval at which a waiting request is routed again.
    static constexpr Duration routingInterval = 40ms;
    // An attempt that takes this many times as long as usual is asked for, if its answer can still be in time.
    static constexpr int silenceFactor = 3;
    // Delay before an attempt whose connection failed is sent again, to avoid a busy loop while the peer is down.
    static constexpr Duration resendDelay = 50ms;
    // Maximum number of sidecars that are tried for a free slot before the request may queue at one.
    static constexpr uint32_t maximumFreeSlotAttempts = 3;

    // Maximum number of sidecars that may refuse a retry for lack of retry share before the request ends.
    static constexpr uint32_t maximumRetryShareRefusals = 6;

    CallTerms termsOf(const CallArrived&, const Profile&) const;
    std::optional<Reason> refusalFor(const CallArrived&, const Profile&, Instant now) const;
    void routeFirst(Turn&, CallId, CallRecord&);
    // Sends the request elsewhere after a sidecar refused it and it reached no backend server. Returns false if the
    // deadline has passed or the profile's limit of reroutes is reached.
    bool reroute(Turn&, CallId, CallRecord&);
    // Routes the request again later, or ends it if that is of no use.
    void waitOrConclude(Turn&, CallId, CallRecord&);
    // Schedules another routing of the request. Returns false if the request must not wait any longer.
    bool scheduleRouting(Turn&, CallId, CallRecord&);
    // How much longer the request may wait for a slot to be answered in time; zero if it will be late.
    Duration remainingWait(const CallRecord&, Instant now) const;
    void routeAgain(Turn&, CallId, CallRecord&);
    // Chooses a backend server. Returns nullopt and the reason if there is none, or if the process would probably end
    // before the answer.
    std::optional<RouteChoice> choose(Turn&, const CallRecord&, Reason&);
    // Usual duration of an attempt of the request's route, or an estimate before the first one.
    Duration expectedDuration(const CallRecord&);
    // Returns true if an attempt that begins now would probably be broken off because the process ends.
    bool endsBeforeAnswer(const CallRecord&, Instant now);
    void send(Turn&, CallId, CallRecord&, const RouteChoice&);
    void forward(Turn&, CallId, CallRecord&, ForwardCall);
    void redirect(Turn&, CallId, CallRecord&, const InstanceId& keeper);
    AttemptTimeout& timeoutOf(const CallRecord&);
    void armTimer(CallId, const CallRecord&, Instant now);

    void recordAttemptEnd(Turn&, CallId, CallRecord&, const AttemptReport&);
    void handleVerdict(Turn&, CallId, CallRecord&, const AttemptReport&);
    // Records that the last attempt may have reached a backend server.
    static void recordArrival(CallRecord&);
    // Returns what the next attempt counts as under the fleet-wide limit on retries.
    static ArrivalKind nextArrival(const CallRecord&);
    RetryKind kindAfterRefusal(const CallRecord&, const AttemptReport&) const;
    bool mayRetry(const CallRecord&, Instant now);
    bool retry(Turn&, CallId, CallRecord&, RetryKind);
    // Returns true if the current attempt may be sent again to ask its sidecar for the outcome.
    bool canResend(const CallRecord&, Instant now) const;
    // Sends the current attempt again to the same sidecar, which recognises it and doesn't run it twice.
    void resend(Turn&, CallId, CallRecord&);
    // Time from the sending of an attempt until its outcome is asked for.
    Duration silenceLimit(const CallRecord&);
    void retryOrConclude(Turn&, CallId, CallRecord&, RetryKind);
    void replaceAttempt(Turn&, CallId, CallRecord&);
    void expire(Turn&, CallId, CallRecord&);
    void abandonAttempt(Turn&, CallId, CallRecord&, AttemptResult);

    void answer(Turn&, CallId, CallRecord&);
    void answerFrom(Turn&, CallId, CallRecord&, AttemptId, uint16_t status);
    // Ends the request after its last attempt failed: with the last server error answer if there is one, else with a
    // refusal.
    void conclude(Turn&, CallId, CallRecord&);
    void sendRefusal(Turn&, CallId, const CallRecord&, Outcome);
    // Delay after which the caller may try again; zero if there is no hint.
    Duration retryAfterOf(const CallRecord&, Instant now) const;
    void recordNestedFailure(const CallRecord&);
    void transition(CallRecord&, RequestEvent);
    void remove(CallId);
    void explain(Turn&, DecisionKind, const CallRecord&, const std::string& step, std::string evidence) const;
    const Profile& profileOf(const ServiceName&) const;

    Routing& m_routing;
    Observer& m_observer;
    CrashGuard& m_crashGuard;
    const Directory& m_directory;
    const ProfileRegistry& m_profiles;
    TypedChart<RequestState, RequestEvent> m_chart;
    CallLimit m_limit;
    std::unordered_map<CallId, CallRecord> m_calls;
    // Contains only services that requests were routed for.
    std::unordered_map<ServiceName, ServiceRecord> m_services;
    // The next event of each call: its next routing, its attempt's timeout or resend, or its deadline.
    TimerQueue<CallId> m_timers;
    std::vector<RequestId> m_failedParents;
    AttemptId m_lastAttempt;
    uint64_t m_lateReports { 0 };
    std::optional<Instant> m_endsAt;
    bool m_isLeaving { false };
};

}

#include <LibDecision/Calls/CallTableInline.h>
