#include "briarhitch/sched/CeilingLimiter.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr double burstSeconds = 1;
    // Less than one request could never be admitted.
    constexpr double leastRequestBurst = 1;
    constexpr double leastTokenBurst = 1;
    constexpr Duration shortestRetry = 1s;
    constexpr Duration longestRetry = 60s;
    constexpr Duration inFlightRetry = 1s;
    constexpr double leastDemandSeconds = 0.2;

    tl::unexpected<Error> exceeded(ErrorKind kind, const char* message, Duration retryAfter)
    {
        Error error = makeError(kind, message);
        error.retryAfter = std::clamp(retryAfter, shortestRetry, longestRetry);
        return tl::unexpected<Error>(error);
    }

    /** Time until a bucket gains the missing amount. */
    Duration timeFor(double missing, double rate)
    {
        if (rate <= 0)
            return shortestRetry;
        return fromSeconds(std::min(missing / rate, toSeconds(longestRetry)));
    }

}

void CeilingLimiter::Bucket::fill(Instant now, double leastBurst)
{
    level = std::min(level + rate * toSeconds(now - filledAt), std::max(leastBurst, rate * burstSeconds));
    filledAt = now;
}

void CeilingLimiter::Bucket::setRate(double newRate, Instant now, double leastBurst)
{
    fill(now, leastBurst);
    rate = newRate;
    level = std::min(level, std::max(leastBurst, rate * burstSeconds));
}

CeilingLimiter::CeilingLimiter(CustomerId customer, const Ceiling& ceiling)
    : customer_(customer)
    , ceiling_(ceiling)
{
}

void CeilingLimiter::setAllocation(const CeilingAllocation& portion, Instant askedAt, Instant now)
{
    if (!portion.valid)
        return;
    const bool isFirst = !hasAllocation_;
    allocation_ = portion.allocation;
    hasAllocation_ = true;
    const auto lifetime = std::chrono::milliseconds(portion.validMs);
    renewAt_ = askedAt + lifetime / 2;
    usableUntil_ = askedAt + std::max<Duration>(lifetime, unreachableOwnerGracePeriod);
    requests_.setRate(allocation_.requestsPerSecond, now, leastRequestBurst);
    tokens_.setRate(allocation_.tokensPerSecond, now, leastTokenBurst);
    if (isFirst) {
        // The first portion is for a second from now on, and may be used at once.
        requests_.level = requests_.rate * burstSeconds;
        tokens_.level = tokens_.rate * burstSeconds;
    }
}

bool CeilingLimiter::needsAllocation(Instant now) const
{
    return isLimited() && (!hasAllocation_ || now >= renewAt_);
}

CeilingRequest CeilingLimiter::makeCeilingRequest(PoolId pool, Instant now)
{
    const double seconds = lastRequestAt_ == Instant {} ? 1 : std::max(leastDemandSeconds, toSeconds(now - lastRequestAt_));
    CeilingRequest ask { pool, customer_, requestsSinceLastReport_ / seconds, tokensSinceLastReport_ / seconds, inFlight_ };
    requestsSinceLastReport_ = 0;
    tokensSinceLastReport_ = 0;
    lastRequestAt_ = now;
    return ask;
}

Result<void> CeilingLimiter::admit(Tokens tokens, Instant now)
{
    const auto size = static_cast<double>(tokens.value());
    requestsSinceLastReport_ += 1;
    tokensSinceLastReport_ += size;
    if (!isLimited()) {
        ++inFlight_;
        return {};
    }
    if (!hasAllocation_ || now >= usableUntil_)
        return exceeded(ErrorKind::NoOwner, "no portion of the customer's ceiling", shortestRetry);
    if (ceiling_.inFlight > 0 && inFlight_ >= allocation_.inFlight)
        return exceeded(ErrorKind::CeilingInFlight, "as many requests as allowed are in flight", inFlightRetry);
    requests_.fill(now, leastRequestBurst);
    tokens_.fill(now, leastTokenBurst);
    if (ceiling_.requestsPerSecond > 0 && requests_.level < 1)
        return exceeded(ErrorKind::CeilingRequests, "more requests per second than allowed", timeFor(1 - requests_.level, requests_.rate));
    // A request may take the bucket below zero, because one that is larger than the burst could never be admitted.
    if (ceiling_.tokensPerSecond > 0 && tokens_.level <= 0)
        return exceeded(ErrorKind::CeilingTokens, "more tokens per second than allowed", timeFor(-tokens_.level, tokens_.rate));
    if (ceiling_.requestsPerSecond > 0)
        requests_.level -= 1;
    if (ceiling_.tokensPerSecond > 0)
        tokens_.level -= size;
    ++inFlight_;
    return {};
}

void CeilingLimiter::finished(Tokens unused)
{
    assert(inFlight_ > 0);
    --inFlight_;
    if (ceiling_.tokensPerSecond > 0)
        tokens_.level += static_cast<double>(std::max<int64_t>(0, unused.value()));
}

}
