#include "briarhitch/sched/CeilingBuckets.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration minRetryAfter = 50ms;
    constexpr Duration maxRetryAfter = 60s;
    /** Callers that return later than this after there is room again would leave it unused. */
    constexpr double maxReturningSeconds = 2;
    /** Entries report what they admitted locally at most this long after it: the longest lease with clock drift. */
    constexpr Duration reportDelay = 3150ms;

    tl::unexpected<Error> exceeded(ErrorKind kind, const char* message, Duration retryAfter)
    {
        auto error = makeError(kind, message);
        error.retryAfter = std::clamp<Duration>(retryAfter, minRetryAfter, maxRetryAfter);
        return tl::unexpected<Error>(error);
    }

}

void CeilingBuckets::Bucket::gain(double amount, double withheldAmount, Instant now)
{
    auto filled = level + amount;
    auto unreduced = std::min(capacity, filled + withheld + withheldAmount);
    level = std::min(capacity, filled);
    withheld = unreduced - level;
    hiddenUse = std::max(0.0, hiddenUse - amount);
    returning = std::max(0.0, returning - amount);
    if (filled <= level)
        return;
    unusedGain.add(filled - level, now);
    reportableGain.add(filled - level, now);
}

bool CeilingBuckets::Bucket::admits(double size, Instant now)
{
    // What a large request exceeds the level by, it saved in the last window and owes afterwards.
    return rate <= 0 || (level > 0 && size <= level + overdraft + unusedGain.sum(now));
}

void CeilingBuckets::Bucket::debit(double size, Instant now)
{
    level -= size;
    used.add(size, now);
}

void CeilingBuckets::Bucket::refund(double size)
{
    level = std::min(capacity, level + size);
    withheld = std::min(withheld, capacity - level);
}

void CeilingBuckets::Bucket::charge(double size, Duration time, Instant now)
{
    // While entries decided locally, this bucket gained what they used, and may have had no room for it.
    double unused = std::min(reportableGain.sumSince(now - time, now), size);
    reportableGain.add(-unused, now);
    level -= size - unused;
}

void CeilingBuckets::Bucket::settle(double amount, double share, double used, Duration usedTime, Instant now)
{
    double withRoom = std::min(amount, withheld * share);
    // What there was no room for could only be used by the entry, and does not count against the rest.
    double balance = withRoom - std::max(0.0, used - (amount - withRoom));
    withheld -= withRoom;
    if (balance >= 0)
        refund(balance);
    else
        charge(-balance, usedTime, now);
}

Duration CeilingBuckets::Bucket::reserveReturn(double size)
{
    if (rate <= 0)
        return maxRetryAfter;
    double missing = std::max({ 0.0, -level, size - level - overdraft });
    auto wait = fromSeconds(std::min((missing + returning) / rate, toSeconds(maxRetryAfter)));
    returning = std::min(rate * maxReturningSeconds, returning + size);
    return wait;
}

CeilingBuckets::CeilingBuckets(const CeilingTolerance& tolerance)
    : tolerance_(tolerance)
{
}

void CeilingBuckets::fill(Bucket& bucket, Instant now) const
{
    double gained = bucket.rate * toSeconds(now - bucket.filledAt);
    bucket.gain(gainedFraction_ * gained, (1 - gainedFraction_) * gained, now);
    bucket.filledAt = now;
}

CeilingBuckets::Account* CeilingBuckets::findFilled(CustomerId customer, Instant now)
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return nullptr;
    fill(it->second.requests, now);
    fill(it->second.tokens, now);
    return &it->second;
}

void CeilingBuckets::setBucket(Bucket& bucket, double rate, double burst, bool isNew, Instant now) const
{
    const double excess = tolerance_.excess(rate, burst);
    const double capacity = burst + CeilingExcessFractions::owner * excess;
    if (isNew) {
        bucket = {};
        bucket.level = capacity;
        bucket.used = SlidingSum(tolerance_.window);
        bucket.reportableGain = SlidingSum(reportDelay);
        bucket.unusedGain = SlidingSum(tolerance_.window);
        bucket.unusedGain.addEvenly(rate * toSeconds(tolerance_.window), now);
        bucket.filledAt = now;
    } else {
        fill(bucket, now);
        // What the customer has used counts towards the new ceiling, but a lower one does not leave it in debt.
        const double used = bucket.capacity - bucket.level + bucket.hiddenUse;
        bucket.level = std::min(capacity, std::max(std::min(bucket.level, capacity), capacity - used));
        bucket.hiddenUse = std::max(0.0, used - (capacity - bucket.level));
    }
    bucket.rate = rate;
    bucket.capacity = capacity;
    bucket.withheld = std::min(bucket.withheld, capacity - bucket.level);
    bucket.overdraft = CeilingExcessFractions::overdraft * excess;
}

void CeilingBuckets::setCeiling(CustomerId customer, const Ceiling& ceiling, Instant now)
{
    auto [it, isNew] = accounts_.try_emplace(customer);
    setBucket(it->second.requests, ceiling.requestsPerSecond, ceiling.burstFor(ceiling.requestsPerSecond), isNew, now);
    setBucket(it->second.tokens, ceiling.tokensPerSecond, ceiling.burstFor(ceiling.tokensPerSecond), isNew, now);
}

void CeilingBuckets::limitLeft(CustomerId customer, const CeilingAmount& left, Duration age, Instant now)
{
    auto* account = findFilled(customer, now);
    if (!account)
        return;
    auto limit = [&](Bucket& bucket, double amount) {
        bucket.level = std::min(bucket.level, amount + bucket.rate * toSeconds(age));
        bucket.unusedGain = SlidingSum(tolerance_.window);
    };
    limit(account->requests, left.requests);
    limit(account->tokens, left.tokens);
}

void CeilingBuckets::limitLeftAfterUnknownUse(CustomerId customer, Instant now)
{
    auto* account = findFilled(customer, now);
    if (!account)
        return;
    auto leftOf = [](const Bucket& bucket) { return bucket.overdraft / CeilingExcessFractions::overdraft * CeilingExcessFractions::unknownUse; };
    limitLeft(customer, { leftOf(account->requests), leftOf(account->tokens) }, Duration(0), now);
}

void CeilingBuckets::setGainedFraction(double fraction, Instant now)
{
    for (auto& [customer, account] : accounts_)
        findFilled(customer, now);
    gainedFraction_ = fraction;
}

void CeilingBuckets::settle(CustomerId customer, double fraction, Duration time, double share, const CeilingAmount& used, Duration usedTime, Instant now)
{
    auto* account = findFilled(customer, now);
    if (!account)
        return;
    account->requests.used.add(used.requests, now);
    account->tokens.used.add(used.tokens, now);
    auto seconds = fraction * toSeconds(std::min(time, tolerance_.window));
    account->requests.settle(account->requests.rate * seconds, share, used.requests, usedTime, now);
    account->tokens.settle(account->tokens.rate * seconds, share, used.tokens, usedTime, now);
}

CeilingAmount CeilingBuckets::withheld(CustomerId customer, Instant now) const
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return {};
    auto account = it->second;
    fill(account.requests, now);
    fill(account.tokens, now);
    return { account.requests.withheld, account.tokens.withheld };
}

Result<void> CeilingBuckets::debit(CustomerId customer, Tokens tokens, Instant now)
{
    auto* account = findFilled(customer, now);
    if (!account)
        return fail(ErrorKind::NoOwner, "the ceiling's owner has not received this customer's contract yet");
    const auto size = static_cast<double>(tokens.value());
    if (!account->requests.admits(1, now))
        return exceeded(ErrorKind::CeilingRequests, "request rate limit exceeded", account->requests.reserveReturn(1));
    if (!account->tokens.admits(size, now))
        return exceeded(ErrorKind::CeilingTokens, "token rate limit exceeded", account->tokens.reserveReturn(size));
    account->requests.debit(1, now);
    account->tokens.debit(size, now);
    return {};
}

void CeilingBuckets::refund(CustomerId customer, Tokens tokens, Instant now)
{
    charge(customer, { -1, -static_cast<double>(tokens.value()) }, Duration::zero(), now);
}

void CeilingBuckets::charge(CustomerId customer, const CeilingAmount& used, Duration time, Instant now)
{
    auto* account = findFilled(customer, now);
    if (!account)
        return;
    auto chargeTo = [&](Bucket& bucket, double amount) {
        bucket.used.add(amount, now);
        if (amount < 0)
            bucket.refund(-amount);
        else
            bucket.charge(amount, time, now);
    };
    chargeTo(account->requests, used.requests);
    chargeTo(account->tokens, used.tokens);
}

CeilingAmount CeilingBuckets::usedInWindow(CustomerId customer, Instant now) const
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return {};
    auto account = it->second;
    return { account.requests.used.sum(now), account.tokens.used.sum(now) };
}

CeilingAmount CeilingBuckets::left(CustomerId customer, Instant now) const
{
    auto it = accounts_.find(customer);
    if (it == accounts_.end())
        return {};
    auto account = it->second;
    fill(account.requests, now);
    fill(account.tokens, now);
    return { account.requests.level, account.tokens.level };
}

}
