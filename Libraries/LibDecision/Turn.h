#pragma once

#include <LibDecision/Effect.h>
#include <LibDecision/Message.h>
#include <LibModel/Time.h>

#include <random>
#include <utility>
#include <vector>

namespace Decision {

// How quickly the fleet has to hear some news.
enum class Urgency {
    // Rides on the next probes.
    Piggyback,
    // Goes to several members at once, and rides on probes as well. In a small fleet, who has it first tells all.
    Immediate,
    // Goes to several members at once by everybody who hears it, so that it doesn't depend on any one path.
    Epidemic,
};

struct SpreadRumor {
    Rumor rumor;
    Urgency urgency { Urgency::Piggyback };
};

// One step of the core: the instant at which it happens, the random engine, and where results are collected.
// Every part gets the turn handed in and keeps no reference to it.
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
    void explain(DecisionEvent event) { emit(Explain { std::move(event) }); }

    // Hands news to the dissemination once the turn ends. News that came from a rumor is passed on in the same way.
    void spread(Rumor rumor, Urgency urgency = Urgency::Piggyback) { m_rumors.push_back({ std::move(rumor), urgency }); }

    // Emits a platform operation; its reply carries the tag that this returns.
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
