#include "sched/PredictionMargin.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    /** Fraction of the predictions that the margin covers. */
    constexpr double coveredFraction = 0.8;
    /** Step of the estimate relative to its usual distance from the samples, so that it follows a change within some tens of answers. */
    constexpr double relativeStep = 0.1;
    constexpr double deviationGain = 0.05;
    constexpr int minSamples = 10;
    // Enough for every kind of work of a service; kinds are routes, which a configuration may add and remove.
    constexpr size_t maxKinds = 4096;

}

void PredictionMargin::addSample(WorkKindId kind, double predictedMs, double actualMs)
{
    if (estimates_.size() >= maxKinds && !estimates_.contains(kind))
        return;
    auto& estimate = estimates_[kind];
    double error = actualMs - predictedMs;
    double distance = std::abs(error - estimate.marginMs);
    estimate.deviationMs = estimate.samples == 0 ? distance : estimate.deviationMs + deviationGain * (distance - estimate.deviationMs);
    ++estimate.samples;
    double step = relativeStep * estimate.deviationMs;
    estimate.marginMs += step * (error > estimate.marginMs ? coveredFraction : coveredFraction - 1);
    estimate.marginMs = std::max(0.0, estimate.marginMs);
}

double PredictionMargin::marginMs(WorkKindId kind) const
{
    auto it = estimates_.find(kind);
    return it == estimates_.end() || it->second.samples < minSamples ? 0 : it->second.marginMs;
}

}
