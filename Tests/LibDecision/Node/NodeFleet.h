#pragma once

#include "../Membership/FakeFleet.h"
#include "../Support/FakePlatform.h"

#include <LibDecision/Node.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Testing {

// What is wrong with a fake backend server.
struct BackendTrouble {
    double slowFactor { 1 };
    bool isStuck { false };
    double errorShare { 0 };
    double cutShare { 0 };
    // Requests whose fingerprint has this low half take the backend server down.
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
    BackendTrouble trouble;
    bool isUp { true };
    bool isDraining { false };
    std::optional<Instant> drainingSince;
    // Latest begin of a run, for the drain bound.
    Instant lastRunAt;
    uint32_t running { 0 };
    uint32_t mostRunning { 0 };
    size_t crashes { 0 };
};

enum class CallerTold {
    Nothing,
    Answered,
    NotRun,
    Unknown,
};

// One caller's request as its caller and the ledgers of backend servers know it.
struct CallerRequest {
    RequestInfo info;
    size_t ingress { 0 };
    Instant sentAt;
    CallerTold told { CallerTold::Nothing };
    Reason reason { Reason::None };
    size_t timesTold { 0 };
    uint32_t runs { 0 };
    // The request whose answer was given; empty if none.
    RequestId answerOf;
    std::optional<Instant> toldAt;
    bool isIngressLost { false };
    bool isCallerGone { false };
};

// Steps whole nodes with a fake network, platform and backend servers, and keeps the ledgers of both ends.
class NodeFleet {
public:
    NodeFleet(uint64_t seed, size_t nodes);

    // Adds a backend server beside the node.
    size_t addBackend(const std::string& service, size_t node);
    // Sends a caller's request to the node and gives its number.
    size_t send(size_t node, RequestInfo);
    void callerGone(size_t request);
    // Makes a request with an id of its own.
    RequestInfo makeRequest(const std::string& service, Method, std::optional<std::string> key = std::nullopt);

    void kill(size_t node);
    void restart(size_t node);
    void leave(size_t node);
    void pause(size_t node, Duration);
    void drain(size_t backend);
    void runFor(Duration duration) { m_fleet.runFor(duration); }

    FakeFleet<Node>& fleet() { return m_fleet; }
    const NodeState& state(size_t node) { return m_fleet.process(node).state(); }
    FakePlatform& platform() { return m_platform; }
    std::vector<FakeBackend>& backends() { return m_backends; }
    const std::vector<CallerRequest>& requests() const { return m_requests; }
    // Runs per idempotency key and service.
    const std::map<std::string, uint32_t>& runsByKey() const { return m_runsByKey; }
    const std::map<DecisionKind, size_t>& decisions() const { return m_decisions; }
    bool hasLeft(size_t node) const { return m_left.contains(node); }
    // Answers of requests in flight that a leaving process cut.
    size_t cutByLeaving() const { return m_cutByLeaving; }

    bool isPlatformDown { false };
    // Share of the platform's replies that are lost after taking effect.
    double lostPlatformReplies { 0 };

private:
    // A request between an ingress and a sidecar.
    struct Link {
        size_t ingress { 0 };
        uint32_t ingressLife { 0 };
        CallId call;
        AttemptId attempt;
        InstanceId sidecarName;
        size_t sidecar { 0 };
        Instant sentAt;
        RequestInfo request;
    };

    struct Run {
        size_t node { 0 };
        uint32_t life { 0 };
        size_t backend { 0 };
        Incarnation incarnation;
        bool isCancelled { false };
        RequestInfo request;
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
    void carryOut(size_t node, const AdoptSidecarCall&);
    void carryOut(size_t node, const RedirectSidecarCall&);
    void carryOut(size_t node, const RefuseSidecarCall&);
    void carryOut(size_t node, const KeepAnswer&);
    void carryOut(size_t node, const ForgetAnswer&);
    void carryOut(size_t node, const ProbeBackend&);
    void carryOut(size_t node, const CallPlatform&);
    void carryOut(size_t node, const Explain&);
    void carryOut(size_t node, const Leave&);
    void carryOut(size_t, const SendMessage&) { }
    void carryOut(size_t, const DropConnections&) { }

    void arrive(Link, const ForwardCall&);
    void endLink(size_t node, SidecarCallId, AttemptReport, RequestId answerOf);
    void report(const Link&, AttemptReport, Duration delay, RequestId answerOf);
    void finishRun(SidecarKey, AttemptResult, uint16_t status);
    void crash(size_t backend);
    void platformReply(size_t node, uint32_t life, const CallPlatform&, Instant end);
    void answerWatches();
    void tell(size_t node, CallId, CallerTold, Reason, RequestId answerOf);
    void loseLinksOf(size_t node);

    FakeFleet<Node> m_fleet;
    FakePlatform m_platform;
    std::vector<uint32_t> m_lives;
    std::vector<FakeBackend> m_backends;
    std::vector<CallerRequest> m_requests;
    std::map<std::pair<size_t, CallId>, size_t> m_requestByCall;
    // What each attempt's answer belongs to.
    std::map<std::pair<CallId, AttemptId>, RequestId> m_attemptAnswers;
    std::map<SidecarKey, Link> m_links;
    std::map<SidecarKey, Run> m_runs;
    // Requests whose whole answer the sidecar got from its backend server.
    std::map<SidecarKey, RequestId> m_runAnswers;
    std::map<SidecarKey, RequestId> m_keptAnswers;
    std::map<std::string, uint32_t> m_runsByKey;
    std::map<DecisionKind, size_t> m_decisions;
    std::set<size_t> m_left;
    size_t m_cutByLeaving { 0 };

    struct Waiting {
        size_t node { 0 };
        uint32_t life { 0 };
        CallPlatform call;
        Instant end;
    };
    std::vector<Waiting> m_waiting;
    uint64_t m_lastCall { 0 };
    uint64_t m_lastSidecarCall { 0 };
    uint64_t m_lastRequest { 0 };
};

}
