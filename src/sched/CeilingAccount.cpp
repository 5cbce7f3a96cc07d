#include "briarhitch/sched/CeilingAccount.h"

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

void CeilingAccount::Bucket::fill(Instant now, double leastBurst)
{
    level = std::min(level + rate * toSeconds(now - filledAt), std::max(leastBurst, rate * burstSeconds));
    filledAt = now;
}

void CeilingAccount::Bucket::setRate(double newRate, Instant now, double leastBurst)
{
    fill(now, leastBurst);
    rate = newRate;
    level = std::min(level, std::max(leastBurst, rate * burstSeconds));
}

CeilingAccount::CeilingAccount(CustomerId customer, const Ceiling& ceiling)
    : customer_(customer)
    , ceiling_(ceiling)
{
}

void CeilingAccount::setPortion(const CeilingAllocation& portion, Instant askedAt, Instant now)
{
    if (!portion.valid)
        return;
    const bool isFirst = !hasPortion_;
    portion_ = portion.allocation;
    hasPortion_ = true;
    const auto lifetime = std::chrono::milliseconds(portion.validMs);
    renewAt_ = askedAt + lifetime / 2;
    usableUntil_ = askedAt + std::max<Duration>(lifetime, graceTime);
    requests_.setRate(portion_.requestsPerSecond, now, leastRequestBurst);
    tokens_.setRate(portion_.tokensPerSecond, now, leastTokenBurst);
    if (isFirst) {
        // The first portion is for a second from now on, and may be used at once.
        requests_.level = requests_.rate * burstSeconds;
        tokens_.level = tokens_.rate * burstSeconds;
    }
}

bool CeilingAccount::needsPortion(Instant now) const
{
    return isLimited() && (!hasPortion_ || now >= renewAt_);
}

CeilingRequest CeilingAccount::makeAsk(PoolId pool, Instant now)
{
    const double seconds = askedAt_ == Instant {} ? 1 : std::max(leastDemandSeconds, toSeconds(now - askedAt_));
    CeilingRequest ask { pool, customer_, requestsSinceAsk_ / seconds, tokensSinceAsk_ / seconds, inFlight_ };
    requestsSinceAsk_ = 0;
    tokensSinceAsk_ = 0;
    askedAt_ = now;
    return ask;
}

Result<void> CeilingAccount::admit(Tokens tokens, Instant now)
{
    const auto size = static_cast<double>(tokens.value());
    requestsSinceAsk_ += 1;
    tokensSinceAsk_ += size;
    if (!isLimited()) {
        ++inFlight_;
        return {};
    }
    if (!hasPortion_ || now >= usableUntil_)
        return exceeded(ErrorKind::NoOwner, "no portion of the customer's ceiling", shortestRetry);
    if (ceiling_.inFlight > 0 && inFlight_ >= portion_.inFlight)
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

void CeilingAccount::finished(Tokens unused)
{
    assert(inFlight_ > 0);
    --inFlight_;
    if (ceiling_.tokensPerSecond > 0)
        tokens_.level += static_cast<double>(std::max<int64_t>(0, unused.value()));
}

}
