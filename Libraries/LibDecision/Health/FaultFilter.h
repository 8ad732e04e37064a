#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// Estimates the probability that a backend server is faulty at the moment. It filters a hidden Markov model with the
// two states healthy and faulty, whose observations are requests that succeeded or failed. A backend server can become
// faulty at any time and then fails part of its requests for some seconds. Observations therefore lose their weight
// within seconds, and a single failure among many successes doesn't make a fault probable.
class FaultFilter {
public:
    // Adds the outcome of one request.
    void observe(bool hasFailed, Instant now);
    // From 0 (certainly healthy) to 1 (certainly faulty).
    double probability(Instant now) const { return decayed(m_probability, now - m_observedAt); }

    // The probability after a time without observations. It tends to the share of time that a backend server is faulty.
    static double decayed(double probability, Duration age);

private:
    double m_probability { 0 };
    Instant m_observedAt;
};

}
