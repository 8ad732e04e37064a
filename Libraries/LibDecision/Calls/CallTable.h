#pragma once

#include <LibDecision/Admission/CrashGuard.h>
#include <LibDecision/Calls/AttemptTimeout.h>
#include <LibDecision/Calls/AttemptVerdict.h>
#include <LibDecision/Calls/CallLimit.h>
#include <LibDecision/Calls/CallRecord.h>
#include <LibDecision/Calls/RetryBudget.h>
#include <LibDecision/Charts.h>
#include <LibDecision/Configuration/ProfileBook.h>
#include <LibDecision/Input.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Routing/Router.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <concepts>
#include <optional>
#include <string>
#include <unordered_map>

namespace Decision {

// What the call table asks of routing.
template <typename T>
concept CallRouter = requires(T& router, Turn& turn, const RouteRequest& request, Reason& reason, const BackendId& backend, const AttemptReport& report, const InstanceId& instance)
{
    {
        router.choose(turn, request, reason)
        } -> std::same_as<std::optional<RouteChoice>>;
    router.attemptStarted(turn, backend);
    router.attemptFinished(turn, backend, report);
    // Where the process listens for the fleet; nothing if it isn't known or can't be reached.
    {
        router.controlOf(instance)
        } -> std::same_as<std::optional<Endpoint>>;
};

// What the call table asks of health.
template <typename T>
concept AttemptObserver = requires(T& observer, Turn& turn, CallId call, const BackendRecord& backend, const AttemptReport& report)
{
    observer.attemptStarted(turn, call, backend);
    observer.attemptFinished(turn, call, backend, report);
};

// Says which profile a service picked.
template <typename T>
concept ProfileDirectory = requires(const T& directory, const ServiceName& service)
{
    {
        directory.profileOf(service)
        } -> std::same_as<ProfileName>;
};

struct CallTableOptions {
    // Calls that the process handles at once.
    uint32_t concurrentCalls { 4096 };
};

// The callers' requests that this process took, from arrival until their outcome is told: deadlines, attempts,
// retries within the budget, cancellation. Each request gets exactly one AnswerCall or RefuseCall unless its
// caller went away.
//
// At most one attempt of a request is under way. "Not run" is told only if every attempt was definitely not run.
template <CallRouter Routing, AttemptObserver Observer, ProfileDirectory Directory = BackendRegistry>
class CallTable {
public:
    CallTable(Routing&, Observer&, CrashGuard&, const Directory&, const ProfileBook&, CallTableOptions = {});

    std::optional<Instant> nextTimer() const { return m_timers.next(); }
    void handleTimer(Turn&);

    void arrive(Turn&, const CallArrived&);
    // Tells the caller at once that its request isn't run.
    void refuse(Turn&, const CallArrived&, Reason);
    void callerGone(Turn&, CallId);
    void attemptFinished(Turn&, const AttemptFinished&);
    // From now on every new request is refused with "not run".
    void leave(Turn&);

    size_t inFlight() const { return m_calls.size(); }
    // Reports about attempts that were given up or had ended, which were dropped.
    uint64_t lateReports() const { return m_lateReports; }

private:
    // What this process learnt of one service.
    struct ServiceRecord {
        RetryBudget budget;
        // By route; routes of one service differ in their work.
        std::unordered_map<std::string, AttemptTimeout> timeouts;
    };

    // The answer's way to the caller is left this much of the deadline, so that a sidecar's refusal isn't late.
    static constexpr Duration answerMargin = 5ms;
    // A hint to callers that were refused for a lack of capacity.
    static constexpr Duration retryHint = 1s;
    // A waiting request looks for a backend server again after this time.
    static constexpr Duration waitStep = 20ms;
    // An order whose connection failed is sent again after this time, so that a dead process isn't asked without pause.
    static constexpr Duration settlePause = 50ms;
    // So many sidecars are asked for a free slot before the request queues at one.
    static constexpr uint32_t freeSlotTries = 3;

    // So many sidecars are asked for a part of the fleet's retries before a failure is told.
    static constexpr uint32_t retryShareTries = 6;

    CallTerms termsOf(const CallArrived&, const Profile&) const;
    std::optional<Reason> refusalFor(const CallArrived&, const Profile&, Instant now) const;
    void routeFirst(Turn&, CallId, CallRecord&);
    // Sends the request on after a refusal that reached no backend server. Returns false if the profile doesn't let it.
    bool reroute(Turn&, CallId, CallRecord&);
    // Looks for a backend server a little later. Returns false if the request may not wait.
    bool wait(Turn&, CallId, CallRecord&);
    void routeAgain(Turn&, CallId, CallRecord&);
    std::optional<RouteChoice> choose(Turn&, const CallRecord&, Reason&);
    void send(Turn&, CallId, CallRecord&, const RouteChoice&);
    void forward(Turn&, CallId, CallRecord&, ForwardCall);
    void redirect(Turn&, CallId, CallRecord&, const InstanceId& keeper);
    AttemptTimeout& timeoutOf(const CallRecord&);
    void armTimer(CallId, const CallRecord&, Instant now);

    void account(Turn&, CallId, CallRecord&, const AttemptReport&);
    void handleVerdict(Turn&, CallId, CallRecord&, const AttemptReport&);
    // The last send may have reached a backend server.
    static void noteArrival(CallRecord&);
    // What the next send counts as where arrivals at backend servers are bounded.
    static ArrivalKind nextArrival(const CallRecord&);
    RetryKind kindAfterRefusal(const CallRecord&, const AttemptReport&) const;
    bool mayRetry(const CallRecord&, Instant now) const;
    bool retry(Turn&, CallId, CallRecord&, RetryKind);
    // Whether what became of the send under way can be asked for.
    bool canSettle(const CallRecord&, Instant now) const;
    // Asks the sidecar again over another connection.
    void settle(Turn&, CallId, CallRecord&);
    void retryOrConclude(Turn&, CallId, CallRecord&, RetryKind);
    void giveUpAttempt(Turn&, CallId, CallRecord&);
    void expire(Turn&, CallId, CallRecord&);
    void abandonAttempt(Turn&, CallId, CallRecord&, AttemptResult);

    void answer(Turn&, CallId, CallRecord&);
    void answerFrom(Turn&, CallId, CallRecord&, AttemptId, uint16_t status);
    // Tells the outcome after the last attempt failed: a backend server's own error if there was one, else what is known.
    void conclude(Turn&, CallId, CallRecord&);
    void tellRefusal(Turn&, CallId, const CallRecord&, Outcome);
    void transition(CallRecord&, RequestEvent);
    void remove(CallId);
    void explain(Turn&, DecisionKind, const CallRecord&, const std::string& step, std::string evidence) const;
    const Profile& profileOf(const ServiceName&) const;

    Routing& m_routing;
    Observer& m_observer;
    CrashGuard& m_crashGuard;
    const Directory& m_directory;
    const ProfileBook& m_profiles;
    TypedChart<RequestState, RequestEvent> m_chart;
    CallLimit m_limit;
    std::unordered_map<CallId, CallRecord> m_calls;
    // Only services that a request was sent to.
    std::unordered_map<ServiceName, ServiceRecord> m_services;
    // The attempt's timeout or the deadline, whichever is first.
    TimerQueue<CallId> m_timers;
    AttemptId m_lastAttempt;
    uint64_t m_lateReports { 0 };
    bool m_isLeaving { false };
};

}

#include <LibDecision/Calls/CallTableInline.h>
