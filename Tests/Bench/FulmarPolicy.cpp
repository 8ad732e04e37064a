#include "FulmarPolicy.h"

#include <iostream>

namespace Bench {

namespace {

    // How long rumors take to the other processes of a fleet of this size.
    constexpr Duration immediateRumorTime = 20ms;
    constexpr Duration piggybackRumorTime = 500ms;

    MemberRecord memberOf(const ServiceShape& shape, int number)
    {
        MemberRecord member;
        member.instance = InstanceId("p-" + std::to_string(number));
        member.incarnation = Incarnation(1);
        member.zone = ZoneName("zone-" + std::to_string(number % shape.zoneCount));
        return member;
    }

    BackendRecord backendOf(const ServiceShape& shape, int number)
    {
        BackendRecord record;
        record.id = BackendId("b-" + std::to_string(number));
        record.service = ServiceName(shape.name);
        record.profile = shape.profile.name;
        record.sidecar = InstanceId("p-" + std::to_string(number));
        record.sidecarIncarnation = Incarnation(1);
        record.incarnation = Incarnation(1);
        record.version = 1;
        record.slots = shape.slots;
        return record;
    }

}

KnownMembers::KnownMembers(const ServiceShape& shape, int self)
{
    for (int number = 0; number < shape.backendCount; ++number) {
        auto member = memberOf(shape, number);
        m_members.emplace(member.instance, member);
    }
    m_self = find(memberOf(shape, self).instance);
}

FulmarPolicy::Process::Process(const ServiceShape& shape, const ProfileRegistry& profiles, int number)
    : members(shape, number)
    , health(members.self(), registry, profiles)
    , router(members, registry, health, profiles)
{
}

FulmarPolicy::FulmarPolicy(const ServiceShape& shape, uint64_t seed, bool explains)
    : m_random(seed)
    , m_explains(explains)
{
    ProfileInForce inForce;
    inForce.profile = shape.profile;
    inForce.revision.name = shape.profile.name;
    inForce.revision.revision = Revision(1);
    m_profiles.put(inForce);
    for (int number = 0; number < shape.backendCount; ++number) {
        m_records.push_back(backendOf(shape, number));
        m_numbers[m_records.back().id] = number;
    }
    for (int number = 0; number < shape.backendCount; ++number) {
        m_processes.push_back(std::make_unique<Process>(shape, m_profiles, number));
        m_processes.back()->health.setProbeEndpoint(m_records[number].id, Endpoint { "127.0.0.1", 1 });
        for (const auto& record : m_records) {
            act(number, Instant {}, [&](Process& process, Turn& turn) {
                process.registry.apply(turn, record);
                process.health.backendChanged(turn, record);
            });
        }
    }
}

void FulmarPolicy::act(int process, Instant now, const std::function<void(Process&, Turn&)>& action)
{
    Turn turn(now, m_random, m_lastTag);
    action(*m_processes[process], turn);
    carryOut(process, turn);
}

void FulmarPolicy::carryOut(int process, Turn& turn)
{
    for (auto& effect : turn.takeEffects()) {
        if (auto probe = std::get_if<ProbeBackend>(&effect))
            m_probes.push_back(m_numbers.at(probe->backend));
        auto explained = std::get_if<RecordDecision>(&effect);
        if (!explained)
            continue;
        const auto& event = explained->event;
        if (event.kind == DecisionKind::BackendEjected)
            m_ejections.push_back({ process, m_numbers.at(event.backend) });
        if (!m_explains)
            continue;
        std::cerr << std::chrono::duration<double>(turn.now().time_since_epoch()).count() << " s p-" << process << " "
                  << nameOf(event.kind) << " " << event.backend << ": " << event.evidence << "\n";
    }
    for (auto& rumor : turn.takeRumors()) {
        auto report = std::get_if<HealthReport>(&rumor.rumor);
        // Every process hears it from the origin; passing it on again would bring no news.
        if (!report || report->observer != m_processes[process]->members.self().instance)
            continue;
        auto delay = rumor.urgency != Urgency::Piggyback ? immediateRumorTime : piggybackRumorTime;
        for (int receiver = 0; receiver < static_cast<int>(m_processes.size()); ++receiver) {
            if (receiver != process)
                m_deliveries.emplace(turn.now() + delay, Delivery { receiver, *report });
        }
    }
}

const BackendRecord& FulmarPolicy::recordOf(int process, int backend) const
{
    auto record = m_processes[process]->registry.find(m_records[backend].id);
    return record ? *record : m_records[backend];
}

std::optional<int> FulmarPolicy::choose(const SendInfo& send, Instant now)
{
    std::optional<int> chosen;
    RouteRequest request { m_records.front().service, send.isIdempotent, std::nullopt, {} };
    for (auto tried : send.tried)
        request.excluded.push_back(m_records[tried].id);
    act(send.ingress, now, [&](Process& process, Turn& turn) {
        Reason reason {};
        if (auto choice = process.router.choose(turn, request, reason))
            chosen = m_numbers.at(choice->backend.id);
    });
    return chosen;
}

void FulmarPolicy::attemptStarted(const SendInfo& send, int backend, Instant now)
{
    act(send.ingress, now, [&](Process& process, Turn& turn) {
        process.router.attemptStarted(turn, m_records[backend].id);
        process.health.attemptStarted(turn, CallId(send.call), recordOf(send.ingress, backend));
    });
}

void FulmarPolicy::attemptFinished(const SendInfo& send, int backend, const AttemptReport& report, Instant now)
{
    act(send.ingress, now, [&](Process& process, Turn& turn) {
        process.router.attemptFinished(turn, m_records[backend].id, report);
        process.health.attemptFinished(turn, CallId(send.call), recordOf(send.ingress, backend), report);
    });
}

void FulmarPolicy::runStarted(int backend, uint64_t run, Instant now)
{
    act(backend, now, [&](Process& process, Turn& turn) { process.health.runStarted(turn, SidecarCallId(run), m_records[backend].id); });
}

void FulmarPolicy::runFinished(int backend, uint64_t run, const RunReport& report, Instant now)
{
    act(backend, now, [&](Process& process, Turn& turn) { process.health.runFinished(turn, SidecarCallId(run), m_records[backend].id, report); });
}

void FulmarPolicy::probeFinished(int backend, const RunReport& report, Instant now)
{
    act(backend, now, [&](Process& process, Turn& turn) { process.health.probeFinished(turn, m_records[backend].id, report); });
}

void FulmarPolicy::phaseChanged(int backend, BackendPhase phase, Instant now)
{
    auto& record = m_records[backend];
    record.phase = phase;
    if (phase == BackendPhase::Warming)
        record.incarnation = record.incarnation.next();
    ++record.version;
    for (int process = 0; process < static_cast<int>(m_processes.size()); ++process) {
        act(process, now, [&](Process& changed, Turn& turn) {
            if (!changed.registry.apply(turn, record))
                return;
            changed.health.backendChanged(turn, record);
            changed.router.backendChanged(turn, record);
        });
    }
}

double FulmarPolicy::suspicion(int backend) const
{
    return m_processes[backend]->health.sidecarSuspicion(m_records[backend].id);
}

std::optional<Instant> FulmarPolicy::nextTimer() const
{
    std::optional<Instant> next;
    if (!m_deliveries.empty())
        next = m_deliveries.begin()->first;
    for (const auto& process : m_processes)
        next = earliest(next, process->health.nextTimer());
    return next;
}

void FulmarPolicy::handleTimer(Instant now)
{
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= now) {
        auto delivery = std::move(m_deliveries.begin()->second);
        m_deliveries.erase(m_deliveries.begin());
        act(delivery.process, now, [&](Process& process, Turn& turn) { process.health.apply(turn, delivery.report); });
    }
    for (int process = 0; process < static_cast<int>(m_processes.size()); ++process) {
        auto timer = m_processes[process]->health.nextTimer();
        if (timer && *timer <= now)
            act(process, now, [&](Process& due, Turn& turn) { due.health.handleTimer(turn); });
    }
}

}
