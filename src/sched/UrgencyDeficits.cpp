#include "sched/UrgencyDeficits.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    // The shortest bursts last some seconds; counts over a shorter time, or of fewer requests, are unreliable.
    constexpr double decaySeconds = 3;
    constexpr double minRequests = 5;
    // Relative to the best fraction of the more urgent kinds. Operators call a kind starved below a quarter; this is twice that.
    constexpr double minRelativeFraction = 0.5;
    // Fraction of the pool's work that each urgency may take ahead of more urgent requests.
    constexpr double maxDeficitCostFraction = 0.05;

}

void UrgencyDeficits::recordSubmission(Tier urgency)
{
    counts_[urgency].requests += 1;
}

void UrgencyDeficits::recordGrant(Tier urgency, double cost, bool isForDeficit)
{
    auto& counts = counts_[urgency];
    counts.granted += 1;
    cost_ += cost;
    if (isForDeficit)
        counts.deficitCost += cost;
}

double UrgencyDeficits::deficit(Tier urgency) const
{
    auto own = counts_.find(urgency);
    if (own == counts_.end() || own->second.requests < minRequests || own->second.deficitCost > maxDeficitCostFraction * cost_)
        return 0;
    double bestFraction = 0;
    for (auto it = counts_.begin(); it != own; ++it) {
        if (it->second.requests >= minRequests)
            bestFraction = std::max(bestFraction, it->second.grantedFraction());
    }
    return std::max(0.0, minRelativeFraction * std::min(1.0, bestFraction) * own->second.requests - own->second.granted);
}

void UrgencyDeficits::tick(Instant now)
{
    double decay = std::exp(-toSeconds(std::max<Duration>(now - lastTick_, Duration(0))) / decaySeconds);
    lastTick_ = now;
    for (auto& [urgency, counts] : counts_) {
        counts.requests *= decay;
        counts.granted *= decay;
        counts.deficitCost *= decay;
    }
    cost_ *= decay;
}

}
