#pragma once

#include <LibDecision/Admission/CrashGuard.h>
#include <LibDecision/Admission/SidecarAdmission.h>
#include <LibDecision/Calls/CallTable.h>
#include <LibDecision/Claims/Claims.h>
#include <LibDecision/Configuration/ConfigurationProof.h>
#include <LibDecision/Configuration/ProfileConfiguration.h>
#include <LibDecision/Configuration/RouteConfiguration.h>
#include <LibDecision/Health/Health.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Node.h>
#include <LibDecision/Quotas/Quotas.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Registry/LocalBackends.h>
#include <LibDecision/Registry/OrphanSweep.h>
#include <LibDecision/Routing/Router.h>
#include <LibDecision/TimerQueue.h>

#include <random>

namespace Decision {

// The components of one node. Dispatches inputs to the components and passes the results of one component to the
// others. No component changes the state of another.
class NodeState {
public:
    using NodeRouter = Router<Membership>;
    using NodeClaims = Claims<Membership, BackendRegistry>;
    using NodeQuotas = Quotas<Membership>;
    using NodeAdmission = SidecarAdmission<NodeClaims, Health>;
    using NodeCalls = CallTable<NodeRouter, Health>;

    explicit NodeState(const NodeOptions&);
    NodeState(const NodeState&) = delete;
    NodeState& operator=(const NodeState&) = delete;

    EffectList start(Instant now);
    EffectList handle(Instant now, const Input&);
    std::optional<Instant> nextTimer() const;

    const Membership& membership() const { return m_membership; }
    const ProfileRegistry& profiles() const { return m_profiles; }
    const ProfileConfiguration& configuration() const { return m_configuration; }
    const RouteConfiguration& routes() const { return m_routes; }
    const ConfigurationProof& configurationProof() const { return m_configurationProof; }
    const BackendRegistry& registry() const { return m_registry; }
    const LocalBackends& localBackends() const { return m_localBackends; }
    const Health& health() const { return m_health; }
    const NodeRouter& router() const { return m_router; }
    const NodeAdmission& admission() const { return m_admission; }
    const NodeCalls& calls() const { return m_calls; }
    const NodeQuotas& quotas() const { return m_quotas; }
    bool isLeaving() const { return m_leavingSince.has_value(); }

private:
    void receive(Turn&, const MessageReceived&);
    void receive(Turn&, const TimerFired&);
    void receive(Turn&, const SendFailed&);
    void receive(Turn&, const CallArrived&);
    // Sets the request's service and terms from the route table. Returns the reason for refusal if no route applies.
    std::optional<Reason> applyRoute(Turn&, CallArrived&) const;
    // Decides who sent the request, if there are tenants, and takes its account and terms from that. Returns the reason for
    // refusal if the request needs an API key and has none that is in force.
    std::optional<Reason> identify(const Turn&, const Route&, CallArrived&) const;
    // Returns the tenant whose quota the call uses; null if it uses none.
    const Tenant* quotaTenantOf(const CallArrived&) const;
    // Passes on the calls whose wait for a token has ended.
    void decideQuotas(Turn&);
    // Returns the priority of a request of this route among those that wait for a slot; 0 is the most urgent.
    uint32_t priorityOf(const Route&, const RequestInfo&, uint32_t tenantPriority) const;
    void receive(Turn&, const CallerDisconnected&);
    void receive(Turn&, const AttemptFinished&);
    void receive(Turn&, const SidecarCallArrived&);
    void receive(Turn&, const SidecarCallCancelled&);
    void receive(Turn&, const RunFinished&);
    void receive(Turn&, const ProbeFinished&);
    void receive(Turn&, const ConnectionRefused&);
    void receive(Turn&, const BackendAnnounced&);
    void receive(Turn&, const BackendWithdrawn&);
    void receive(Turn&, const PlatformReplied&);
    void receive(Turn&, const LeaveRequested&);
    void receive(Turn&, const DrainRequested&);
    void receive(Turn&, const DefaultsChanged&);
    void receive(Turn&, const SuspensionObserved&);

    // Apply a record that was received in a rumor or produced by this process.
    void applyRecord(Turn&, const MemberRecord&);
    void applyRecord(Turn&, const BackendRecord&);
    // Tells the fleet again that a backend server leaves, after a later process beside it published that it serves.
    void correctSidecar(Turn&, const BackendRecord&);
    void applyRecord(Turn&, const HealthReport&);
    void applyRecord(Turn&, const CrashReport&);
    void retireWithdrawn(Turn&, const BackendRecord&);
    void tellCrashes(Turn&, const Message&) const;
    void applyRecord(Turn&, const ClaimHolder&);
    void applyRecord(Turn&, const ProfileRevision&);

    // Removes backend servers whose sidecar is no longer known to the membership.
    void sweepOrphans(Turn&);
    // Passes the components' results to each other until there are none left, and returns the effects of the turn.
    EffectList finishTurn(Turn&);
    // Emits Leave once nothing is in flight or the leave timeout has passed.
    void leaveIfDone(Turn&);
    // Stops accepting callers' requests once the leave notice has passed.
    void endLeaveNotice(Turn&);

    std::mt19937_64 m_random;
    PlatformTag m_lastPlatformTag;
    Duration m_leaveTimeout;
    Duration m_leaveNotice;
    ProfileRegistry m_profiles;
    Membership m_membership;
    ProfileConfiguration m_configuration;
    RouteConfiguration m_routes;
    ConfigurationProof m_configurationProof;
    BackendRegistry m_registry;
    LocalBackends m_localBackends;
    Health m_health;
    NodeRouter m_router;
    OrphanSweep m_orphanSweep;
    CrashGuard m_crashGuard;
    NodeClaims m_claims;
    NodeAdmission m_admission;
    NodeCalls m_calls;
    NodeQuotas m_quotas;
    std::optional<Instant> m_leavingSince;
    std::optional<Instant> m_leaveNoticeEndsAt;
    // When to check next whether the process can leave.
    std::optional<Instant> m_leaveCheckAt;
    bool m_hasLeft { false };
};

}
