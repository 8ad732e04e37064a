#include <LibDecision/Health/LatencyBaseline.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Decision {

namespace {

    constexpr double bucketsPerOctave = 8;
    constexpr double firstBucketMicroseconds = 100;
    constexpr double minimumSamples = 64;
    // The weight of all samples is halved when it reaches the maximum, and after each period if it is at least the
    // amount to keep.
    constexpr double maximumSamples = 12'000;
    constexpr double minimumSamplesToHalve = 1000;
    constexpr Duration halvingPeriod = 3min;
    constexpr double tailExponent = 1.5;
    constexpr double maximumSurprisal = 12;

}

double LatencyBaseline::positionOf(Duration latency)
{
    auto ratio = std::max(1.0, static_cast<double>(latency.count()) / firstBucketMicroseconds);
    return std::min(std::log2(ratio) * bucketsPerOctave, static_cast<double>(bucketCount) - 1e-6);
}

void LatencyBaseline::add(Duration latency, Instant now)
{
    bool isOld = now - m_discountedAt >= halvingPeriod && m_total >= minimumSamplesToHalve;
    if (isOld || m_total >= maximumSamples)
        discount(0.5F, now);
    m_buckets[static_cast<size_t>(positionOf(latency))] += 1;
    m_total += 1;
}

void LatencyBaseline::relearn(Instant now)
{
    if (m_total > minimumSamples)
        discount(static_cast<float>(minimumSamples / m_total), now);
}

void LatencyBaseline::discount(float share, Instant now)
{
    std::ranges::for_each(m_buckets, [share](float& weight) { weight *= share; });
    m_total *= share;
    m_discountedAt = now;
}

bool LatencyBaseline::isReady() const
{
    return m_total >= minimumSamples;
}

double LatencyBaseline::surprisal(Duration latency) const
{
    auto position = positionOf(latency);
    auto bucket = static_cast<size_t>(position);
    // All samples in the latency's own bucket count as at least as long. Otherwise a service whose latencies are all
    // equal would give a high surprisal.
    auto atLeastAsLong = std::accumulate(m_buckets.begin() + bucket, m_buckets.end(), 0.0);
    auto share = (atLeastAsLong + 0.5) / (m_total + 0.5);

    auto longestBucket = std::ranges::find_if(m_buckets.rbegin(), m_buckets.rend(), [](float weight) { return weight >= 0.5F; });
    auto longestPosition = static_cast<double>(m_buckets.rend() - longestBucket);
    auto beyond = std::max(0.0, position - longestPosition) / bucketsPerOctave * std::log(2.0);
    return std::min(-std::log(share) + tailExponent * beyond, maximumSurprisal);
}

Duration LatencyBaseline::upperQuantile(double share) const
{
    auto remaining = share * m_total;
    auto bucket = bucketCount;
    while (bucket > 0 && remaining >= 0)
        remaining -= m_buckets[--bucket];
    return Duration(static_cast<Duration::rep>(firstBucketMicroseconds * std::exp2(static_cast<double>(bucket + 1) / bucketsPerOctave)));
}

}
