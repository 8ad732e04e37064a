#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// Time after a failed request until the next one may find out whether a probable fault is over. Backend servers that
// recovered must get requests again within two seconds.
constexpr Duration faultTrialInterval = std::chrono::seconds(1);

// What the end of one request shows about its backend server.
enum class FaultEvidence {
    Succeeded,
    // A server error, or no answer within the latency objective. Healthy backend servers fail some requests, too.
    Failed,
    // The connection ended before the answer was complete. Healthy backend servers hardly ever do this.
    Cut,
};

// Estimates the probability that a backend server is faulty at the moment. It filters a hidden Markov model with the
// two states healthy and faulty, whose observations are the ends of requests. A backend server can become
// faulty at any time and then fails part of its requests for some seconds. Observations therefore lose their weight
// within seconds, and a single failure among many successes doesn't make a fault probable.
class FaultFilter {
public:
    // Adds the end of one request.
    void observe(FaultEvidence, Instant now);
    // Returns true if a request may find out whether a probable fault is over: at once after a success, and after an
    // interval otherwise.
    bool isTrialDue(Instant now) const { return !m_hasFailedLast || now - m_observedAt >= faultTrialInterval; }
    // From 0 (certainly healthy) to 1 (certainly faulty).
    double probability(Instant now) const { return decayed(m_probability, now - m_observedAt); }

    // The probability after a time without observations. It tends to the share of time that a backend server is faulty.
    static double decayed(double probability, Duration age);

private:
    double m_probability { 0 };
    Instant m_observedAt;
    bool m_hasFailedLast { false };
};

}
