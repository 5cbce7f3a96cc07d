#pragma once

#include "briarhitch/core/Clock.h"
#include "rollout/RolloutTally.h"

#include <deque>
#include <string>

namespace briarhitch {

enum class RolloutVerdict : uint8_t {
    Undecided,
    Good,
    Bad,
};

struct RolloutJudgement {
    RolloutVerdict verdict { RolloutVerdict::Undecided };
    /** The counts that decided. */
    std::string reason;
};

/**
 * Compares the answers of a rollout's target version with those of the other versions, by route and over several
 * periods, so that faults that begin late or affect one route are found. See docs/design/rollout.md for the statistics.
 */
class RolloutJudge {
public:
    /** Adds the present totals; they must not decrease. */
    void add(Instant now, const RolloutTotals& totals);
    [[nodiscard]] RolloutJudgement judge() const;
    /** Requests granted in a second on both sides together, over the last 2 s. */
    [[nodiscard]] double grantRate() const;
    /** The same over the last 2 s or the last half second, whichever is more, so that a burst shows at once. */
    [[nodiscard]] double peakGrantRate() const;
    [[nodiscard]] const RolloutTotals& totals() const { return last_.totals; }

private:
    struct Sample {
        Instant at {};
        RolloutTotals totals;
        /** Samples in which the target version had a further bad answer. */
        uint64_t badSamples { 0 };
    };
    struct Period {
        RolloutTotals counts;
        uint64_t badSamples { 0 };
    };

    void learnDeviation(const RolloutTotals& before, const RolloutTotals& after);
    [[nodiscard]] const Sample& sampleBefore(Instant at) const;
    [[nodiscard]] Period periodSince(const Sample& begin) const;
    [[nodiscard]] double deviation() const;
    [[nodiscard]] double grantRateOver(Duration period) const;
    [[nodiscard]] RolloutJudgement judgeFailures(const Period& period) const;
    [[nodiscard]] RolloutJudgement judgeLatency(const Period& period) const;
    /** Undecided until there are enough answers on each route in use. */
    [[nodiscard]] RolloutJudgement judgeCoverage() const;

    Sample last_;
    std::deque<Sample> history_;
    /** Squared deviations of the other versions' mean log latency between samples, and their number. */
    double deviationSum_ { 0 };
    uint64_t deviationCount_ { 0 };
};

}
