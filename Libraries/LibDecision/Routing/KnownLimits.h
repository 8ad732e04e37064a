#pragma once

#include <LibDecision/Attempt.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <optional>
#include <unordered_map>

namespace Decision {

// The limits on requests that backend servers named, as sidecars told this process. Each request that is sent to a sidecar
// carries the limit, so that a sidecar process that has just started keeps a limit that only its predecessor had heard.
// They are kept apart from the load of backend servers, which is dropped when a sidecar ends.
class KnownLimits {
public:
    // A limit is kept for this time after it was last told, whether its backend server is known or not.
    static constexpr Duration retention = 1h;

    void learn(const BackendId&, const BackendCondition&, Instant now);
    std::optional<double> find(const BackendId&, Incarnation) const;

private:
    struct Limit {
        Incarnation incarnation;
        double requestsPerSecond { 0 };
        Instant toldAt;
    };

    std::unordered_map<BackendId, Limit> m_limits;
};

}
