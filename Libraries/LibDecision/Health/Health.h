#pragma once

#include <LibDecision/Charts.h>
#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Health/BackendHealth.h>
#include <LibDecision/Health/FloorGuard.h>
#include <LibDecision/Health/ServiceBaselines.h>
#include <LibDecision/Health/Standing.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/TimerQueue.h>
#include <LibDecision/Turn.h>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Decision {

// Outlier detection: collects evidence about every backend server from its requests, ejects outliers while the capacity
// floor of the service allows it, and brings them back step by step.
class Health {
public:
    Health(const MemberRecord& self, const BackendRegistry&, const ProfileRegistry&);

    // Sets the predicate that tells whether this process can reach another one; by default every process counts as
    // reachable. The slots of backend servers behind unreachable processes count as out of use, so fewer others can be
    // ejected before the floor is reached.
    void useReachability(std::function<bool(const InstanceId&)>);

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // This process, as the ingress, sent a request to the backend server, or such a request ended.
    void attemptStarted(Turn&, CallId, const BackendRecord&);
    void attemptFinished(Turn&, CallId, const BackendRecord&, const AttemptReport&);
    // This process, as the sidecar, started a request at its own backend server, or such a request ended.
    void runStarted(Turn&, SidecarCallId, const BackendId&);
    void runFinished(Turn&, SidecarCallId, const BackendId&, const RunReport&);
    void probeFinished(Turn&, const BackendId&, const RunReport&);

    // Takes a report that another sidecar published. Returns true if it is newer than the one known; the report is then
    // evaluated and disseminated further.
    bool apply(Turn&, const HealthReport&);
    // Must be called after the registry added or replaced its record of the backend server.
    void backendChanged(Turn&, const BackendRecord&);
    // Drops everything known of a backend server that was removed from the registry.
    void forget(const BackendId&);

    Standing standing(const BackendId&, Instant now) const;
    // The suspicion, from 0 to 1, that this process as the sidecar has of its own backend server; sent in load reports.
    // 0 if the backend server belongs to another process.
    double sidecarSuspicion(const BackendId&) const;
    // Sets the endpoint for probes, as the backend server announced it. Called only in the backend server's sidecar;
    // without an endpoint no probe is sent.
    void setProbeEndpoint(const BackendId&, const Endpoint&);

    // Number of backend servers of which health state is kept.
    size_t trackedCount() const { return m_backendHealth.size(); }

private:
    BackendHealth& backendHealthOf(const BackendRecord&);
    BackendHealth* findBackendHealth(const BackendId&);
    const BackendHealth* findBackendHealth(const BackendId&) const;
    ServiceBaselines& baselinesOf(const ServiceName& name) { return m_baselines[name]; }
    const HealthPolicy& policyOf(const ServiceName&) const;
    Sensitivity sensitivityOf(const ServiceName&) const;

    double backendStrength(const BackendHealth&, Instant now) const;
    double pathStrength(const BackendHealth&, Instant now) const;
    double strengthFrom(EvidenceSource, const BackendHealth&, Instant now) const;
    double strengthOf(const BackendHealth&, Instant now) const;
    // Median strength over the service's other serving backend servers; 0 if there is none.
    double medianStrengthOfOthers(EvidenceSource, const BackendRecord&, Instant now) const;
    // True if the evidence points to a cause that the service's backend servers share: this one is not far enough above
    // their median to be an outlier, or (for the sidecars' evidence) the whole service was disturbed recently.
    bool isCommonCause(EvidenceSource, const BackendRecord&, const BackendHealth&, Instant now) const;
    // True if requests of the backend server may be added to the service's baselines.
    bool isRepresentative(const BackendRecord&, const BackendHealth&, Instant now) const;

    bool isInUse(const BackendRecord&, const BackendHealth*, Instant now) const;
    bool isCold(const BackendHealth&, Instant now) const;
    bool couldServe(const BackendRecord&) const;
    FloorGuard countSlots(const ServiceName&, Instant now) const;

    void addToBaselines(const BackendRecord&, const BackendHealth&, const AttemptReport&, Instant now);
    void evaluate(Turn&, const BackendRecord&, BackendHealth&);
    void tryToEject(Turn&, const BackendRecord&, BackendHealth&, EvidenceSource);
    void eject(Turn&, const BackendRecord&, BackendHealth&, EvidenceSource, const FloorGuard&);
    void withhold(Turn&, const BackendRecord&, BackendHealth&, const std::string& why);
    void beginReturn(Turn&, const BackendRecord&, BackendHealth&, const std::string& why);
    void finishReturn(Turn&, const BackendRecord&, BackendHealth&);
    void restoreFloor(Turn&, const ServiceName&);
    void handleStandingTimer(Turn&, const BackendRecord&, BackendHealth&);
    bool sendProbe(Turn&, const BackendRecord&, BackendHealth&);
    void publishReport(Turn&, const BackendRecord&, BackendHealth&);
    void scheduleEvaluation(const BackendRecord&, const BackendHealth&, Instant now);
    void explain(Turn&, DecisionKind, const BackendRecord&, std::string evidence);
    std::string describe(const BackendRecord&, const BackendHealth&, EvidenceSource, Instant now) const;

    MemberRecord m_self;
    const BackendRegistry& m_registry;
    const ProfileRegistry& m_profiles;
    std::function<bool(const InstanceId&)> m_isReachable;
    TypedChart<StandingState, StandingEvent> m_chart;
    std::unordered_map<BackendId, BackendHealth> m_backendHealth;
    std::unordered_map<BackendId, Endpoint> m_probeEndpoints;
    std::unordered_map<ServiceName, ServiceBaselines> m_baselines;
    TimerQueue<BackendId> m_evaluationTimers;
    TimerQueue<BackendId> m_standingTimers;
    TimerQueue<ServiceName> m_floorChecks;
    std::optional<Instant> m_startedAt;
};

}
