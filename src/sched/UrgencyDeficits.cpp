#include "sched/UrgencyDeficits.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    // The shortest bursts last some seconds, and counts of less than this say little.
    constexpr double memorySeconds = 3;
    constexpr double fewRequests = 5;
    // Twice the part below which the deployments' owners call a kind starved: a quarter of the others'.
    constexpr double leastPart = 0.5;
    // Of the pool's work, what each urgency may take before more urgent requests.
    constexpr double mostOwedCost = 0.05;

}

void UrgencyDeficits::recordSubmission(Tier urgency)
{
    counts_[urgency].asked += 1;
}

void UrgencyDeficits::recordGrant(Tier urgency, double cost, bool isOwed)
{
    auto& counts = counts_[urgency];
    counts.granted += 1;
    cost_ += cost;
    if (isOwed)
        counts.owedCost += cost;
}

double UrgencyDeficits::deficit(Tier urgency) const
{
    auto own = counts_.find(urgency);
    if (own == counts_.end() || own->second.asked < fewRequests || own->second.owedCost > mostOwedCost * cost_)
        return 0;
    double best = 0;
    for (auto it = counts_.begin(); it != own; ++it) {
        if (it->second.asked >= fewRequests)
            best = std::max(best, it->second.part());
    }
    return std::max(0.0, leastPart * std::min(1.0, best) * own->second.asked - own->second.granted);
}

void UrgencyDeficits::tick(Instant now)
{
    double kept = std::exp(-toSeconds(std::max<Duration>(now - lastTick_, Duration(0))) / memorySeconds);
    lastTick_ = now;
    for (auto& [urgency, counts] : counts_) {
        counts.asked *= kept;
        counts.granted *= kept;
        counts.owedCost *= kept;
    }
    cost_ *= kept;
}

}
