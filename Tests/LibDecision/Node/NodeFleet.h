#pragma once

#include "../Membership/FakeFleet.h"
#include "../Support/FakePlatform.h"

#include <LibDecision/Node.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Testing {

// Simulated faults of a fake backend server. Shares are probabilities from 0 to 1.
struct BackendFaults {
    double slowFactor { 1 };
    bool isStuck { false };
    double errorShare { 0 };
    double cutShare { 0 };
    // Refused as not run: because it is full, or as meant for another backend server.
    double shedShare { 0 };
    double misdirectedShare { 0 };
    // What the backend server says of its own state in its answers.
    BackendNotice notice;
    // A request crashes the backend server if the low half of its fingerprint has this value; 0 disables crashes.
    uint64_t crashFingerprint { 0 };
};

struct FakeBackend {
    BackendId id;
    ServiceName service;
    // The process that it announces itself to.
    size_t node { 0 };
    Incarnation incarnation { 1 };
    uint32_t slots { 3 };
    Duration serviceTime { 20ms };
    // A run makes a call to this service with this probability, and fails if the call does.
    ServiceName calledService;
    double callShare { 0 };
    BackendFaults simulatedFaults;
    bool isUp { true };
    bool isDraining { false };
    std::optional<Instant> drainingSince;
    // Start of the latest run, to check that runs stop in time after a drain.
    Instant lastRunAt;
    uint32_t running { 0 };
    uint32_t maximumRunning { 0 };
    size_t crashes { 0 };
};

// What a caller was told about its request.
enum class CallerOutcome {
    Pending,
    Answered,
    NotRun,
    Unknown,
};

// A caller's request, with what its caller was told and how often backend servers ran it.
struct CallerRequest {
    RequestInfo info;
    size_t ingress { 0 };
    Instant sentAt;
    CallerOutcome callerOutcome { CallerOutcome::Pending };
    Reason reason { Reason::None };
    size_t outcomeCount { 0 };
    uint32_t runs { 0 };
    // The request whose answer the caller got; empty if there was no answer.
    RequestId answerOf;
    std::optional<Instant> outcomeAt;
    Duration retryAfter { 0 };
    bool isIngressLost { false };
    bool isCallerGone { false };
    uint32_t arrivals { 0 };
    // True for a call that a repeated run made.
    bool isCallOfRepeat { false };
    // The run that made this request as a call and waits for it.
    std::optional<std::pair<size_t, uint64_t>> waitingRun;
};

// A request reached a backend server, which may have refused it.
struct BackendArrival {
    ServiceName service;
    size_t backend { 0 };
    size_t ingress { 0 };
    uint32_t ingressGeneration { 0 };
    // When its caller sent the request.
    Instant sentAt;
    Instant at;
    // Not the request's first arrival, or made by such a run.
    bool isRepeat { false };
    Fingerprint fingerprint;
};

// A process passed on an answer in which a backend server said something of its own state.
struct PassedOnNotice {
    size_t backend { 0 };
    size_t ingress { 0 };
    uint32_t ingressGeneration { 0 };
    Instant at;
    BackendNotice notice;
};

struct NodeFleetOptions {
    RoutingMode routing { RoutingMode::ServiceHeader };
    Profile defaultProfile;
    // In force from the start, if requests are routed by a table.
    std::shared_ptr<const RouteTable> routes;
    // Whether a backend server whose sidecar has died waits for the sidecar's successor instead of moving elsewhere.
    bool areBackendsTied { false };
    // How long a backend server that crashed is down.
    Duration backendDownTime { 2s };
    Duration announcementInterval { 3s };
    TenantTerms tenants;
    // Whether processes know some others from the start, rather than only from the store.
    bool knowsSeeds { true };
};

// Simulates a fleet of complete nodes with a fake network, platform and backend servers. Records for each request what
// its caller was told and how often it ran.
class NodeFleet {
public:
    NodeFleet(uint64_t seed, size_t nodes, NodeFleetOptions = {});

    // Adds a backend server whose sidecar is the node. Returns its index.
    size_t addBackend(const std::string& service, size_t node);
    // Sends a caller's request to the node, with the digest of its API key if it has one. Returns its index in requests().
    size_t send(size_t node, RequestInfo, const std::string& keyDigest = "");
    void callerGone(size_t request);
    // Makes a request with a unique id.
    RequestInfo makeRequest(const std::string& service, Method, std::optional<std::string> key = std::nullopt);

    void kill(size_t node);
    void restart(size_t node);
    // Restarts the process after the time of day of its machine was set back, so that its incarnation is lower than before.
    void restartInThePast(size_t node);
    void leave(size_t node);
    void pause(size_t node, Duration);
    // As pause(), but the node's steady clock stands still meanwhile.
    void suspend(size_t node, Duration);
    // Puts a route table in force at the store.
    void publish(std::shared_ptr<const RouteTable>);
    void drain(size_t backend);
    // Delivers the backend server's withdrawal. It goes on announcing itself, as if those announcements were late.
    void withdraw(size_t backend);
    // Ends the backend server's process and all that it runs. It comes back after a while.
    void crash(size_t backend);
    // Starts another process beside those that there are. Returns its index.
    size_t addNode();
    // Brings the store back from its snapshot. Calls that wait there get no answer.
    void restorePlatform();
    void runFor(Duration duration) { m_fleet.runFor(duration); }

    FakeFleet<Node>& fleet() { return m_fleet; }
    const NodeState& state(size_t node) { return m_fleet.process(node).state(); }
    FakePlatform& platform() { return m_platform; }
    std::vector<FakeBackend>& backends() { return m_backends; }
    const std::vector<CallerRequest>& requests() const { return m_requests; }
    const std::vector<BackendArrival>& arrivals() const { return m_arrivals; }
    const std::vector<PassedOnNotice>& passedOnNotices() const { return m_passedOnNotices; }
    // Number of runs by "SERVICE/KEY", for requests with an idempotency key.
    const std::map<std::string, uint32_t>& runsByKey() const { return m_runsByKey; }
    const std::map<DecisionKind, size_t>& decisions() const { return m_decisions; }
    bool hasLeft(size_t node) const { return m_left.contains(node); }
    // Number of requests in flight that were aborted because a process left.
    size_t abortedByLeaving() const { return m_abortedByLeaving; }

    bool isPlatformDown { false };
    // Nodes that the store gives no answer, and those that it turns away at once.
    std::set<size_t> nodesWithSilentStore;
    std::set<size_t> nodesTurnedAway;
    // Operations of each kind that reached the store.
    size_t confirmations { 0 };
    // Probability, 0 to 1, that an operation takes effect at the platform but its reply is lost.
    double lostPlatformReplies { 0 };
    // Probability, 0 to 1, that a run order or its answer is delayed by up to longestTransit: while its connection is being
    // opened, as by a retransmitted SYN, or on the open connection.
    double slowTransits { 0 };
    Duration longestTransit { 4s };

private:
    // A request that an ingress forwarded to a sidecar and that has not finished.
    struct ForwardedCall {
        size_t ingress { 0 };
        uint32_t ingressGeneration { 0 };
        CallId call;
        AttemptId attempt;
        InstanceId sidecarName;
        size_t sidecar { 0 };
        Instant sentAt;
        RequestInfo request;
        // Which of the sends in this fleet it is; an attempt may be sent several times.
        uint64_t send { 0 };
        // The process that the order and its answer pass through; nullopt if the connection is direct.
        std::optional<size_t> forwarder;
    };

    using AttemptKey = std::tuple<size_t, CallId, AttemptId>;

    struct Run {
        size_t node { 0 };
        uint32_t generation { 0 };
        size_t backend { 0 };
        Incarnation incarnation;
        bool isCancelled { false };
        RequestInfo request;
        bool isRepeat { false };
    };

    using SidecarKey = std::pair<size_t, uint64_t>;

    MemberRecord recordOf(size_t node) const;
    void startNode(size_t node);
    void announce(size_t backend);
    BackendAnnouncement announcementOf(const FakeBackend&) const;
    size_t nodeOf(const InstanceId&) const;
    bool isCut(size_t from, size_t to) const { return m_fleet.cut && m_fleet.cut(from, to); }
    Duration networkDelay() { return Duration(std::uniform_int_distribution<int64_t>(300, 1500)(m_fleet.random())); }
    bool happens(double share) { return std::uniform_real_distribution<double>(0, 1)(m_fleet.random()) < share; }

    void carryOut(size_t node, const ForwardCall&);
    void carryOut(size_t node, const CancelAttempt&);
    void carryOut(size_t node, const AnswerCall&);
    void carryOut(size_t node, const RefuseCall&);
    void carryOut(size_t node, const RunCall&);
    void carryOut(size_t node, const CancelRun&);
    void carryOut(size_t node, const AnswerSidecarCall&);
    void carryOut(size_t node, const ReplaySidecarCall&);
    void carryOut(size_t node, const RebindSidecarCall&);
    void carryOut(size_t node, const RedirectSidecarCall&);
    void carryOut(size_t node, const RefuseSidecarCall&);
    void carryOut(size_t node, const KeepAnswer&);
    void carryOut(size_t node, const ForgetAnswer&);
    void carryOut(size_t node, const ProbeBackend&);
    void carryOut(size_t node, const CheckConnection&);
    void carryOut(size_t node, const CallPlatform&);
    void carryOut(size_t node, const RecordDecision&);
    void carryOut(size_t node, const Leave&);
    void carryOut(size_t, const SendMessage&) { }
    void carryOut(size_t, const DropConnections&) { }

    Duration transitTime();
    static AttemptKey attemptOf(const ForwardedCall& forwarded) { return { forwarded.ingress, forwarded.call, forwarded.attempt }; }
    // Returns true if the ingress has closed the connection of this send.
    bool isClosed(const ForwardedCall&) const;
    // Closes the connection of the attempt's earlier send, which is in doubt.
    void closeEarlierSend(const AttemptKey&);
    // Opens the connection of a send to the process that is there now.
    void forwardOrder(const ForwardedCall&, const ForwardCall&, size_t forwarder);
    void connect(const ForwardedCall&, const ForwardCall&);
    void arrive(ForwardedCall, const ForwardCall&, std::optional<size_t> forwarder = std::nullopt);
    void finishForwardedCall(size_t node, SidecarCallId, AttemptReport, RequestId answerOf);
    void report(const ForwardedCall&, AttemptReport, Duration delay, RequestId answerOf);
    void finishRun(SidecarKey, AttemptResult, uint16_t status, Reason = Reason::None);
    // Counts the arrival of a run's request at its backend server.
    void countArrival(Run&, const ServiceName&);
    // Makes the call that the run needs. The run ends with the call's outcome.
    void makeCall(SidecarKey, const FakeBackend&);
    void resumeLater(size_t node, Duration);
    void platformReply(size_t node, uint32_t generation, const CallPlatform&, Instant end);
    void answerWatches();
    void recordOutcome(size_t node, CallId, CallerOutcome, Reason, RequestId answerOf);
    void failForwardedCallsOf(size_t node);

    NodeFleetOptions m_options;
    FakeFleet<Node> m_fleet;
    FakePlatform m_platform;
    std::vector<uint32_t> m_generations;
    // By how much less the incarnation of each process is because the time of day was set back.
    std::map<size_t, uint64_t> m_setBack;
    std::vector<FakeBackend> m_backends;
    std::vector<CallerRequest> m_requests;
    std::map<std::pair<size_t, CallId>, size_t> m_requestByCall;
    // The request that the answer of each attempt belongs to.
    std::map<std::pair<CallId, AttemptId>, RequestId> m_attemptAnswers;
    std::map<SidecarKey, ForwardedCall> m_forwardedCalls;
    // The last send of each attempt whose ingress still waits for it.
    std::map<AttemptKey, uint64_t> m_openSends;
    // The requests that arrived at sidecars, also over connections that were closed since.
    std::map<SidecarKey, RequestInfo> m_arrivedRequests;
    std::map<SidecarKey, Run> m_runs;
    // The requests that backend servers answered completely.
    std::map<SidecarKey, RequestId> m_runAnswers;
    std::map<SidecarKey, RequestId> m_keptAnswers;
    std::map<RequestId, size_t> m_requestById;
    std::vector<BackendArrival> m_arrivals;
    struct Notice {
        size_t backend { 0 };
        BackendNotice said;
    };
    std::vector<PassedOnNotice> m_passedOnNotices;
    // What backend servers said in the answers of these runs and attempts.
    std::map<SidecarKey, Notice> m_runNotices;
    std::map<std::pair<CallId, AttemptId>, Notice> m_attemptNotices;
    std::map<std::string, uint32_t> m_runsByKey;
    std::map<DecisionKind, size_t> m_decisions;
    std::set<size_t> m_left;
    size_t m_abortedByLeaving { 0 };

    struct PendingWatch {
        size_t node { 0 };
        uint32_t generation { 0 };
        CallPlatform call;
        Instant end;
    };
    std::vector<PendingWatch> m_pendingWatches;
    uint64_t m_lastCall { 0 };
    uint64_t m_lastSidecarCall { 0 };
    uint64_t m_lastRequest { 0 };
    uint64_t m_lastSend { 0 };
};

}
