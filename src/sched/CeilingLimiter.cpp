#include "briarhitch/sched/CeilingLimiter.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr double burstSeconds = 1;
    // A burst below one request would never admit any.
    constexpr double minRequestBurst = 1;
    constexpr double minTokenBurst = 1;
    constexpr Duration minRetryAfter = 1s;
    constexpr Duration maxRetryAfter = 60s;
    constexpr Duration inFlightRetryAfter = 1s;
    constexpr double minDemandSeconds = 0.2;

    tl::unexpected<Error> exceeded(ErrorKind kind, const char* message, Duration retryAfter)
    {
        Error error = makeError(kind, message);
        error.retryAfter = std::clamp(retryAfter, minRetryAfter, maxRetryAfter);
        return tl::unexpected<Error>(error);
    }

    /** Time until a bucket that fills at `rate` per second gains the missing amount. */
    Duration timeToRefill(double missing, double rate)
    {
        if (rate <= 0)
            return minRetryAfter;
        return fromSeconds(std::min(missing / rate, toSeconds(maxRetryAfter)));
    }

}

void CeilingLimiter::Bucket::fill(Instant now, double minBurst)
{
    level = std::min(level + rate * toSeconds(now - filledAt), std::max(minBurst, rate * burstSeconds));
    filledAt = now;
}

void CeilingLimiter::Bucket::setRate(double newRate, Instant now, double minBurst)
{
    fill(now, minBurst);
    rate = newRate;
    level = std::min(level, std::max(minBurst, rate * burstSeconds));
}

CeilingLimiter::CeilingLimiter(CustomerId customer, const Ceiling& ceiling)
    : customer_(customer)
    , ceiling_(ceiling)
{
}

void CeilingLimiter::setAllocation(const CeilingPortion& allocation, Instant requestedAt, Instant now)
{
    if (!allocation.valid)
        return;
    const bool isFirst = !hasAllocation_;
    allocation_ = allocation.portion;
    hasAllocation_ = true;
    const auto lifetime = std::chrono::milliseconds(allocation.validMs);
    renewAt_ = requestedAt + lifetime / 2;
    usableUntil_ = requestedAt + std::max<Duration>(lifetime, unreachableOwnerGracePeriod);
    requests_.setRate(allocation_.requestsPerSecond, now, minRequestBurst);
    tokens_.setRate(allocation_.tokensPerSecond, now, minTokenBurst);
    if (isFirst) {
        // The first allocation covers the next second and may be used in one burst.
        requests_.level = requests_.rate * burstSeconds;
        tokens_.level = tokens_.rate * burstSeconds;
    }
}

bool CeilingLimiter::needsAllocation(Instant now) const
{
    return isLimited() && (!hasAllocation_ || now >= renewAt_);
}

CeilingAsk CeilingLimiter::makeCeilingRequest(PoolId pool, Instant now)
{
    const double seconds = lastRequestAt_ == Instant {} ? 1 : std::max(minDemandSeconds, toSeconds(now - lastRequestAt_));
    CeilingAsk request { pool, customer_, requestsSinceLastReport_ / seconds, tokensSinceLastReport_ / seconds, inFlight_ };
    requestsSinceLastReport_ = 0;
    tokensSinceLastReport_ = 0;
    lastRequestAt_ = now;
    return request;
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
        return exceeded(ErrorKind::NoOwner, "no valid allocation of the customer's ceiling", minRetryAfter);
    if (ceiling_.inFlight > 0 && inFlight_ >= allocation_.inFlight)
        return exceeded(ErrorKind::CeilingInFlight, "limit of requests in flight reached", inFlightRetryAfter);
    requests_.fill(now, minRequestBurst);
    tokens_.fill(now, minTokenBurst);
    if (ceiling_.requestsPerSecond > 0 && requests_.level < 1)
        return exceeded(ErrorKind::CeilingRequests, "request rate limit exceeded", timeToRefill(1 - requests_.level, requests_.rate));
    // The bucket may go below zero; otherwise a request larger than the burst could never be admitted.
    if (ceiling_.tokensPerSecond > 0 && tokens_.level <= 0)
        return exceeded(ErrorKind::CeilingTokens, "token rate limit exceeded", timeToRefill(-tokens_.level, tokens_.rate));
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
