#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/model/Target.h"
#include "sched/TargetOutlierDetector.h"

namespace briarhitch {

/** An exponentially weighted mean that says how much it knows. */
class LearnedMean {
public:
    explicit LearnedMean(double gain)
        : gain_(gain)
    {
    }

    void learn(double sample)
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

/** A target as the slot policy sees it: its places, what they hold, and how fast it was. */
struct SlotTarget {
    Target target;
    bool isListed { false };
    uint32_t running { 0 };
    /** Running generations whose first token has not arrived, and the tokens of their prompts. */
    uint32_t prefilling { 0 };
    double prefillTokens { 0 };
    /** Prompt and expected output of all that runs. */
    double memoryTokens { 0 };
    /** For one token of an answer, or the whole work of a plain service; in milliseconds. */
    LearnedMean workMs { 0.1 };
    /** For one token of a prompt, in milliseconds. */
    LearnedMean prefillMs { 0.2 };
    TargetOutlierDetector health;

    [[nodiscard]] uint32_t slots() const { return target.slots > 0 ? target.slots : 1; }
    [[nodiscard]] bool isActive() const { return isListed && target.state == TargetState::Active; }
    [[nodiscard]] bool hasPlace(Instant now) const { return isActive() && running < slots() && health.allows(running, now); }
};

}
