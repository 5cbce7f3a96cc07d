#include "sched/PoolQueue.h"

#include <algorithm>

namespace briarhitch {

PoolQueue::PoolQueue(const std::map<WorkKindId, double>& floors)
    : floors_(floors)
{
}

void PoolQueue::push(const Entry& entry, double weight)
{
    tiers_[entry.tier.value()].push(entry.item, weight);
    floors_.recordQueued(entry.kind, entry.item.sequence, entry.item.attempt, entry.item.cost);
    byDeadline_.emplace(entry.deadline, entry.item.attempt);
}

void PoolQueue::remove(const Entry& entry)
{
    tiers_[entry.tier.value()].remove(entry.item);
    floors_.recordRemoved(entry.kind, entry.item.sequence, entry.item.cost);
    byDeadline_.erase({ entry.deadline, entry.item.attempt });
}

void PoolQueue::serve(const Entry& entry, Instant now)
{
    tiers_[entry.tier.value()].serve(entry.item);
    floors_.recordRemoved(entry.kind, entry.item.sequence, entry.item.cost);
    floors_.recordGranted(entry.kind, entry.item.cost, now);
    byDeadline_.erase({ entry.deadline, entry.item.attempt });
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
    auto leastUrgent = leastUrgentTier();
    return leastUrgent ? tiers_[leastUrgent->value()].newest() : std::nullopt;
}

double PoolQueue::costOfMoreUrgentTiers(Tier tier) const
{
    double sum = 0;
    for (uint8_t i = 0; i < tier.value(); ++i)
        sum += static_cast<double>(tiers_[i].cost());
    return sum;
}

double PoolQueue::costAheadOfNew(const Entry& entry, double weight) const
{
    return costOfMoreUrgentTiers(entry.tier) + tiers_[entry.tier.value()].costAhead(entry.item.queueKey(), entry.item.cost, weight);
}

double PoolQueue::costAheadOfNewest(Tier tier, const FairQueue::Item& newest) const
{
    const double inTier = tiers_[tier.value()].costAhead(newest.queueKey(), 0, 1) - static_cast<double>(newest.cost);
    return costOfMoreUrgentTiers(tier) + std::max(0.0, inTier);
}

std::optional<std::pair<Instant, AttemptId>> PoolQueue::nextDeadline() const
{
    if (byDeadline_.empty())
        return std::nullopt;
    return *byDeadline_.begin();
}

}
