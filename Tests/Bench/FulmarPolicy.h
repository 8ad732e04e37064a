#pragma once

#include "Policy.h"

#include <LibDecision/Health/Health.h>
#include <LibDecision/Routing/Router.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace Bench {

// The paths of one process: all members known and reachable.
class KnownMembers {
public:
    KnownMembers(const ServiceShape&, int self);

    const MemberRecord* find(const InstanceId& instance) const
    {
        auto member = m_members.find(instance);
        return member == m_members.end() ? nullptr : &member->second;
    }
    bool isReachable(const InstanceId&) const { return true; }
    std::optional<Duration> roundTripTo(const ZoneName&) const { return std::nullopt; }
    const MemberRecord& self() const { return *m_self; }

private:
    std::unordered_map<InstanceId, MemberRecord> m_members;
    const MemberRecord* m_self;
};

// The fleet's own registry, health and router, one of each a process. Rumors reach the other processes after a delay.
class FulmarPolicy {
public:
    FulmarPolicy(const ServiceShape&, uint64_t seed, bool explains);

    std::optional<int> choose(const SendInfo&, Instant now);
    void attemptStarted(const SendInfo&, int backend, Instant now);
    void attemptFinished(const SendInfo&, int backend, const AttemptReport&, Instant now);
    void runStarted(int backend, uint64_t run, Instant now);
    void runFinished(int backend, uint64_t run, const RunReport&, Instant now);
    void probeFinished(int backend, const RunReport&, Instant now);
    void phaseChanged(int backend, BackendPhase, Instant now);
    double suspicion(int backend) const;
    std::optional<Instant> nextTimer() const;
    void handleTimer(Instant now);
    std::vector<int> takeProbes() { return std::exchange(m_probes, {}); }
    std::vector<Ejection> takeEjections() { return std::exchange(m_ejections, {}); }

private:
    struct Process {
        Process(const ServiceShape&, const ProfileRegistry&, int number);

        KnownMembers members;
        BackendRegistry registry;
        Health health;
        Router<KnownMembers> router;
    };
    struct Delivery {
        int process { 0 };
        HealthReport report;
    };

    void act(int process, Instant now, const std::function<void(Process&, Turn&)>&);
    void carryOut(int process, Turn&);
    const BackendRecord& recordOf(int process, int backend) const;

    ProfileRegistry m_profiles;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<BackendRecord> m_records;
    std::map<BackendId, int> m_numbers;
    std::multimap<Instant, Delivery> m_deliveries;
    std::mt19937_64 m_random;
    PlatformTag m_lastTag;
    std::vector<int> m_probes;
    std::vector<Ejection> m_ejections;
    bool m_explains;
};

}
