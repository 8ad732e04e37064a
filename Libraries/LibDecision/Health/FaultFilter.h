#pragma once

#include <LibModel/Time.h>

namespace Decision {

using namespace Model;

// How probable it is that a backend server is sick right now: a hidden Markov model with two states, healthy and sick,
// whose observations are requests that ended well or badly. A backend server turns sick at any time and fails part of
// its requests for some seconds, so what was seen loses its weight within seconds, and one failure among many good
// answers condemns nobody.
class FaultFilter {
public:
    // One request ended, well or badly.
    void observe(bool hasFailed, Instant now);
    // 0 is certainly healthy, 1 certainly sick.
    double probability(Instant now) const { return decayed(m_probability, now - m_observedAt); }

    // What a probability is worth after a time without observations: it tends to the share of time that a backend
    // server spends sick.
    static double decayed(double probability, Duration age);

private:
    double m_probability { 0 };
    Instant m_observedAt;
};

}
