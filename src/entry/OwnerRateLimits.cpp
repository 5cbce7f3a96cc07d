#include "briarhitch/entry/OwnerRateLimits.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/sched/RateLimitShares.h"
#include "entry/RateLimitLog.h"

#include <algorithm>

namespace briarhitch {

bool OwnerRateLimits::recordNotice(NodeId from, const Target& target, const TargetRateLimitNotice& notice, Instant now)
{
    auto previous = limits_.find(target.id);
    if (!limits_.recordObservation(target, { target.id, notice.limit, now - std::chrono::milliseconds(notice.ageMs) }, now))
        return false;
    onLimitChange(from, target, previous, notice.ageMs, now);
    return true;
}

bool OwnerRateLimits::merge(NodeId from, const Target& target, const TargetRateLimitNotice& notice, Instant now)
{
    auto previous = limits_.find(target.id);
    if (!limits_.merge(target, notice.limit, now - std::chrono::milliseconds(notice.ageMs)))
        return false;
    onLimitChange(from, target, previous, notice.ageMs, now);
    return true;
}

void OwnerRateLimits::onLimitChange(NodeId from, const Target& target, std::optional<RequestRate> previous, uint32_t ageMs, Instant now)
{
    targetNames_[target.id] = target.name;
    logRateLimitChange(target, limits_.find(target.id), previous, { { "told_by", int64_t(from.value()) }, { "age_ms", int64_t(ageMs) } });
    updateRates(now);
}

void OwnerRateLimits::onConfigChange(const ClusterConfig& config, Instant now)
{
    limits_.updateTargets(config.targets);
    entries_ = callerServingNodes(config);
    updateRates(now);
}

void OwnerRateLimits::setConnected(NodeId entry, bool isConnected, Instant now)
{
    if (isConnected)
        connected_.insert(entry);
    else
        connected_.erase(entry);
    updateRates(now);
}

void OwnerRateLimits::forgetPool(PoolId pool, Instant now)
{
    limits_.removePool(pool);
    updateRates(now);
}

void OwnerRateLimits::tick(Instant now)
{
    limits_.tick(now);
    limiter_.tick(now);
}

void OwnerRateLimits::updateRates(Instant now)
{
    limiter_.followEnds(limits_, now);
    std::erase_if(targetNames_, [&](const auto& item) { return !limits_.all().contains(item.first); });
    for (const auto& [id, known] : limits_.all()) {
        if (!known.limit)
            continue;
        auto rate = std::max(*known.limit, minProbeRate);
        auto shares = divideRateLimit(targetNames_.at(id), rate, entries_);
        for (NodeId entry : shares.entries) {
            if (entry != self_ && !connected_.contains(entry))
                rate -= shares.rate;
        }
        limiter_.setRate(id, std::max(rate, minProbeRate), now);
    }
}

void OwnerRateLimits::publishGauges(MetricRegistry& metrics, const PoolAssignment& pool, const std::vector<Target>& targets, size_t heldRequests) const
{
    RequestRate sum;
    size_t count = 0;
    for (const auto& target : targets) {
        auto limit = target.pool == pool.id ? find(target.id) : std::nullopt;
        if (!limit)
            continue;
        sum += *limit;
        ++count;
    }
    auto labels = "pool=\"" + pool.name + "\"";
    metrics.setGauge("pool_rate_limited_targets", labels, static_cast<double>(count));
    metrics.setGauge("pool_rate_limit_requests_per_second", labels, sum.value());
    metrics.setGauge("pool_rate_limit_held", labels, static_cast<double>(heldRequests));
}

}
