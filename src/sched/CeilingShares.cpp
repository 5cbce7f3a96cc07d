#include "briarhitch/sched/CeilingShares.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration minRetryAfter = 50ms;
    /** By then the owner, or another entry, can usually decide. */
    constexpr Duration maxRetryAfter = 2s;

    tl::unexpected<Error> exceeded(ErrorKind kind, const char* message, double missing, double rate)
    {
        auto error = makeError(kind, message);
        error.retryAfter = std::clamp<Duration>(fromSeconds(std::min(missing / rate, toSeconds(maxRetryAfter))), minRetryAfter, maxRetryAfter);
        return tl::unexpected<Error>(error);
    }

}

CeilingShares::CeilingShares(const CeilingTolerance& tolerance)
    : tolerance_(tolerance)
{
}

CeilingAmount CeilingShares::startAmount(const Ceiling& ceiling, const CeilingShare& share) const
{
    auto startOf = [&](double rate) { return CeilingExcessFractions::localDecisions * tolerance_.excess(rate, ceiling.burstFor(rate)) / static_cast<double>(share.entries); };
    return { startOf(ceiling.requestsPerSecond), startOf(ceiling.tokensPerSecond) };
}

void CeilingShares::begin(CustomerId customer, const Ceiling& ceiling, const CeilingShare& share, bool mayTopUp, Instant now)
{
    auto start = startAmount(ceiling, share);
    auto [it, isNew] = accounts_.try_emplace(customer);
    auto& account = it->second;
    if (!isNew && !mayTopUp)
        start = { std::min(start.requests, account.left.requests), std::min(start.tokens, account.left.tokens) };
    account = { start, now };
}

void CeilingShares::fill(Account& account, const Ceiling& ceiling, const CeilingShare& share, Instant now) const
{
    auto start = startAmount(ceiling, share);
    auto addGain = [&](double& left, double rate, double startLeft) {
        double shareRate = rate / static_cast<double>(share.entries);
        // An entry keeps what it did not use since it began to decide, since a request may be larger than its share of a second.
        left = std::min(left + shareRate * share.rateFraction * toSeconds(now - account.filledAt), startLeft + shareRate * toSeconds(tolerance_.window));
    };
    addGain(account.left.requests, ceiling.requestsPerSecond, start.requests);
    addGain(account.left.tokens, ceiling.tokensPerSecond, start.tokens);
    account.filledAt = now;
}

Result<void> CeilingShares::debit(CustomerId customer, const Ceiling& ceiling, const CeilingShare& share, Tokens tokens, Instant now)
{
    auto& account = accounts_[customer];
    fill(account, ceiling, share, now);
    const auto size = static_cast<double>(tokens.value());
    // A request needs only a part of its size, a different one at each entry: where shares are smaller than a request, as
    // many entries admit one as the sum of the shares covers.
    double missingRequests = share.position - account.left.requests;
    double missingTokens = share.position * size - account.left.tokens;
    if (ceiling.requestsPerSecond > 0 && missingRequests > 0)
        return exceeded(ErrorKind::CeilingRequests, "request rate limit exceeded", missingRequests, ceiling.requestsPerSecond);
    if (ceiling.tokensPerSecond > 0 && missingTokens > 0)
        return exceeded(ErrorKind::CeilingTokens, "token rate limit exceeded", missingTokens, ceiling.tokensPerSecond);
    account.left += { -1, -size };
    return {};
}

void CeilingShares::refund(CustomerId customer, Tokens tokens)
{
    if (auto it = accounts_.find(customer); it != accounts_.end())
        it->second.left += { 1, static_cast<double>(tokens.value()) };
}

CeilingAmount CeilingShares::left(CustomerId customer) const
{
    auto it = accounts_.find(customer);
    return it == accounts_.end() ? CeilingAmount {} : it->second.left;
}

}
