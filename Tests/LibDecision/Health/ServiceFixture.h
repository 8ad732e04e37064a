#pragma once

#include <LibDecision/Health/Health.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Decision {

// One process's view of one service: a registry, the profile in force and Health, with a simulated clock. Backend
// server N is "b-N" and its sidecar is the process "p-N"; this process is "p-0".
class ServiceFixture {
public:
    explicit ServiceFixture(Profile profile, int backendCount)
        : health(self(), registry, profiles)
        , m_profile(std::move(profile))
    {
        m_profile.name = ProfileName("desk");
        health.useReachability([this](const InstanceId& instance) { return !unreachable.contains(instance); });
        putProfile();
        for (int number = 0; number < backendCount; ++number)
            change(record(number));
    }

    static MemberRecord self()
    {
        MemberRecord member;
        member.instance = InstanceId("p-0");
        member.incarnation = Incarnation(1);
        return member;
    }

    static BackendId id(int number) { return BackendId("b-" + std::to_string(number)); }

    BackendRecord record(int number) const
    {
        if (auto known = registry.find(id(number)))
            return *known;
        BackendRecord record;
        record.id = id(number);
        record.service = ServiceName("commission-desk");
        record.profile = ProfileName("desk");
        record.sidecar = InstanceId("p-" + std::to_string(number));
        record.sidecarIncarnation = Incarnation(1);
        record.incarnation = Incarnation(1);
        record.version = 1;
        record.slots = 3;
        return record;
    }

    void setPhase(int number, BackendPhase phase)
    {
        auto changed = record(number);
        changed.phase = phase;
        ++changed.version;
        change(changed);
    }

    void change(const BackendRecord& record)
    {
        act([&](Turn& turn) {
            if (registry.apply(turn, record))
                health.backendChanged(turn, record);
        });
    }

    // Advances the clock and runs the timers that become due.
    void advanceUntil(Instant end)
    {
        while (health.nextTimer() && *health.nextTimer() <= end) {
            now = std::max(now, *health.nextTimer());
            act([&](Turn& turn) { health.handleTimer(turn); });
        }
        now = std::max(now, end);
    }
    void advance(Duration duration) { advanceUntil(now + duration); }

    // Simulates a request that this process, as the ingress, sends to the sidecar of the backend server.
    void attempt(int number, AttemptReport report)
    {
        auto call = CallId(++m_lastCall);
        act([&](Turn& turn) { health.attemptStarted(turn, call, record(number)); });
        advance(report.elapsed);
        act([&](Turn& turn) { health.attemptFinished(turn, call, record(number), report); });
    }

    // Simulates a request that this process runs as the sidecar.
    void run(int number, RunReport report)
    {
        auto call = SidecarCallId(++m_lastCall);
        act([&](Turn& turn) { health.runStarted(turn, call, id(number)); });
        advance(report.elapsed);
        act([&](Turn& turn) { health.runFinished(turn, call, id(number), report); });
    }

    // Simulates the arrival of a sidecar's health report with the given strength.
    void report(int number, double strength)
    {
        HealthReport report;
        report.backend = id(number);
        report.backendIncarnation = record(number).incarnation;
        report.observer = record(number).sidecar;
        report.isFromSidecar = true;
        report.suspicion = suspicionFromStrength(strength);
        report.version = ++m_lastReport;
        act([&](Turn& turn) { health.apply(turn, report); });
    }

    Standing standing(int number) const { return health.standing(id(number), now); }
    StandingState state(int number) const { return standing(number).state; }

    // Share of the announced slots that are in use in this process's view.
    double shareInUse() const
    {
        double announced = 0;
        double inUse = 0;
        for (auto record : registry.backendsOf(ServiceName("commission-desk"))) {
            announced += record->slots;
            inUse += isInUse(*record) ? record->slots : 0;
        }
        return announced > 0 ? inUse / announced : 1;
    }

    // True if it is serving, reachable, warm and gets its full share.
    bool isInUse(const BackendRecord& record) const
    {
        auto standing = health.standing(record.id, now);
        bool isTrusted = standing.state == StandingState::Healthy || standing.state == StandingState::Suspect;
        return couldServe(record) && isTrusted && standing.share >= 1;
    }

    bool couldServe(const BackendRecord& record) const
    {
        return record.phase == BackendPhase::Serving && !unreachable.contains(record.sidecar);
    }

    size_t eventCount(DecisionKind kind) const
    {
        return std::ranges::count(events, kind, &DecisionEvent::kind);
    }

    template <typename Action>
    void act(Action action)
    {
        Turn turn(now, random, m_lastTag);
        action(turn);
        for (auto& effect : turn.takeEffects()) {
            if (auto explained = std::get_if<RecordDecision>(&effect))
                events.push_back(explained->event);
            if (auto probe = std::get_if<ProbeBackend>(&effect))
                probes.push_back(*probe);
        }
        for (auto& rumor : turn.takeRumors()) {
            if (auto published = std::get_if<HealthReport>(&rumor.rumor))
                reports.push_back(*published);
        }
    }

    ServiceFixture(const ServiceFixture&) = delete;
    ServiceFixture& operator=(const ServiceFixture&) = delete;

    Instant now { std::chrono::seconds(100) };
    std::mt19937_64 random { 1 };
    BackendRegistry registry;
    ProfileRegistry profiles;
    Health health;
    std::set<InstanceId> unreachable;
    std::vector<DecisionEvent> events;
    std::vector<ProbeBackend> probes;
    std::vector<HealthReport> reports;

private:
    void putProfile()
    {
        ProfileInForce inForce;
        inForce.profile = m_profile;
        inForce.revision.name = m_profile.name;
        inForce.revision.revision = Revision(7);
        profiles.put(inForce);
    }

    Profile m_profile;
    PlatformTag m_lastTag;
    uint64_t m_lastCall { 0 };
    uint64_t m_lastReport { 0 };
};

}
