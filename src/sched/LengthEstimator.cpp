#include "sched/LengthEstimator.h"

#include <algorithm>

namespace briarhitch {

namespace {

    constexpr double defaultOutputTokens = 200;
    // Weight, in samples, of the next more general mean.
    constexpr double priorSamples = 4;
    // Limits the weight of old samples, so that a mean adapts when a customer's work changes.
    constexpr double maxSamples = 64;
    constexpr size_t maxPairs = 100000;

}

void LengthEstimator::Mean::add(double sample)
{
    samples = std::min(samples + 1, maxSamples);
    value += (sample - value) / samples;
}

void LengthEstimator::addSample(CustomerId customer, WorkKindId kind, Tokens output)
{
    const auto sample = static_cast<double>(output.value());
    byKind_[kind].add(sample);
    if (byCustomer_.size() < maxPairs || byCustomer_.contains({ customer, kind }))
        byCustomer_[{ customer, kind }].add(sample);
}

double LengthEstimator::kindMean(WorkKindId kind) const
{
    auto mean = byKind_.find(kind);
    if (mean == byKind_.end())
        return defaultOutputTokens;
    const auto& [value, samples] = mean->second;
    return (value * samples + defaultOutputTokens * priorSamples) / (samples + priorSamples);
}

Tokens LengthEstimator::estimate(CustomerId customer, WorkKindId kind, Tokens limit) const
{
    double expected = kindMean(kind);
    auto mean = byCustomer_.find({ customer, kind });
    if (mean != byCustomer_.end()) {
        const auto& [value, samples] = mean->second;
        expected = (value * samples + expected * priorSamples) / (samples + priorSamples);
    }
    auto tokens = std::max<int64_t>(1, static_cast<int64_t>(expected));
    if (limit.value() > 0)
        tokens = std::min(tokens, limit.value());
    return Tokens(tokens);
}

}
