#include "sched/PlacementModel.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    // Typical values of engines and plain services, used until samples exist.
    constexpr double initialTokenMs = 4;
    constexpr double initialPrefillTokenMs = 0.016;
    constexpr double initialServiceMs = 30;
    // An engine prefills prompts in chunks of this size, one chunk in each step of its running batch.
    constexpr double prefillChunkTokens = 1024;
    // Decoding is slowed by prefill chunks of other requests.
    constexpr double sharedDecodeFactor = 1.25;
    // A response that misses its objective has about a third of its value.
    constexpr double objectiveMissLoss = 0.7;
    constexpr double deadlineMissLoss = 1.0;
    constexpr double acceptedDeadlineRisk = 0.3;
    // Callers' estimates of the output length are right at the median; this is about the standard deviation of their log error.
    constexpr double logLengthDeviation = 0.6;

    double toMsExact(Duration duration) { return toSeconds(duration) * 1000; }

    /** Probability that the output is longer than the limit, for a log-normal length with the expected median. */
    double exceedanceProbability(double limit, double expected)
    {
        if (limit <= 0)
            return 1;
        if (expected <= 0)
            return 0;
        return 0.5 * std::erfc(std::log(limit / expected) / (logLengthDeviation * std::sqrt(2.0)));
    }

}

double Placement::avoidableLoss() const
{
    return expectedLoss - (deadlineRisk < acceptedDeadlineRisk ? deadlineRisk : 0);
}

PlacementModel::PlacementModel(const PoolSettings& settings)
    : kind_(settings.kind)
    , learnsMargins_(settings.enabledFeatures.contains("prediction_margin"))
    , modelsFirstToken_(settings.enabledFeatures.contains("first_token_model") && settings.kind == PoolKind::Model)
{
}

double PlacementModel::serviceTimeMs(const SlotTarget& target) const
{
    return target.serviceTimeMs.valueOr(meanServiceTimeMs());
}

double PlacementModel::meanServiceTimeMs() const
{
    return poolServiceTimeMs_.valueOr(isModel() ? initialTokenMs : initialServiceMs);
}

double PlacementModel::prefillTokenMs(const SlotTarget& target) const
{
    // Prefill speed is assumed to be proportional to decoding speed.
    double typicalMs = poolPrefillTokenMs_.valueOr(initialPrefillTokenMs) * serviceTimeMs(target) / poolServiceTimeMs_.valueOr(initialTokenMs);
    return target.prefillTokenMs.valueOr(typicalMs);
}

double PlacementModel::prefillMs(const SlotTarget& target, double tokens) const
{
    if (usesFirstTokenModel())
        return firstTokens_.firstTokenMs(target.target.id, tokens);
    return tokens * prefillTokenMs(target);
}

Placement PlacementModel::evaluate(const Work& work, const SlotTarget& target, Instant now) const
{
    const auto& request = work.request;
    Placement placement;
    double serviceMs = serviceTimeMs(target);
    double objective = toMsExact(request.objective - now);
    double deadlineLeftMs = toMsExact(request.deadline - now);
    if (!isModel()) {
        placement.firstTokenMs = placement.durationMs = dispatchOverheadMs + serviceMs;
        placement.expectedLoss = placement.durationMs + marginMs(request) > objective ? objectiveMissLoss : 0;
        return placement;
    }
    double prompt = static_cast<double>(request.promptTokens.value());
    double prefill = usesFirstTokenModel() ? firstTokens_.tokenMs(target.target.id) : prefillTokenMs(target);
    placement.firstTokenMs = dispatchOverheadMs + serviceMs + prefillMs(target, target.prefillTokens + prompt);
    placement.durationMs = placement.firstTokenMs + work.expectedOutput * serviceMs * sharedDecodeFactor;
    double eventGapMs = toMsExact(request.eventGapObjective);
    double stepMs = serviceMs + prefillChunkTokens * prefill;
    double eventTokens = std::max(1U, target.target.tokensPerEvent);
    bool isTooSlow = eventGapMs > 0 && eventTokens * serviceMs > usableGapFraction * eventGapMs;
    if (placement.firstTokenMs + marginMs(request) > objective || isTooSlow)
        placement.expectedLoss += objectiveMissLoss;
    double responseLeftMs = std::max(deadlineLeftMs, toMsExact(request.responseDeadline - now));
    placement.deadlineRisk = deadlineMissLoss * exceedanceProbability((responseLeftMs - placement.firstTokenMs) / (serviceMs * sharedDecodeFactor), work.expectedOutput);
    placement.expectedLoss += placement.deadlineRisk;
    // During prefill, each decoding step of the other requests takes one chunk longer.
    double chunks = std::min(eventTokens, std::ceil(prompt / prefillChunkTokens));
    double gapMs = chunks * stepMs + (eventTokens - chunks) * serviceMs;
    bool delaysOthers = eventGapMs > 0 && gapMs > usableGapFraction * eventGapMs;
    uint32_t decoding = target.running - target.prefilling;
    if (delaysOthers && decoding > 0)
        placement.expectedLoss += objectiveMissLoss * decoding / 2.0;
    return placement;
}

double PlacementModel::costMs(const Work& work) const
{
    double serviceMs = meanServiceTimeMs();
    if (!isModel())
        return serviceMs;
    double prefill = poolPrefillTokenMs_.valueOr(initialPrefillTokenMs);
    return dispatchOverheadMs + work.expectedOutput * serviceMs * sharedDecodeFactor + static_cast<double>(work.request.promptTokens.value()) * prefill;
}

double PlacementModel::bestFirstTokenMs(const PoolRequest& request) const
{
    if (!isModel())
        return dispatchOverheadMs + fastestServiceTimeMs_;
    double prompt = static_cast<double>(request.promptTokens.value());
    return dispatchOverheadMs + fastestServiceTimeMs_ + (usesFirstTokenModel() ? firstTokens_.firstTokenMs(fastestTarget_, prompt) : prompt * fastestPrefillTokenMs_);
}

double PlacementModel::meanFirstAnswerMs(const PoolRequest& request) const
{
    double prompt = isModel() ? static_cast<double>(request.promptTokens.value()) : 0;
    return dispatchOverheadMs + meanServiceTimeMs() + prompt * poolPrefillTokenMs_.valueOr(initialPrefillTokenMs);
}

void PlacementModel::learnServiceTime(SlotTarget& target, double sampleMs)
{
    target.serviceTimeMs.addSample(sampleMs);
    poolServiceTimeMs_.addSample(sampleMs);
}

void PlacementModel::learnFirstToken(SlotTarget& target, double promptTokens, double firstTokenMs)
{
    firstTokens_.addSample(target.target.id, promptTokens, firstTokenMs);
    double sample = firstTokenMs / promptTokens;
    target.prefillTokenMs.addSample(sample);
    poolPrefillTokenMs_.addSample(sample);
}

void PlacementModel::learnMargin(const PoolRequest& request, double predictedMs, double actualMs)
{
    if (learnsMargins_ && predictedMs > 0)
        margins_.addSample(request.kind, predictedMs, actualMs);
}

void PlacementModel::resetFastest()
{
    fastestServiceTimeMs_ = 0;
    fastestPrefillTokenMs_ = 0;
}

void PlacementModel::considerFastest(const SlotTarget& target)
{
    double serviceMs = serviceTimeMs(target);
    if (fastestServiceTimeMs_ > 0 && serviceMs >= fastestServiceTimeMs_)
        return;
    fastestServiceTimeMs_ = serviceMs;
    fastestPrefillTokenMs_ = prefillTokenMs(target);
    fastestTarget_ = target.target.id;
}

}
