#include "briarhitch/entry/EntryRateLimits.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/sched/RateLimitShares.h"
#include "entry/RateLimitLog.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration unreadableLogInterval = 10s;

}

std::optional<TargetRateLimitNotice> EntryRateLimits::recordObservation(const Target& target, const RateLimitObservation& observation, Instant now)
{
    if (!observation.isReadable) {
        if (now - unreadableLoggedAt_ >= unreadableLogInterval) {
            unreadableLoggedAt_ = now;
            rateLimitLog().event("target names an unreadable rate limit", { { "target", target.name } });
        }
        return std::nullopt;
    }
    auto previous = limits_.find(target.id);
    if (!limits_.recordObservation(target, observation, now))
        return std::nullopt;
    auto ageMs = clampMs(now - observation.requestSentAt);
    onLimitChange(target, previous, "response", ageMs);
    return TargetRateLimitNotice { target.pool, target.id, observation.limit, ageMs };
}

void EntryRateLimits::recordNotice(const Target& target, const TargetRateLimitNotice& notice, Instant now)
{
    auto previous = limits_.find(target.id);
    // The owner is told of the responses to all entries, so it knows best which one was written last.
    if (limits_.replace(target, notice.limit, now))
        onLimitChange(target, previous, "owner", notice.ageMs);
}

void EntryRateLimits::onLimitChange(const Target& target, std::optional<RequestRate> previous, const std::string& toldBy, uint32_t ageMs)
{
    logRateLimitChange(target, limits_.find(target.id), previous, { { "told_by", toldBy }, { "age_ms", int64_t(ageMs) } });
    updateShare(target);
}

std::vector<TargetRateLimitNotice> EntryRateLimits::noticesFor(PoolId pool, Instant now) const
{
    std::vector<TargetRateLimitNotice> notices;
    for (const auto& [id, known] : limits_.all()) {
        if (known.pool == pool)
            notices.push_back({ pool, id, known.limit, clampMs(now - known.since) });
    }
    return notices;
}

void EntryRateLimits::onConfigChange(const ClusterConfig& config, Instant now)
{
    limits_.updateTargets(config.targets);
    limits_.tick(now);
    entries_ = callerServingNodes(config);
    shares_.clear();
    for (const auto& [id, known] : limits_.all())
        updateShare(config.targets.at(id));
}

void EntryRateLimits::updateShare(const Target& target)
{
    auto limit = limits_.find(target.id);
    if (!limit) {
        shares_.erase(target.id);
        return;
    }
    shares_[target.id] = { target.pool, divideRateLimit(target.name, std::max(*limit, minProbeRate), entries_).rateOf(self_) };
}

void EntryRateLimits::updateRates(const std::function<double(PoolId)>& fractionOf, Instant now)
{
    limiter_.followEnds(limits_, now);
    for (const auto& [id, share] : shares_)
        limiter_.setRate(id, RequestRate(share.rate.value() * fractionOf(share.pool)), now);
    limiter_.tick(now);
}

}
