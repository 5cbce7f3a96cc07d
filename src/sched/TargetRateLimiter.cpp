#include "briarhitch/sched/TargetRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Requests saved up beyond one: schedulers use the buckets at intervals, and nothing may be lost between two of them. */
    constexpr double savedSeconds = 0.1;
    constexpr Duration riseTime = 3s;
    constexpr Duration riseDoublingTime = 500ms;
    /** Slowest start of the rise, in requests per second. */
    constexpr double minRisingRate = 1;
    constexpr Duration probeInterval = 1s;

    double capacityAt(double rate) { return 1 + savedSeconds * rate; }

}

double TargetRateLimiter::Bucket::rateAt(Instant now) const
{
    if (!endedAt)
        return rate.value();
    return std::max(rate.value(), minRisingRate) * std::exp2(toSeconds(now - *endedAt) / toSeconds(riseDoublingTime));
}

double TargetRateLimiter::Bucket::levelAt(Instant now) const
{
    double meanRate = (rateAt(filledAt) + rateAt(now)) / 2;
    return std::min(capacityAt(rateAt(now)), level + meanRate * toSeconds(now - filledAt));
}

void TargetRateLimiter::Bucket::fill(Instant now)
{
    level = levelAt(now);
    filledAt = now;
}

void TargetRateLimiter::setRate(TargetId target, RequestRate rate, Instant now)
{
    auto [it, isNew] = buckets_.try_emplace(target);
    auto& bucket = it->second;
    if (isNew) {
        bucket = { rate, 0, now, now, std::nullopt };
        return;
    }
    if (bucket.rate == rate && !bucket.endedAt)
        return;
    bucket.fill(now);
    bucket.rate = rate;
    bucket.endedAt.reset();
    bucket.level = std::min(bucket.level, capacityAt(rate.value()));
}

void TargetRateLimiter::endLimit(TargetId target, Instant now)
{
    auto it = buckets_.find(target);
    if (it == buckets_.end() || it->second.endedAt)
        return;
    it->second.fill(now);
    it->second.endedAt = now;
}

void TargetRateLimiter::followEnds(const TargetRateLimits& limits, Instant now)
{
    std::erase_if(buckets_, [&](const auto& item) { return !limits.all().contains(item.first); });
    for (const auto& [id, known] : limits.all()) {
        if (!known.limit)
            endLimit(id, now);
    }
}

void TargetRateLimiter::tick(Instant now)
{
    std::erase_if(buckets_, [&](const auto& item) { return item.second.endedAt && now - *item.second.endedAt >= riseTime; });
}

bool TargetRateLimiter::allowsRequest(TargetId target, Instant now) const
{
    auto it = buckets_.find(target);
    return it == buckets_.end() || it->second.levelAt(now) >= 1;
}

bool TargetRateLimiter::isBlocked(TargetId target) const
{
    auto it = buckets_.find(target);
    return it != buckets_.end() && !it->second.endedAt && it->second.rate.value() <= 0;
}

std::optional<RequestRate> TargetRateLimiter::rate(TargetId target, Instant now) const
{
    auto it = buckets_.find(target);
    return it == buckets_.end() ? std::nullopt : std::optional(RequestRate(it->second.rateAt(now)));
}

Duration TargetRateLimiter::timeUntilAllowed(TargetId target, Instant now) const
{
    auto it = buckets_.find(target);
    if (it == buckets_.end())
        return Duration::zero();
    double missing = 1 - it->second.levelAt(now);
    double rate = it->second.rateAt(now);
    if (missing <= 0)
        return Duration::zero();
    return rate > 0 ? fromSeconds(missing / rate) : Duration::max();
}

bool TargetRateLimiter::needsProbe(TargetId target, Instant now) const
{
    auto it = buckets_.find(target);
    return it != buckets_.end() && now - it->second.lastRequestAt >= probeInterval;
}

void TargetRateLimiter::recordRequests(TargetId target, double count, Instant now)
{
    auto it = buckets_.find(target);
    if (it == buckets_.end())
        return;
    it->second.fill(now);
    it->second.level -= count;
    it->second.lastRequestAt = now;
}

void TargetRateLimiter::refundRequest(TargetId target, Instant now)
{
    auto it = buckets_.find(target);
    if (it == buckets_.end())
        return;
    it->second.fill(now);
    it->second.level = std::min(it->second.level + 1, capacityAt(it->second.rateAt(now)));
}

}
