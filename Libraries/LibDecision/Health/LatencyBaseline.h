#pragma once

#include <LibModel/Time.h>

#include <array>
#include <cstddef>

namespace Decision {

using namespace Model;

// The recent distribution of a service's latencies: a histogram with logarithmic buckets in which old samples lose
// weight. Gives the surprisal of a latency without assuming the form of the distribution.
class LatencyBaseline {
public:
    void add(Duration latency, Instant now);

    // Reduces the weight of earlier samples, so that the distribution follows new ones quickly.
    void relearn(Instant now);

    // False while there are too few samples to judge a latency.
    bool isReady() const;
    // The surprisal, in nats, of a latency of at least this length: -ln of the share of samples that are as long or
    // longer. For a healthy backend server it is at most 1 on average. Beyond the longest samples the share is
    // extrapolated with a tail that falls with the latency to the power of 1.5.
    double surprisal(Duration latency) const;
    // A latency that the given share of samples exceeds, rounded up to a bucket's bound.
    Duration upperQuantile(double share) const;
    double sampleCount() const { return m_total; }

private:
    static constexpr size_t bucketCount = 152;

    static double positionOf(Duration);
    void discount(float share, Instant now);

    std::array<float, bucketCount> m_buckets {};
    double m_total { 0 };
    Instant m_discountedAt;
};

}
