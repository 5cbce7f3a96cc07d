#include "sched/LatencyModel.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    // Decay per sample: an effective memory of about 100 samples.
    constexpr double sampleDecay = 0.99;
    constexpr double minSamplesForSlope = 10;
    // Samples expire; otherwise a prediction that refuses all work would never be corrected after the targets recovered.
    constexpr Duration sampleLifetime = std::chrono::seconds(5);

}

bool LatencyModel::hasRecentSamples(Instant now) const
{
    return weight_ > 0 && now - lastSample_ <= sampleLifetime;
}

double LatencyModel::deviation(Instant now) const
{
    return hasRecentSamples(now) ? deviation_ / weight_ : 0;
}

void LatencyModel::addSample(double size, Duration latency, Instant now)
{
    const double seconds = toSeconds(latency);
    const double distance = hasRecentSamples(now) ? std::abs(seconds - toSeconds(expected(size, now))) : 0;
    lastSample_ = now;
    deviation_ = deviation_ * sampleDecay + distance;
    weight_ = weight_ * sampleDecay + 1;
    size_ = size_ * sampleDecay + size;
    latency_ = latency_ * sampleDecay + seconds;
    sizeSquared_ = sizeSquared_ * sampleDecay + size * size;
    product_ = product_ * sampleDecay + size * seconds;
}

Duration LatencyModel::expected(double size, Instant now) const
{
    if (!hasRecentSamples(now))
        return Duration(0);
    const double meanSize = size_ / weight_;
    const double meanLatency = latency_ / weight_;
    const double variance = sizeSquared_ / weight_ - meanSize * meanSize;
    const double covariance = product_ / weight_ - meanSize * meanLatency;
    // The slope is undetermined with few samples or samples of a single size.
    const bool hasSlope = weight_ > minSamplesForSlope && variance > 1e-6 * (1 + meanSize * meanSize);
    const double slope = hasSlope ? std::max(0.0, covariance / variance) : 0;
    // Samples of long prompts can make the intercept negative.
    return fromSeconds(std::max(0.1 * meanLatency, meanLatency + slope * (size - meanSize)));
}

}
