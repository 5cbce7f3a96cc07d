#include "sched/LengthEstimator.h"

#include <algorithm>

namespace briarhitch {

namespace {

    constexpr double defaultOutputTokens = 200;
    // Samples that the next wider mean counts for while there are few of one's own.
    constexpr double priorSamples = 4;
    // Bounds the memory of a mean, so that it follows changes of a customer's work.
    constexpr double mostSamples = 64;
    constexpr size_t mostPairs = 100000;

}

void LengthEstimator::Mean::add(double sample)
{
    samples = std::min(samples + 1, mostSamples);
    value += (sample - value) / samples;
}

void LengthEstimator::learn(CustomerId customer, WorkKindId kind, Tokens output)
{
    const auto sample = static_cast<double>(output.value());
    byKind_[kind].add(sample);
    if (byCustomer_.size() < mostPairs || byCustomer_.contains({ customer, kind }))
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
