#include "rollout/RolloutController.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Share of Trial: six tenths of what a faulty version may get, 60 of 1000 with the usual bound, at most. */
    constexpr uint32_t maxTrialPermille = 60;
    constexpr double trialPartOfBound = 0.6;
    constexpr double permille = 1000;
    constexpr std::array<uint32_t, 3> shiftPermille { 250, 500, 1000 };
    constexpr uint32_t wholePermille = 1000;
    /** The shift starts at three fifths of the duration at the earliest, so that Trial sees faults that begin late. */
    constexpr int trialFifths = 3;
    constexpr int fifths = 5;

    /** Expected time of a step below the whole share: two reports of 250 ms and the time to commit and apply the change. */
    constexpr Duration plannedStep = 600ms;
    constexpr Duration minStep = 400ms;
    /** Time to commit a change and have all nodes apply it. */
    constexpr Duration applyTime = 150ms;
    /** The first report after a change may hold answers of requests granted before it only. */
    constexpr uint64_t minReportsOfStep = 2;
    /** Answers that a step must bring, unless the service is so idle that they do not come within maxStepWait. */
    constexpr uint64_t minAnswersOfStep = 5;
    constexpr Duration maxStepWait = 2s;
    /** Reserve for traffic that grows during the shift, and for grants that are not reported yet. */
    constexpr double plannedGrowth = 1.2;
    constexpr double slackReserve = 0.1;

    RolloutStep rolledBack(std::string reason)
    {
        return { RolloutState::RolledBack, RolloutStage::Trial, 0, std::move(reason) };
    }

    /** The first share of the shift above this one. */
    uint32_t shareAfter(uint32_t sharePermille)
    {
        auto it = std::upper_bound(shiftPermille.begin(), shiftPermille.end(), sharePermille);
        return it == shiftPermille.end() ? wholePermille : *it;
    }

    RolloutStep shiftTo(uint32_t sharePermille, std::string reason)
    {
        return { RolloutState::Running, sharePermille == wholePermille ? RolloutStage::Drain : RolloutStage::Shift, sharePermille, std::move(reason) };
    }

}

uint32_t RolloutController::trialPermille() const
{
    return std::min(maxTrialPermille, static_cast<uint32_t>(trialPartOfBound * bounds_.exposedShare * permille));
}

double RolloutController::remainingExposure(const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const
{
    double unreported = situation.peakGrantRate * rollout.sharePermille / permille * toSeconds(situation.reportAge + applyTime);
    double expected = static_cast<double>(situation.grantedToAll) + situation.grantRate * std::max(0.0, toSeconds(timeLeft));
    return bounds_.exposedShare * expected + bounds_.exposedSlack - static_cast<double>(situation.grantedToTarget) - unreported;
}

bool RolloutController::isAffordable(uint32_t sharePermille, const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const
{
    // The exposure is bounded until the deadline only.
    if (timeLeft <= 0s)
        return true;
    double planned = 0;
    auto left = timeLeft;
    for (auto share : shiftPermille) {
        if (share < sharePermille)
            continue;
        auto time = share == wholePermille ? left : std::min(left, plannedStep);
        planned += situation.peakGrantRate * toSeconds(time) * share / permille;
        left -= time;
    }
    return plannedGrowth * planned + slackReserve * bounds_.exposedSlack <= remainingExposure(rollout, situation, timeLeft);
}

RolloutStep RolloutController::backToTrial(std::string reason) const
{
    return { RolloutState::Running, RolloutStage::Trial, trialPermille(), std::move(reason) };
}

std::optional<RolloutStep> RolloutController::decide(const Rollout& rollout, const RolloutSituation& situation) const
{
    if (rollout.state != RolloutState::Running)
        return std::nullopt;
    if (situation.judgement.verdict == RolloutVerdict::Bad)
        return rolledBack(situation.judgement.reason);
    auto timeLeft = std::chrono::milliseconds(rollout.durationMs) - situation.elapsed;
    auto staleAfter = std::chrono::milliseconds(bounds_.rollbackMs);
    if (situation.reportAge > staleAfter) {
        // Without a lease no node takes part in control, and nothing that is decided here would reach one.
        if (!situation.hasLeases)
            return std::nullopt;
        if (rollout.stage != RolloutStage::Trial)
            return backToTrial("no report for " + std::to_string(toMs(situation.reportAge)) + " ms");
        if (timeLeft < -2 * staleAfter)
            return rolledBack("the deadline has passed, and there are no reports");
        return std::nullopt;
    }
    bool isWithoutTargets = rollout.stage != RolloutStage::Trial && situation.reportsSinceStep > 0 && situation.activeTargets == 0;
    if (isWithoutTargets)
        return backToTrial("the target version has no active targets");
    bool isOverspent = timeLeft > 0s && rollout.stage != RolloutStage::Trial && remainingExposure(rollout, situation, timeLeft) <= 0;
    // The share of Trial would go on exceeding the bound.
    if (isOverspent)
        return RolloutStep { RolloutState::Running, RolloutStage::Trial, 0, "the target version has got " + std::to_string(situation.grantedToTarget) + " requests, as many as it may before the deadline" };
    switch (rollout.stage) {
    case RolloutStage::Trial:
        return decideTrial(rollout, situation, timeLeft);
    case RolloutStage::Shift:
        return decideShift(rollout, situation, timeLeft);
    case RolloutStage::Drain:
        return decideDrain(situation, timeLeft);
    }
    return std::nullopt;
}

std::optional<RolloutStep> RolloutController::decideTrial(const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const
{
    bool isGood = situation.judgement.verdict == RolloutVerdict::Good && situation.activeTargets > 0;
    if (timeLeft <= 0s) {
        // A leader or owner that just started has no reports yet; one report is enough to decide.
        if (situation.reportsSinceStep == 0)
            return std::nullopt;
        if (situation.activeTargets == 0)
            return rolledBack("the deadline has passed, and the target version has no active targets");
        if (!isGood)
            return rolledBack("the deadline has passed, and the target version is not known to be good: " + situation.judgement.reason);
    }
    bool isTrialOver = situation.elapsed * fifths >= std::chrono::milliseconds(rollout.durationMs) * trialFifths;
    // A new leader knows no rate of requests before the second report, and without one every share looks affordable.
    if (!isGood || !isTrialOver || situation.reportsSinceStep < minReportsOfStep || !isAffordable(shiftPermille.front(), rollout, situation, timeLeft))
        return std::nullopt;
    return shiftTo(shiftPermille.front(), situation.judgement.reason);
}

std::optional<RolloutStep> RolloutController::decideShift(const Rollout& rollout, const RolloutSituation& situation, Duration timeLeft) const
{
    bool isGood = situation.judgement.verdict == RolloutVerdict::Good && situation.activeTargets > 0;
    auto staleAfter = std::chrono::milliseconds(bounds_.rollbackMs);
    if (!isGood && timeLeft <= 0s && situation.sinceStep > staleAfter)
        return rolledBack("the deadline has passed, and the target version is doubtful: " + situation.judgement.reason);
    bool isMeasured = situation.answersSinceStep >= minAnswersOfStep || situation.sinceStep >= maxStepWait;
    bool isFresh = situation.sinceStep >= minStep && situation.reportsSinceStep >= minReportsOfStep && isMeasured;
    auto share = shareAfter(rollout.sharePermille);
    if (!isGood || !isFresh || !isAffordable(share, rollout, situation, timeLeft))
        return std::nullopt;
    return shiftTo(share, situation.judgement.reason);
}

std::optional<RolloutStep> RolloutController::decideDrain(const RolloutSituation& situation, Duration timeLeft) const
{
    if (situation.judgement.verdict == RolloutVerdict::Good)
        return situation.isDrained ? std::optional(RolloutStep { RolloutState::Completed, RolloutStage::Drain, wholePermille, situation.judgement.reason }) : std::nullopt;
    if (timeLeft <= 0s && situation.sinceStep > std::chrono::milliseconds(bounds_.rollbackMs))
        return rolledBack("the target version is doubtful: " + situation.judgement.reason);
    return std::nullopt;
}

}
