#include "briarhitch/sched/CeilingBuckets.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Parts of what the tolerance allows beyond rate and burst. They add up to less than one, as an owner and its
    // successor may both be used within one window.
    constexpr double usedByOwner = 0.4;
    constexpr double usedBySuccessor = 0.4;
    constexpr Duration shortestRetry = 50ms;
    constexpr Duration longestRetry = 60s;

    tl::unexpected<Error> exceeded(ErrorKind kind, const char* message, double missing, double rate)
    {
        auto error = makeError(kind, message);
        error.retryAfter = rate > 0 ? std::clamp<Duration>(fromSeconds(std::min(missing / rate, toSeconds(longestRetry))), shortestRetry, longestRetry) : longestRetry;
        return tl::unexpected<Error>(error);
    }

}

void CeilingBuckets::Bucket::fill(Instant now)
{
    level = std::min(capacity, level + rate * toSeconds(now - filledAt));
    filledAt = now;
}

CeilingBuckets::CeilingBuckets(const CeilingTolerance& tolerance, bool isSuccessor)
    : tolerance_(tolerance)
    , isSuccessor_(isSuccessor)
{
}

void CeilingBuckets::setBucket(Bucket& bucket, double rate, double burst, bool isNew, Instant now) const
{
    // What the tolerance allows in a window beyond rate and burst.
    const double extra = tolerance_.excessFraction * (rate * toSeconds(tolerance_.window) + burst) + (rate > 0 ? tolerance_.slack : 0);
    const double capacity = burst + usedByOwner * extra;
    if (isNew) {
        bucket = { rate, capacity, isSuccessor_ ? usedBySuccessor * extra : capacity, now };
        return;
    }
    bucket.fill(now);
    // A higher ceiling is there to be used at once; a lower one takes away what was saved up.
    bucket.level = std::min(capacity, bucket.level + std::max(0.0, capacity - bucket.capacity));
    bucket.rate = rate;
    bucket.capacity = capacity;
}

void CeilingBuckets::setCeiling(CustomerId customer, const Ceiling& ceiling, Instant now)
{
    auto [it, isNew] = accounts_.try_emplace(customer);
    auto burstOf = [&](double rate) { return ceiling.burst > 0 ? ceiling.burst : rate; };
    setBucket(it->second.requests, ceiling.requestsPerSecond, burstOf(ceiling.requestsPerSecond), isNew, now);
    setBucket(it->second.tokens, ceiling.tokensPerSecond, burstOf(ceiling.tokensPerSecond), isNew, now);
}

Result<void> CeilingBuckets::debit(CustomerId customer, Tokens tokens, Instant now)
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return fail(ErrorKind::NoOwner, "the customer is not known here yet");
    auto& requests = it->second.requests;
    auto& size = it->second.tokens;
    requests.fill(now);
    size.fill(now);
    if (requests.rate > 0 && requests.level < 1)
        return exceeded(ErrorKind::CeilingRequests, "more requests per second than allowed", 1 - requests.level, requests.rate);
    // A request may take the level below zero, because one that is larger than the burst could never be admitted.
    if (size.rate > 0 && size.level <= 0)
        return exceeded(ErrorKind::CeilingTokens, "more tokens per second than allowed", static_cast<double>(tokens.value()) / 2 - size.level, size.rate);
    requests.level -= 1;
    size.level -= static_cast<double>(tokens.value());
    return {};
}

void CeilingBuckets::refund(CustomerId customer, Tokens tokens, Instant now)
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return;
    it->second.requests.fill(now);
    it->second.tokens.fill(now);
    it->second.requests.level = std::min(it->second.requests.capacity, it->second.requests.level + 1);
    it->second.tokens.level = std::min(it->second.tokens.capacity, it->second.tokens.level + static_cast<double>(tokens.value()));
}

void CeilingBuckets::charge(CustomerId customer, Tokens tokens, Instant now)
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return;
    auto& bucket = it->second.tokens;
    bucket.fill(now);
    // What was used alone was within the rate of its time; it takes away what was saved up here meanwhile, and no more.
    bucket.level = std::max(std::min(bucket.level, 0.0), bucket.level - static_cast<double>(tokens.value()));
}

}
