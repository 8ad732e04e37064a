#pragma once

#include <LibDecision/PlatformOperation.h>

#include <concepts>
#include <functional>

namespace Platform {

using namespace Decision;

using PlatformCallback = std::function<void(PlatformReply)>;

// A client of the platform's key-value service. execute() calls back exactly once, with the same tag, and
// never from within itself. An operation that may have taken effect is never repeated.
template <typename Store>
concept PlatformStore = requires(Store& store, PlatformTag tag, const PlatformOperation& operation, PlatformCallback callback)
{
    {
        store.execute(tag, operation, callback)
        } -> std::same_as<void>;
};

}
