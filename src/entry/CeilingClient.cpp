#include "briarhitch/entry/CeilingClient.h"

#include "briarhitch/entry/CeilingHost.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "wire/Codec.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration callTimeout = 500ms;
    /** Longest wait for a first portion; a link to the owner may have to be opened. */
    constexpr Duration firstPortionTime = 1s;
    constexpr Duration retryDelay = 20ms;
    /** Many times a round trip within a region. */
    constexpr Duration debitTimeout = 100ms;
    constexpr Duration silencePause = 300ms;
    /** Saved up for the time alone; the owner may have admitted the burst of the ceiling just before. */
    constexpr double aloneBurstSeconds = 0.5;

}

struct CeilingClient::Account {
    Account(Loop& loop, CustomerId customer, const Ceiling& ceiling)
        : account(customer, ceiling)
        , fetched(loop)
    {
    }

    CeilingLimiter account;
    bool isFetching { false };
    bool hasFetched { false };
    FiberEvent fetched;
};

CeilingClient::CeilingClient(Loop& loop, const ClusterView& view, NodeTransport& transport, ClockHook now)
    : loop_(loop)
    , view_(view)
    , transport_(transport)
    , now_(std::move(now))
{
}

CeilingClient::~CeilingClient() = default;

CeilingClient::Account& CeilingClient::accountOf(const Contract& contract)
{
    auto& account = accounts_[contract.customer];
    if (!account)
        account = std::make_unique<Account>(loop_, contract.customer, contract.ceiling);
    account->account.setCeiling(contract.ceiling);
    return *account;
}

Result<void> CeilingClient::enter(const Contract& contract, Tokens estimate)
{
    auto& account = accountOf(contract);
    auto admitted = account.account.admit(estimate, now_());
    bool isMissing = !admitted && admitted.error().kind == ErrorKind::NoOwner;
    if (isMissing && fetch(contract.customer))
        admitted = account.account.admit(estimate, now_());
    else if (account.account.needsAllocation(now_()))
        fetchInBackground(contract.customer);
    return admitted;
}

void CeilingClient::leave(CustomerId customer, Tokens unused)
{
    auto it = accounts_.find(customer);
    if (it != accounts_.end())
        it->second->account.finished(unused);
}

void CeilingClient::fetchInBackground(CustomerId customer)
{
    if (accounts_[customer]->isFetching)
        return;
    loop_.spawn([this, customer] { fetch(customer); });
}

bool CeilingClient::fetch(CustomerId customer)
{
    auto& account = *accounts_[customer];
    if (account.isFetching) {
        account.fetched.waitFor(firstPortionTime);
        return account.hasFetched;
    }
    account.isFetching = true;
    account.hasFetched = false;
    account.fetched.reset();
    auto end = now_() + firstPortionTime;
    while (!account.hasFetched && now_() < end) {
        account.hasFetched = fetchOnce(account, customer);
        if (!account.hasFetched)
            sleepFor(loop_, retryDelay);
    }
    account.isFetching = false;
    account.fetched.set();
    return account.hasFetched;
}

bool CeilingClient::fetchOnce(Account& account, CustomerId customer)
{
    const auto* pool = view_.findPool(ceilingPoolName(customer));
    if (!pool || !pool->owner.isValid() || !transport_.isReachable(pool->owner))
        return false;
    auto askedAt = now_();
    auto ask = account.account.makeCeilingRequest(pool->id, askedAt);
    auto answer = transport_.call(pool->owner, MessageType::CeilingAsk, encode(ask), callTimeout);
    auto portion = answer.and_then([](const std::string& body) { return decode<CeilingPortion>(body); });
    if (!portion || !portion->valid)
        return false;
    account.account.setAllocation(*portion, askedAt, now_());
    return true;
}

Result<void> CeilingClient::debit(const Contract& contract, Tokens tokens)
{
    if (contract.ceiling == Ceiling {})
        return {};
    const auto* pool = view_.findPool(ceilingPoolName(contract.customer));
    bool isSilent = !pool || !pool->owner.isValid() || now_() < silentUntil_[pool->id] || !transport_.isReachable(pool->owner);
    if (isSilent)
        return debitAlone(contract, tokens);
    auto id = pool->id;
    auto usedAlone = std::exchange(usedAlone_[contract.customer], Tokens());
    auto answer = transport_.call(pool->owner, MessageType::CeilingDebit, encode(CeilingDebit { id, contract.customer, tokens, usedAlone }), debitTimeout);
    auto decision = answer.and_then([](const std::string& body) { return decode<CeilingDecision>(body); });
    if (!decision || !decision->decided) {
        silentUntil_[id] = now_() + silencePause;
        usedAlone_[contract.customer] += usedAlone;
        return debitAlone(contract, tokens);
    }
    if (decision->admitted)
        return {};
    auto error = makeError(decision->kind, "the customer's ceiling is reached");
    error.retryAfter = std::chrono::milliseconds(decision->retryAfterMs);
    return tl::unexpected(error);
}

Result<void> CeilingClient::debitAlone(const Contract& contract, Tokens tokens)
{
    auto part = contract.ceiling;
    auto divisor = static_cast<double>(view_.entryCount());
    part.requestsPerSecond /= divisor;
    part.tokensPerSecond /= divisor;
    part.burst = aloneBurstSeconds * std::max(part.requestsPerSecond, part.tokensPerSecond);
    alone_.setCeiling(contract.customer, part, now_());
    auto admitted = alone_.debit(contract.customer, tokens, now_());
    if (admitted)
        usedAlone_[contract.customer] += tokens;
    return admitted;
}

void CeilingClient::refund(const Contract& contract, Tokens tokens)
{
    const auto* pool = view_.findPool(ceilingPoolName(contract.customer));
    if (contract.ceiling == Ceiling {} || !pool || !pool->owner.isValid())
        return;
    transport_.post(pool->owner, MessageType::CeilingRefund, encode(CeilingDebit { pool->id, contract.customer, tokens, Tokens() }));
}

}
