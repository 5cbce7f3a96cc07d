#include "sched/FirstTokenModel.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** The fit forgets older samples with a half-life of some hundreds, a few seconds of a loaded pool. */
    constexpr double decay = 0.997;
    constexpr int minSamples = 40;
    /** Standard deviation of the prompt lengths, in tokens, below which the two parts cannot be told apart. */
    constexpr double minDeviation = 300;
    constexpr double factorGain = 0.15;
    constexpr double minFactor = 0.05;
    constexpr double maxFactor = 20;

}

void FirstTokenModel::addSample(TargetId target, double promptTokens, double firstTokenMs)
{
    auto& factor = factors_[target];
    double known = factorOf(target);
    double x = promptTokens;
    double y = firstTokenMs / known;
    weight_ = weight_ * decay + 1;
    sumX_ = sumX_ * decay + x;
    sumY_ = sumY_ * decay + y;
    sumXX_ = sumXX_ * decay + x * x;
    sumXY_ = sumXY_ * decay + x * y;
    ++samples_;
    fit();
    double expected = fixedMs_ + slopeMs_ * x;
    if (!isLearned() || expected <= 0)
        return;
    double observed = std::clamp(firstTokenMs / expected, minFactor, maxFactor);
    factor.value = factor.samples == 0 ? observed : factor.value + factorGain * (observed - factor.value);
    ++factor.samples;
}

void FirstTokenModel::fit()
{
    double meanX = sumX_ / weight_;
    double meanY = sumY_ / weight_;
    double varianceX = sumXX_ / weight_ - meanX * meanX;
    if (varianceX < minDeviation * minDeviation)
        return;
    slopeMs_ = std::max(0.0, (sumXY_ / weight_ - meanX * meanY) / varianceX);
    fixedMs_ = std::max(0.0, meanY - slopeMs_ * meanX);
}

bool FirstTokenModel::isLearned() const
{
    return samples_ >= minSamples && fixedMs_ + slopeMs_ > 0;
}

double FirstTokenModel::factorOf(TargetId target) const
{
    auto it = factors_.find(target);
    return it == factors_.end() || it->second.samples == 0 ? 1 : it->second.value;
}

double FirstTokenModel::firstTokenMs(TargetId target, double tokens) const
{
    return factorOf(target) * (fixedMs_ + slopeMs_ * tokens);
}

double FirstTokenModel::tokenMs(TargetId target) const
{
    return factorOf(target) * slopeMs_;
}

}
