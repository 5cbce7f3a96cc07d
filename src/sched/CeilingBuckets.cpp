#include "briarhitch/sched/CeilingBuckets.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Fractions of the excess that the tolerance allows. Their sum is below one, because an owner and its successor may
    // both admit requests within one window.
    constexpr double ownerExcessFraction = 0.4;
    constexpr double successorExcessFraction = 0.4;
    constexpr Duration minRetryAfter = 50ms;
    constexpr Duration maxRetryAfter = 60s;

    tl::unexpected<Error> exceeded(ErrorKind kind, const char* message, double missing, double rate)
    {
        auto error = makeError(kind, message);
        error.retryAfter = rate > 0 ? std::clamp<Duration>(fromSeconds(std::min(missing / rate, toSeconds(maxRetryAfter))), minRetryAfter, maxRetryAfter) : maxRetryAfter;
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
    // The use in a window that the tolerance allows beyond rate and burst.
    const double excess = tolerance_.excessFraction * (rate * toSeconds(tolerance_.window) + burst) + (rate > 0 ? tolerance_.slack : 0);
    const double capacity = burst + ownerExcessFraction * excess;
    if (isNew) {
        bucket = { rate, capacity, isSuccessor_ ? successorExcessFraction * excess : capacity, now };
        return;
    }
    bucket.fill(now);
    // A higher ceiling is usable immediately; a lower one also truncates the saved-up level.
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
        return fail(ErrorKind::NoOwner, "the ceiling's owner has not received this customer's contract yet");
    auto& requests = it->second.requests;
    auto& tokenBucket = it->second.tokens;
    requests.fill(now);
    tokenBucket.fill(now);
    if (requests.rate > 0 && requests.level < 1)
        return exceeded(ErrorKind::CeilingRequests, "request rate limit exceeded", 1 - requests.level, requests.rate);
    // The level may go below zero; otherwise a request larger than the burst could never be admitted.
    if (tokenBucket.rate > 0 && tokenBucket.level <= 0)
        return exceeded(ErrorKind::CeilingTokens, "token rate limit exceeded", static_cast<double>(tokens.value()) / 2 - tokenBucket.level, tokenBucket.rate);
    requests.level -= 1;
    tokenBucket.level -= static_cast<double>(tokens.value());
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

Tokens CeilingBuckets::charge(CustomerId customer, Tokens tokens, Instant now)
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return Tokens();
    auto& bucket = it->second.tokens;
    bucket.fill(now);
    auto levelBefore = bucket.level;
    // Locally admitted use was within the rate at its time, so it consumes only what this bucket gained meanwhile and
    // never takes the level below zero.
    bucket.level = std::max(std::min(bucket.level, 0.0), bucket.level - static_cast<double>(tokens.value()));
    return Tokens(std::llround(levelBefore - bucket.level));
}

Tokens CeilingBuckets::tokensLeft(CustomerId customer, Instant now) const
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return Tokens();
    auto bucket = it->second.tokens;
    bucket.fill(now);
    return Tokens(std::llround(bucket.level));
}

}
