#pragma once

#include <LibDecision/Health/PathEvidence.h>
#include <LibDecision/Health/RunEvidence.h>

#include <algorithm>
#include <optional>

namespace Decision {

// The recent latencies and failure shares of a service's requests, as one process observed them.
struct ServiceBaselines {
    // Service times of other processes' backend servers, as their sidecars measured them.
    LatencyBaseline peerServiceTimes;
    FailureBaseline peerFailures;
    // The same for this process's own backend servers; used while there are too few samples of the others.
    LatencyBaseline ownServiceTimes;
    FailureBaseline ownFailures;
    // Times from sending a request to a sidecar until its end, measured by this process as the ingress.
    LatencyBaseline attemptTimes;
    // Until this time the service as a whole counts as disturbed, and no backend server is ejected on its sidecar's
    // evidence.
    Instant disturbedUntil;
    std::optional<Instant> lastRelearntAt;

    bool isDisturbed(Instant now) const { return now < disturbedUntil; }

    // Records that the service as a whole behaves differently, and lets the baselines adapt to it.
    void noteDisturbance(Instant now)
    {
        constexpr Duration disturbanceDuration = std::chrono::seconds(5);
        constexpr Duration relearnInterval = std::chrono::seconds(2);
        disturbedUntil = now + disturbanceDuration;
        if (lastRelearntAt && now - *lastRelearntAt < relearnInterval)
            return;
        lastRelearntAt = now;
        peerServiceTimes.relearn(now);
        ownServiceTimes.relearn(now);
        peerFailures.relearn();
        ownFailures.relearn();
    }

    RunCriteria runCriteria(const Sensitivity& sensitivity) const
    {
        if (peerServiceTimes.isReady())
            return { peerServiceTimes, peerFailures, sensitivity };
        return { ownServiceTimes, ownFailures, sensitivity };
    }

    PathCriteria pathCriteria(const Sensitivity& sensitivity) const
    {
        constexpr Duration minimumSilence = std::chrono::milliseconds(400);
        constexpr double lateShare = 0.001;
        auto silentAfter = attemptTimes.isReady() ? std::max(minimumSilence, attemptTimes.upperQuantile(lateShare)) : Duration(std::chrono::seconds(1));
        return { silentAfter, sensitivity.pathThreshold };
    }
};

}
