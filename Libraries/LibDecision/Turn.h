#pragma once

#include <LibDecision/Effect.h>
#include <LibDecision/Message.h>
#include <LibModel/Time.h>

#include <random>
#include <utility>
#include <vector>

namespace Decision {

// How quickly a rumor has to reach the fleet.
enum class Urgency {
    // Piggybacked on the next probes.
    Piggyback,
    // Sent immediately to several members and also piggybacked on probes. In a small fleet, the originator sends it to
    // all members.
    Immediate,
    // Sent immediately to several members by every process that receives it, so that it doesn't depend on any single
    // network path.
    Epidemic,
};

struct SpreadRumor {
    Rumor rumor;
    Urgency urgency { Urgency::Piggyback };
};

// The context of one step of the core: the current instant, the random engine, and the collected effects and rumors.
// Components receive it as an argument and must not keep a reference to it.
class Turn {
public:
    Turn(Instant now, std::mt19937_64& random, PlatformTag& lastPlatformTag)
        : m_now(now)
        , m_random(random)
        , m_lastPlatformTag(lastPlatformTag)
    {
    }

    Instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    void emit(Effect effect) { m_effects.push_back(std::move(effect)); }
    void recordDecision(DecisionEvent event) { emit(RecordDecision { std::move(event) }); }

    // Queues a rumor for dissemination at the end of the turn, whether it originates here or was received from a
    // member.
    void spread(Rumor rumor, Urgency urgency = Urgency::Piggyback) { m_rumors.push_back({ std::move(rumor), urgency }); }

    // Emits a platform operation and returns the tag that its reply will carry.
    PlatformTag callPlatform(PlatformOperation operation)
    {
        m_lastPlatformTag = m_lastPlatformTag.next();
        emit(CallPlatform { m_lastPlatformTag, std::move(operation) });
        return m_lastPlatformTag;
    }

    std::vector<SpreadRumor> takeRumors() { return std::exchange(m_rumors, {}); }
    EffectList takeEffects() { return std::exchange(m_effects, {}); }
    const EffectList& effects() const { return m_effects; }

private:
    Instant m_now;
    std::mt19937_64& m_random;
    PlatformTag& m_lastPlatformTag;
    EffectList m_effects;
    std::vector<SpreadRumor> m_rumors;
};

}
