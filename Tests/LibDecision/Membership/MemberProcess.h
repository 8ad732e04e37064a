#pragma once

#include "FakeFleet.h"

#include <LibDecision/Configuration/ProfileConfiguration.h>
#include <LibDecision/Membership/Membership.h>

#include <unordered_map>

namespace Testing {

// A process with membership and configuration. It accepts a backend record if its version is higher than the known one.
class MemberProcess {
public:
    MemberProcess(const MemberRecord& self, const std::vector<Endpoint>& seeds, uint64_t randomSeed)
        : m_random(randomSeed)
        , m_membership({ self, seeds })
        , m_configuration(RoutingMode::ServiceHeader, self, m_membership, m_profiles)
    {
    }

    EffectList start(Instant now)
    {
        return inTurn(now, [&](Turn& turn) {
            m_membership.start(turn);
            m_configuration.start(turn);
        });
    }

    EffectList handle(Instant now, const Input& input)
    {
        return inTurn(now, [&](Turn& turn) {
            std::visit([&](const auto& typed) {
                if constexpr (requires { handleInput(turn, typed); })
                    handleInput(turn, typed);
            },
                input);
        });
    }

    // Disseminates a backend record of this process's own.
    EffectList announce(Instant now, const BackendRecord& record, Urgency urgency)
    {
        return inTurn(now, [&](Turn& turn) {
            m_versions[record.id] = record.version;
            turn.spread(record, urgency);
        });
    }

    std::optional<Instant> nextTimer() const { return earliest(m_membership.nextTimer(), m_configuration.nextTimer()); }
    const Membership& membership() const { return m_membership; }
    const ProfileConfiguration& configuration() const { return m_configuration; }
    const ProfileRegistry& profiles() const { return m_profiles; }

    // Applies a revision as if it had been received in a rumor.
    EffectList applyRevision(Instant now, const ProfileRevision& revision)
    {
        return inTurn(now, [&](Turn& turn) { m_configuration.apply(turn, revision); });
    }

    uint64_t versionOf(const BackendId& backend) const
    {
        auto version = m_versions.find(backend);
        return version == m_versions.end() ? 0 : version->second;
    }
    size_t backendCount() const { return m_versions.size(); }

private:
    template <typename Action>
    EffectList inTurn(Instant now, const Action& action)
    {
        Turn turn(now, m_random, m_lastTag);
        action(turn);
        m_membership.spread(turn, turn.takeRumors());
        return turn.takeEffects();
    }

    void handleInput(Turn& turn, const TimerFired&)
    {
        m_membership.handleTimer(turn);
        m_configuration.handleTimer(turn);
    }

    void handleInput(Turn& turn, const PlatformReplied& replied)
    {
        m_configuration.noteReply(turn, replied.reply);
        m_configuration.handleReply(turn, replied.reply);
        m_membership.addSeeds(turn, m_configuration.takeSeeds());
    }

    void handleInput(Turn& turn, const MessageReceived& received) { applyRumors(turn, m_membership.receive(turn, received.message)); }
    void handleInput(Turn& turn, const SendFailed& failed) { m_membership.sendFailed(turn, failed.to); }
    void handleInput(Turn& turn, const LeaveRequested&) { m_membership.leave(turn); }

    void applyRumors(Turn& turn, const std::vector<Rumor>& rumors)
    {
        for (const auto& rumor : rumors) {
            if (const auto* revision = std::get_if<ProfileRevision>(&rumor))
                m_configuration.apply(turn, *revision);
            const auto* record = std::get_if<BackendRecord>(&rumor);
            if (!record || record->version <= versionOf(record->id))
                continue;
            m_versions[record->id] = record->version;
            turn.spread(*record, record->phase == BackendPhase::Draining ? Urgency::Immediate : Urgency::Piggyback);
        }
    }

    std::mt19937_64 m_random;
    PlatformTag m_lastTag;
    Membership m_membership;
    ProfileRegistry m_profiles;
    ProfileConfiguration m_configuration;
    std::unordered_map<BackendId, uint64_t> m_versions;
};

// Assigns the processes of a simulated fleet to zones and regions.
struct FleetLayout {
    size_t zones { 3 };
    size_t regions { 1 };

    MemberRecord record(size_t index, uint64_t incarnation) const
    {
        auto zone = index % zones;
        MemberRecord record;
        record.instance = InstanceId("instance-" + std::to_string(index));
        record.incarnation = Incarnation(incarnation);
        record.zone = ZoneName("zone-" + std::to_string(zone));
        record.region = RegionName("region-" + std::to_string(zone % regions));
        record.control = { "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7000 };
        record.callers = { record.control.address, 8000 };
        return record;
    }
};

using MemberFleet = FakeFleet<MemberProcess>;

// The control endpoints of the first processes of the fleet, which are the seeds of every process.
inline std::vector<Endpoint> seedsOf(const FleetLayout& layout, size_t count = 3)
{
    std::vector<Endpoint> seeds;
    for (size_t index = 0; index < count; ++index)
        seeds.push_back(layout.record(index, 0).control);
    return seeds;
}

constexpr uint64_t incarnationsPerStart = 1'000'000;

// Starts or restarts a process. A higher start number gives it a higher incarnation.
inline void startMember(MemberFleet& fleet, const FleetLayout& layout, size_t index, uint64_t startNumber, std::optional<std::vector<Endpoint>> seeds = {})
{
    auto record = layout.record(index, startNumber * incarnationsPerStart);
    fleet.start(record, std::make_unique<MemberProcess>(record, seeds.value_or(seedsOf(layout)), fleet.random()()));
}

inline void startMembers(MemberFleet& fleet, const FleetLayout& layout, size_t count)
{
    for (size_t index = 0; index < count; ++index)
        startMember(fleet, layout, index, 1);
}

}
