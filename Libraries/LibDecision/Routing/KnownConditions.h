#pragma once

#include <LibDecision/Attempt.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <optional>
#include <unordered_map>

namespace Decision {

// What backend servers said of their own state in their answers, as sidecars told this process. It is kept apart from the
// load of backend servers, which is dropped when a sidecar ends: each request that is sent to a sidecar carries the limit
// on requests, so that a sidecar process that has just started keeps a limit that only its predecessor had heard, and an
// incarnation that leaves gets no requests whatever a later sidecar process announces.
class KnownConditions {
public:
    // A condition is kept for this time after it was last told, whether its backend server is known or not.
    static constexpr Duration retention = 1h;

    void learn(const BackendId&, const BackendCondition&, Instant now);
    std::optional<double> limitOf(const BackendId&, Incarnation) const;
    bool isLeaving(const BackendId&, Incarnation) const;

private:
    struct Condition {
        Incarnation incarnation;
        std::optional<double> requestLimit;
        bool isLeaving { false };
        Instant toldAt;
    };

    const Condition* find(const BackendId&, Incarnation) const;

    std::unordered_map<BackendId, Condition> m_conditions;
};

}
