#include "briarhitch/entry/CeilingClient.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/entry/CeilingHost.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "wire/Codec.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration callTimeout = 500ms;
    /** Longest wait for the first allocation; a link to the owner may have to be opened. */
    constexpr Duration firstAllocationTimeout = 1s;
    constexpr Duration retryDelay = 20ms;
    /** Many times the round-trip time within a region. */
    constexpr Duration debitTimeout = 100ms;
    constexpr Duration unresponsiveOwnerPause = 300ms;
    /** Burst for local decisions; short, because the owner may have admitted the ceiling's full burst just before. */
    constexpr double localBurstSeconds = 0.5;

    const Log& ceilingLog()
    {
        static const Log log("ceiling:");
        return log;
    }

}

struct CeilingClient::Account {
    Account(Loop& loop, CustomerId customer, const Ceiling& ceiling)
        : account(customer, ceiling)
        , fetchEnded(loop)
    {
    }

    CeilingLimiter account;
    bool isFetching { false };
    bool hasFetched { false };
    FiberEvent fetchEnded;
};

CeilingClient::CeilingClient(Loop& loop, const ClusterView& view, NodeTransport& transport, MetricRegistry& metrics, ClockHook now)
    : loop_(loop)
    , view_(view)
    , transport_(transport)
    , metrics_(metrics)
    , now_(std::move(now))
{
}

CeilingClient::~CeilingClient() = default;

CeilingClient::Account& CeilingClient::findOrCreateAccount(const Contract& contract)
{
    auto& account = accounts_[contract.customer];
    if (!account)
        account = std::make_unique<Account>(loop_, contract.customer, contract.ceiling);
    account->account.setCeiling(contract.ceiling);
    return *account;
}

Result<void> CeilingClient::admit(const Contract& contract, Tokens estimate)
{
    auto& account = findOrCreateAccount(contract);
    auto admitted = account.account.admit(estimate, now_());
    bool isMissing = !admitted && admitted.error().kind == ErrorKind::NoOwner;
    if (isMissing && fetchAllocation(contract.customer))
        admitted = account.account.admit(estimate, now_());
    else if (account.account.needsAllocation(now_()))
        fetchAllocationInBackground(contract.customer);
    return admitted;
}

void CeilingClient::release(CustomerId customer, Tokens unusedTokens)
{
    auto it = accounts_.find(customer);
    if (it != accounts_.end())
        it->second->account.finished(unusedTokens);
}

void CeilingClient::fetchAllocationInBackground(CustomerId customer)
{
    if (accounts_[customer]->isFetching)
        return;
    loop_.spawn([this, customer] { fetchAllocation(customer); });
}

bool CeilingClient::fetchAllocation(CustomerId customer)
{
    auto& account = *accounts_[customer];
    if (account.isFetching) {
        account.fetchEnded.waitFor(firstAllocationTimeout);
        return account.hasFetched;
    }
    account.isFetching = true;
    account.hasFetched = false;
    account.fetchEnded.reset();
    auto end = now_() + firstAllocationTimeout;
    while (!account.hasFetched && now_() < end) {
        account.hasFetched = requestAllocation(account, customer);
        if (!account.hasFetched)
            sleepFor(loop_, retryDelay);
    }
    account.isFetching = false;
    account.fetchEnded.set();
    return account.hasFetched;
}

bool CeilingClient::requestAllocation(Account& account, CustomerId customer)
{
    const auto* pool = view_.findPool(ceilingPoolName(customer));
    if (!pool || !pool->owner.isValid() || !transport_.isReachable(pool->owner))
        return false;
    auto requestedAt = now_();
    auto request = account.account.makeCeilingRequest(pool->id, requestedAt);
    auto reply = transport_.call(pool->owner, MessageType::CeilingRequest, encode(request), callTimeout);
    auto allocation = reply.and_then([](const std::string& body) { return decode<CeilingAllocation>(body); });
    if (!allocation || !allocation->valid)
        return false;
    account.account.setAllocation(*allocation, requestedAt, now_());
    return true;
}

CeilingVerdict CeilingClient::debit(const Contract& contract, Tokens tokens)
{
    if (contract.ceiling == Ceiling {})
        return {};
    auto verdict = decide(contract, tokens);
    auto by = "by=\"" + std::string(toString(verdict.decider)) + "\"";
    metrics_.count("ceiling_decisions_total", by + (verdict.admission ? ",result=\"admitted\"" : ",result=\"refused\""));
    if (verdict.admission)
        metrics_.count("ceiling_admitted_tokens_total", by, static_cast<uint64_t>(std::max<int64_t>(0, tokens.value())));
    return verdict;
}

CeilingVerdict CeilingClient::decide(const Contract& contract, Tokens tokens)
{
    const auto* pool = view_.findPool(ceilingPoolName(contract.customer));
    bool isOwnerUnavailable = !pool || !pool->owner.isValid() || now_() < skipOwnerUntil_[pool->id] || !transport_.isReachable(pool->owner);
    if (isOwnerUnavailable) {
        recordDecider(pool, CeilingDecider::Entry, "no link to the owner");
        return debitLocally(contract, tokens);
    }
    auto id = pool->id;
    auto admittedLocally = std::exchange(locallyAdmitted_[contract.customer], Tokens());
    auto reply = transport_.call(pool->owner, MessageType::CeilingDebit, encode(CeilingDebit { id, contract.customer, tokens, admittedLocally }), debitTimeout);
    auto decision = reply.and_then([](const std::string& body) { return decode<CeilingDecision>(body); });
    // The configuration may have changed while this fiber waited.
    pool = view_.findPool(ceilingPoolName(contract.customer));
    if (!decision || !decision->decided) {
        skipOwnerUntil_[id] = now_() + unresponsiveOwnerPause;
        locallyAdmitted_[contract.customer] += admittedLocally;
        recordDecider(pool, CeilingDecider::Entry, decision ? "the owner does not decide" : "no reply from the owner");
        return debitLocally(contract, tokens);
    }
    recordDecider(pool, CeilingDecider::Owner, {});
    CeilingVerdict verdict { {}, CeilingDecider::Owner, decision->tokensLeft };
    if (decision->admitted)
        return verdict;
    auto error = makeError(decision->kind, "the customer has reached its ceiling");
    error.retryAfter = std::chrono::milliseconds(decision->retryAfterMs);
    verdict.admission = tl::unexpected(error);
    return verdict;
}

void CeilingClient::recordDecider(const PoolAssignment* pool, CeilingDecider decider, std::string_view reason)
{
    if (!pool)
        return;
    auto since = localSince_.find(pool->id);
    bool wasLocal = since != localSince_.end();
    if (wasLocal == (decider == CeilingDecider::Entry))
        return;
    LogFields fields { { "pool", pool->name }, { "owner", int64_t(pool->owner.value()) }, { "epoch", static_cast<int64_t>(pool->epoch.value()) } };
    if (wasLocal) {
        fields.emplace_back("local_ms", toMs(now_() - since->second));
        localSince_.erase(since);
        ceilingLog().event("ceilings decided by the owner", fields);
        return;
    }
    fields.emplace_back("reason", std::string(reason));
    localSince_[pool->id] = now_();
    ceilingLog().event("ceilings decided locally", fields);
}

CeilingVerdict CeilingClient::debitLocally(const Contract& contract, Tokens tokens)
{
    auto localCeiling = contract.ceiling;
    auto entryCount = static_cast<double>(view_.entryCount());
    localCeiling.requestsPerSecond /= entryCount;
    localCeiling.tokensPerSecond /= entryCount;
    localCeiling.burst = localBurstSeconds * std::max(localCeiling.requestsPerSecond, localCeiling.tokensPerSecond);
    localBuckets_.setCeiling(contract.customer, localCeiling, now_());
    auto admitted = localBuckets_.debit(contract.customer, tokens, now_());
    if (admitted)
        locallyAdmitted_[contract.customer] += tokens;
    return { std::move(admitted), CeilingDecider::Entry, localBuckets_.tokensLeft(contract.customer, now_()) };
}

void CeilingClient::refund(const Contract& contract, Tokens tokens)
{
    const auto* pool = view_.findPool(ceilingPoolName(contract.customer));
    if (contract.ceiling == Ceiling {} || !pool || !pool->owner.isValid())
        return;
    transport_.postToOwner(pool->owner, MessageType::CeilingRefund, encode(CeilingDebit { pool->id, contract.customer, tokens, Tokens() }));
}

}
