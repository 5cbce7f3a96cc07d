#include "sched/WaitPredictor.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Costs of single requests differ so much that a shorter time makes the less urgent tiers' rates jump.
    constexpr double drainTimeConstantSeconds = 15;
    // Less than this is too short to tell the drain rate, because work is granted in lumps.
    constexpr double leastBackloggedSeconds = 0.5;
    constexpr Duration measurementLifetime = 20s;
    constexpr double keepCompleted = 0.995;
    constexpr double leastCompleted = 10;
    // Even under more urgent overload a little is left, or a queue of less urgent work would never look finite.
    constexpr double leastPartLeft = 0.02;

}

void WaitPredictor::arrived(Tier tier, int64_t cost, Instant now)
{
    arrivals_[tier.value()].add(static_cast<double>(cost), now);
}

void WaitPredictor::granted(int64_t cost)
{
    grantedInInterval_ += static_cast<double>(cost);
}

void WaitPredictor::completed(int64_t cost, Duration duration)
{
    count_ = count_ * keepCompleted + 1;
    cost_ = cost_ * keepCompleted + static_cast<double>(cost);
    costSeconds_ = costSeconds_ * keepCompleted + static_cast<double>(cost) * toSeconds(duration);
}

void WaitPredictor::tick(bool backlogged, Instant now)
{
    const double seconds = toSeconds(now - intervalStart_);
    if (backlogged && intervalStart_ != Instant {}) {
        const double keep = std::exp(-seconds / drainTimeConstantSeconds);
        backloggedCost_ = backloggedCost_ * keep + grantedInInterval_;
        backloggedSeconds_ = backloggedSeconds_ * keep + seconds;
        lastBacklogged_ = now;
    }
    grantedInInterval_ = 0;
    intervalStart_ = now;
}

double WaitPredictor::drainRate(int64_t capacity, int64_t slots, Instant now) const
{
    if (backloggedSeconds_ >= leastBackloggedSeconds && now - lastBacklogged_ < measurementLifetime)
        return backloggedCost_ / backloggedSeconds_;
    if (count_ < leastCompleted || costSeconds_ <= 0)
        return 0;
    // Little's law: what the targets hold, divided by the time that a unit of cost stays there.
    const double held = std::min(static_cast<double>(capacity), static_cast<double>(slots) * cost_ / count_);
    return held * cost_ / costSeconds_;
}

double WaitPredictor::drainRateFor(Tier tier, double drainRate, Instant now) const
{
    double moreUrgent = 0;
    for (uint8_t i = 0; i < tier.value(); ++i)
        moreUrgent += arrivals_[i].at(now);
    return std::max(drainRate - moreUrgent, leastPartLeft * drainRate);
}

}
