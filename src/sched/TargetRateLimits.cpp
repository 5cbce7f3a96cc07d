#include "briarhitch/sched/TargetRateLimits.h"

#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Longer than any request lasts. */
    constexpr Duration endedLimitRetention = 60s;

}

bool TargetRateLimits::recordObservation(const Target& target, const RateLimitObservation& observation, Instant now)
{
    auto known = entries_.find(target.id);
    if (known != entries_.end() && observation.requestSentAt <= known->second.since)
        return false;
    return replace(target, observation.limit, now);
}

bool TargetRateLimits::merge(const Target& target, std::optional<RequestRate> limit, Instant since)
{
    auto known = entries_.find(target.id);
    if (known != entries_.end() && since <= known->second.since)
        return false;
    return replace(target, limit, since);
}

bool TargetRateLimits::replace(const Target& target, std::optional<RequestRate> limit, Instant since)
{
    // Messages of other nodes are not checked for values.
    bool isValid = !limit || (std::isfinite(limit->value()) && limit->value() >= 0);
    if (!isValid || find(target.id) == limit)
        return false;
    entries_[target.id] = { limit, since, target.pool, target.incarnationStartMs };
    return true;
}

void TargetRateLimits::updateTargets(const std::map<TargetId, Target>& targets)
{
    std::erase_if(entries_, [&](const auto& item) {
        auto listed = targets.find(item.first);
        return listed == targets.end() || listed->second.incarnationStartMs != item.second.targetBornMs;
    });
}

void TargetRateLimits::removePool(PoolId pool)
{
    std::erase_if(entries_, [&](const auto& item) { return item.second.pool == pool; });
}

void TargetRateLimits::tick(Instant now)
{
    std::erase_if(entries_, [&](const auto& item) { return !item.second.limit && now - item.second.since > endedLimitRetention; });
}

std::optional<RequestRate> TargetRateLimits::find(TargetId target) const
{
    auto it = entries_.find(target);
    return it == entries_.end() ? std::nullopt : it->second.limit;
}

}
