#pragma once

#include "briarhitch/core/Ids.h"

#include <map>

namespace briarhitch {

/**
 * Time of an engine from the start of a request to its first token: a fixed part and a part for each prompt token. Without the
 * fixed part, short prompts make the time of a prompt token look several times as long, and long prompts then wait for
 * slots that they need not wait for. The two parts are learned for the whole pool, and one factor for each target.
 */
class FirstTokenModel {
public:
    /** A prompt that was the only one in prefill; times in milliseconds, without the way to the target. */
    void addSample(TargetId target, double promptTokens, double firstTokenMs);
    /** Whether enough prompts of different lengths have been seen. */
    [[nodiscard]] bool isLearned() const;
    /** Milliseconds until the first token, when this many prompt tokens have to be read before it. */
    [[nodiscard]] double firstTokenMs(TargetId target, double tokens) const;
    /** Milliseconds for one prompt token. */
    [[nodiscard]] double tokenMs(TargetId target) const;
    void forget(TargetId target) { factors_.erase(target); }

private:
    struct Factor {
        double value { 1 };
        int samples { 0 };
    };

    [[nodiscard]] double factorOf(TargetId target) const;
    void fit();

    /** Decaying sums of the weighted least squares over all targets. */
    double weight_ { 0 };
    double sumX_ { 0 };
    double sumY_ { 0 };
    double sumXX_ { 0 };
    double sumXY_ { 0 };
    int samples_ { 0 };
    double fixedMs_ { 0 };
    double slopeMs_ { 0 };
    std::map<TargetId, Factor> factors_;
};

}
