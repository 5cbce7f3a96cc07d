#include "sched/LatencyModel.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    // About the last hundred samples count.
    constexpr double keep = 0.99;
    constexpr double fewSamples = 10;
    // A model that refuses all work would never learn that the targets have recovered.
    constexpr Duration lifetime = std::chrono::seconds(5);

}

bool LatencyModel::hasRecentSamples(Instant now) const
{
    return weight_ > 0 && now - lastSample_ <= lifetime;
}

double LatencyModel::deviation(Instant now) const
{
    return hasRecentSamples(now) ? deviation_ / weight_ : 0;
}

void LatencyModel::learn(double size, Duration latency, Instant now)
{
    const double seconds = toSeconds(latency);
    const double distance = hasRecentSamples(now) ? std::abs(seconds - toSeconds(expected(size, now))) : 0;
    lastSample_ = now;
    deviation_ = deviation_ * keep + distance;
    weight_ = weight_ * keep + 1;
    size_ = size_ * keep + size;
    latency_ = latency_ * keep + seconds;
    sizeSquared_ = sizeSquared_ * keep + size * size;
    product_ = product_ * keep + size * seconds;
}

Duration LatencyModel::expected(double size, Instant now) const
{
    if (!hasRecentSamples(now))
        return Duration(0);
    const double meanSize = size_ / weight_;
    const double meanLatency = latency_ / weight_;
    const double variance = sizeSquared_ / weight_ - meanSize * meanSize;
    const double covariance = product_ / weight_ - meanSize * meanLatency;
    // Few samples, or samples of one size only, determine no slope.
    const bool hasSlope = weight_ > fewSamples && variance > 1e-6 * (1 + meanSize * meanSize);
    const double slope = hasSlope ? std::max(0.0, covariance / variance) : 0;
    // Long prompts in the sample can push the fixed part below zero.
    return fromSeconds(std::max(0.1 * meanLatency, meanLatency + slope * (size - meanSize)));
}

}
