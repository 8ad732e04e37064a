#pragma once

#include <LibDecision/Effect.h>

#include <variant>
#include <vector>

namespace Decision {

// Returns the effects of one type, in their order in the list.
template <typename T>
std::vector<T> effectsOf(const EffectList& effects)
{
    std::vector<T> found;
    for (const auto& effect : effects) {
        if (const auto* match = std::get_if<T>(&effect))
            found.push_back(*match);
    }
    return found;
}

}
