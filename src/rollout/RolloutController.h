#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/model/Rollout.h"
#include "rollout/RolloutJudge.h"

#include <optional>
#include <string>

namespace briarhitch {

/** What the leader knows of a running rollout. */
struct RolloutSituation {
    RolloutJudgement judgement;
    /** Time from the order by the leader's wall clock. */
    Duration elapsed {};
    uint64_t grantedToTarget { 0 };
    uint64_t grantedToAll { 0 };
    /** Requests granted in a second, to all versions. */
    double grantRate { 0 };
    /** The same at the peak of the last seconds. */
    double peakGrantRate { 0 };
    /** Age of the oldest of the pools' last reports, or the time since the leader learned of the rollout if a pool sent none. */
    Duration reportAge {};
    bool hasLeases { false };
    uint32_t activeTargets { 0 };
    /** Time since the last change of the record that this leader knows of. */
    Duration sinceStep {};
    /** Fewest reports of a pool whose counters were taken after its owner had applied the last change. */
    uint64_t reportsSinceStep { 0 };
    /** Answers of the target version since the last change. */
    uint64_t answersSinceStep { 0 };
    /** Whether all nodes with a lease have applied the last change and no request runs on the other versions. */
    bool isDrained { false };
};

struct RolloutStep {
    RolloutState state { RolloutState::Running };
    RolloutStage stage { RolloutStage::Trial };
    uint32_t sharePermille { 0 };
    std::string reason;
};

/** Derives the next change of a rollout; pure. See docs/design/rollout.md. */
class RolloutController {
public:
    explicit RolloutController(const RolloutBounds& bounds)
        : bounds_(bounds)
    {
    }

    /** Share of the stage Trial. */
    [[nodiscard]] uint32_t trialPermille() const;
    /** The next change; none to wait. */
    [[nodiscard]] std::optional<RolloutStep> decide(const Rollout& rollout, const RolloutSituation& situation) const;
    /** Requests that the target version may still get before the deadline, less those that it probably got since the last reports. */
    [[nodiscard]] double remainingExposure(const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const;

private:
    [[nodiscard]] RolloutStep backToTrial(std::string reason) const;
    [[nodiscard]] std::optional<RolloutStep> decideTrial(const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const;
    [[nodiscard]] std::optional<RolloutStep> decideShift(const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const;
    [[nodiscard]] std::optional<RolloutStep> decideDrain(const RolloutSituation& situation, Duration timeLeft) const;
    /** Whether the shares from this one to the whole can be run through without exceeding the exposure before the deadline. */
    [[nodiscard]] bool isAffordable(uint32_t sharePermille, const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const;

    RolloutBounds bounds_;
};

}
