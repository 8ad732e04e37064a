#pragma once

#include <LibModel/Profile.h>
#include <LibModel/Time.h>

#include <cmath>

namespace Decision {

using namespace Model;

// The settings of the sequential tests, chosen by the health priority in the profile. Evidence is a log-likelihood
// ratio in nats: the natural logarithm of how much likelier the observations are if the backend server is faulty.
struct Sensitivity {
    // Evidence at which a backend server is ejected. A healthy one reaches it about once in exp(threshold) requests.
    double threshold { 0 };
    // The same for the path from one ingress. It can be lower, because such an ejection affects that ingress alone.
    double pathThreshold { 0 };
    // How long the evidence must stay above the threshold before the ejection, so that reports of other backend servers
    // with the same fault can arrive.
    Duration confirmationDelay { 0 };
    // Subtracted from the surprisal of each request's latency, in nats. The surprisal is 1 nat on average if the
    // backend server is healthy.
    double latencyAllowance { 0 };
    // Failure share below which a backend server counts as healthy, independent of the service's baseline.
    double toleratedFailureShare { 0 };
    // Failure share that the test for a moderate failure share is designed to detect.
    double designFailureShare { 0 };
};

// The share of evidence that remains after this time: exponential decay.
inline double remainingEvidence(Duration age)
{
    constexpr std::chrono::duration<double> halfLife = 40s;
    return std::exp2(-std::chrono::duration<double>(age) / halfLife);
}

inline Sensitivity sensitivityOf(HealthPriority priority)
{
    if (priority == HealthPriority::DetectionTime)
        return { .threshold = 18, .pathThreshold = 10, .confirmationDelay = 150ms, .latencyAllowance = 2.0, .toleratedFailureShare = 0.005, .designFailureShare = 0.05 };
    return { .threshold = 30, .pathThreshold = 15, .confirmationDelay = 300ms, .latencyAllowance = 2.5, .toleratedFailureShare = 0.01, .designFailureShare = 0.10 };
}

}
