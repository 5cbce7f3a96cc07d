#include "sched/WaitPredictor.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Costs of requests vary so much that a shorter time constant makes the rates of less urgent tiers fluctuate.
    constexpr double drainTimeConstantSeconds = 15;
    // Grants come in bursts, so a shorter measurement does not determine the drain rate.
    constexpr double minBackloggedSeconds = 0.5;
    constexpr Duration measurementLifetime = 20s;
    constexpr double completedDecay = 0.995;
    constexpr double minCompleted = 10;
    // Minimum rate under more urgent overload; otherwise predicted waits of less urgent work would be infinite.
    constexpr double minRateFraction = 0.02;

}

void WaitPredictor::recordArrival(Tier tier, int64_t cost, Instant now)
{
    arrivals_[tier.value()].add(static_cast<double>(cost), now);
}

void WaitPredictor::recordGrantedCost(int64_t cost)
{
    grantedInInterval_ += static_cast<double>(cost);
}

void WaitPredictor::recordCompletion(int64_t cost, Duration duration)
{
    count_ = count_ * completedDecay + 1;
    cost_ = cost_ * completedDecay + static_cast<double>(cost);
    costSeconds_ = costSeconds_ * completedDecay + static_cast<double>(cost) * toSeconds(duration);
}

void WaitPredictor::tick(bool backlogged, Instant now)
{
    const double seconds = toSeconds(now - intervalStart_);
    if (backlogged && intervalStart_ != Instant {}) {
        const double decay = std::exp(-seconds / drainTimeConstantSeconds);
        backloggedCost_ = backloggedCost_ * decay + grantedInInterval_;
        backloggedSeconds_ = backloggedSeconds_ * decay + seconds;
        lastBacklogged_ = now;
    }
    grantedInInterval_ = 0;
    intervalStart_ = now;
}

double WaitPredictor::drainRate(int64_t capacity, int64_t slots, Instant now) const
{
    if (backloggedSeconds_ >= minBackloggedSeconds && now - lastBacklogged_ < measurementLifetime)
        return backloggedCost_ / backloggedSeconds_;
    if (count_ < minCompleted || costSeconds_ <= 0)
        return 0;
    // Little's law: cost held by the targets, divided by the time that a unit of cost spends there.
    const double held = std::min(static_cast<double>(capacity), static_cast<double>(slots) * cost_ / count_);
    return held * cost_ / costSeconds_;
}

double WaitPredictor::drainRateForTier(Tier tier, double drainRate, Instant now) const
{
    double moreUrgent = 0;
    for (uint8_t i = 0; i < tier.value(); ++i)
        moreUrgent += arrivals_[i].rateAt(now);
    return std::max(drainRate - moreUrgent, minRateFraction * drainRate);
}

}
