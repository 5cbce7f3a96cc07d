#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/model/Target.h"
#include "sched/TargetOutlierDetector.h"

namespace briarhitch {

/** An exponentially weighted moving average with a fallback value until the first sample. */
class MovingAverage {
public:
    explicit MovingAverage(double gain)
        : gain_(gain)
    {
    }

    void addSample(double sample)
    {
        value_ = samples_ == 0 ? sample : value_ + gain_ * (sample - value_);
        ++samples_;
    }
    [[nodiscard]] double valueOr(double fallback) const { return samples_ == 0 ? fallback : value_; }

private:
    double gain_;
    double value_ { 0 };
    int samples_ { 0 };
};

/** The slot policy's state of a target: occupied slots, running work and learned speed. */
struct SlotTarget {
    Target target;
    bool isListed { false };
    uint32_t running { 0 };
    /** Running requests whose first token has not arrived, and the tokens of their prompts. */
    uint32_t prefilling { 0 };
    double prefillTokens { 0 };
    /** Prompt and expected output tokens of all running requests. */
    double memoryTokens { 0 };
    /** Milliseconds per output token, or per request of a plain service. */
    MovingAverage serviceTimeMs { 0.1 };
    /** Milliseconds per prompt token. */
    MovingAverage prefillTokenMs { 0.2 };
    TargetOutlierDetector outlierDetector;

    [[nodiscard]] uint32_t slots() const { return target.slots > 0 ? target.slots : 1; }
    [[nodiscard]] bool isActive() const { return isListed && target.state == TargetState::Active; }
    /** Requests beyond its slots that the target may get; they wait there for less than the way of a grant takes. */
    uint32_t extraRequests { 0 };

    [[nodiscard]] bool hasFreeSlot(Instant now) const { return isActive() && running < slots() + extraRequests && outlierDetector.allowsRequest(running, now); }
};

}
