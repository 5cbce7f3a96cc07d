#include "sched/PoolQueue.h"

#include <algorithm>

namespace briarhitch {

PoolQueue::PoolQueue(const std::map<WorkKindId, double>& floors)
    : floors_(floors)
{
}

void PoolQueue::push(const Place& place, double weight)
{
    tiers_[place.tier.value()].push(place.item, weight);
    floors_.queued(place.kind, place.item.sequence, place.item.attempt, place.item.cost);
    byDeadline_.emplace(place.deadline, place.item.attempt);
}

void PoolQueue::remove(const Place& place)
{
    tiers_[place.tier.value()].remove(place.item);
    floors_.left(place.kind, place.item.sequence, place.item.cost);
    byDeadline_.erase({ place.deadline, place.item.attempt });
}

void PoolQueue::serve(const Place& place, Instant now)
{
    tiers_[place.tier.value()].serve(place.item);
    floors_.left(place.kind, place.item.sequence, place.item.cost);
    floors_.granted(place.kind, place.item.cost, now);
    byDeadline_.erase({ place.deadline, place.item.attempt });
}

std::optional<Tier> PoolQueue::leastUrgentTier() const
{
    for (uint8_t i = Tier::count; i-- > 0;) {
        if (!tiers_[i].empty())
            return Tier(i);
    }
    return std::nullopt;
}

std::optional<FairQueue::Item> PoolQueue::newestOfLeastUrgent() const
{
    auto least = leastUrgentTier();
    return least ? tiers_[least->value()].newest() : std::nullopt;
}

double PoolQueue::costAbove(Tier tier) const
{
    double sum = 0;
    for (uint8_t i = 0; i < tier.value(); ++i)
        sum += static_cast<double>(tiers_[i].cost());
    return sum;
}

double PoolQueue::costAheadOfNew(const Place& place, double weight) const
{
    return costAbove(place.tier) + tiers_[place.tier.value()].costAhead(place.item.line(), place.item.cost, weight);
}

double PoolQueue::costAheadOfNewest(Tier tier, const FairQueue::Item& newest) const
{
    const double inTier = tiers_[tier.value()].costAhead(newest.line(), 0, 1) - static_cast<double>(newest.cost);
    return costAbove(tier) + std::max(0.0, inTier);
}

std::optional<std::pair<Instant, AttemptId>> PoolQueue::nextDeadline() const
{
    if (byDeadline_.empty())
        return std::nullopt;
    return *byDeadline_.begin();
}

}
