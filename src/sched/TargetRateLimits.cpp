#include "briarhitch/sched/TargetRateLimits.h"

namespace briarhitch {

bool TargetRateLimits::recordObservation(const Target& target, const RateLimitObservation& observation, Instant now)
{
    auto known = limits_.find(target.id);
    // A response to an earlier request may have been written before the target named the limit.
    bool mayPrecedeLimit = known != limits_.end() && observation.requestSentAt <= known->second.since;
    if (!observation.limit && mayPrecedeLimit)
        return false;
    return set(target, observation.limit, now);
}

bool TargetRateLimits::set(const Target& target, std::optional<RequestRate> limit, Instant now)
{
    if (find(target.id) == limit)
        return false;
    if (limit)
        limits_[target.id] = { *limit, now, target.incarnationStartMs };
    else
        limits_.erase(target.id);
    return true;
}

void TargetRateLimits::updateTargets(const std::map<TargetId, Target>& targets)
{
    std::erase_if(limits_, [&](const auto& item) {
        auto listed = targets.find(item.first);
        return listed == targets.end() || listed->second.incarnationStartMs != item.second.targetBornMs;
    });
}

std::optional<RequestRate> TargetRateLimits::find(TargetId target) const
{
    auto it = limits_.find(target);
    return it == limits_.end() ? std::nullopt : std::optional(it->second.limit);
}

}
