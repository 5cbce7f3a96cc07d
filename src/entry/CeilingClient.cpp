#include "briarhitch/entry/CeilingClient.h"

#include "briarhitch/core/Digest.h"
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
    /** A new owner waits for reports of all entries, which takes about the interval of heartbeats. */
    constexpr Duration undecidedOwnerPause = 50ms;

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

CeilingClient::CeilingClient(Loop& loop, const CeilingClientSettings& settings, const ClusterView& view, NodeTransport& transport, MetricRegistry& metrics, ClockHook now)
    : loop_(loop)
    , settings_(settings)
    , view_(view)
    , transport_(transport)
    , metrics_(metrics)
    , now_(std::move(now))
    , startedAt_(now_())
    , shares_(settings.tolerance)
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
    if (!pool || !pool->owner.isValid() || !transport_.isReachable(pool->owner)) {
        if (pool)
            pools_[pool->id].isUnresponsive = false;
        return debitLocally(contract, tokens, pool, "no link to the owner");
    }
    auto id = pool->id;
    if (now_() < pools_[id].skipOwnerUntil)
        return debitLocally(contract, tokens, pool, "the owner did not decide");
    auto& customer = customers_[contract.customer];
    auto reported = std::exchange(customer.unreportedUse, {});
    auto reportedSince = customer.unreportedSince;
    auto reportedMs = reported == CeilingAmount {} ? 0 : clampMs(now_() - reportedSince);
    auto reply = transport_.call(pool->owner, MessageType::CeilingDebit, encode(CeilingDebit { id, contract.customer, tokens, reported, reportedMs }), debitTimeout);
    auto decision = reply.and_then([](const std::string& body) { return decode<CeilingDecision>(body); });
    // The assignment may have changed while this fiber waited.
    pool = view_.findPool(ceilingPoolName(contract.customer));
    auto& record = pools_[id];
    if (!decision || !decision->decided) {
        addUnreportedUse(customer, reported, reportedSince);
        record.isUnresponsive = !decision;
        record.skipOwnerUntil = now_() + (decision ? undecidedOwnerPause : unresponsiveOwnerPause);
        return debitLocally(contract, tokens, pool, decision ? "the owner does not decide yet" : "no reply from the owner");
    }
    endLocalPeriod(*pool, record);
    customer.left = decision->left;
    customer.withheld = decision->withheld;
    customer.withheldWithRoom = decision->withheldWithRoom;
    customer.leftAt = now_();
    customer.shareBegunFor.reset();
    CeilingVerdict verdict { {}, CeilingDecider::Owner, decision->left };
    if (decision->admitted)
        return verdict;
    auto error = makeError(decision->kind, "the customer has reached its ceiling");
    error.retryAfter = std::chrono::milliseconds(decision->retryAfterMs);
    verdict.admission = tl::unexpected(error);
    return verdict;
}

void CeilingClient::addUnreportedUse(CustomerRecord& customer, const CeilingAmount& use, Instant since)
{
    if (customer.unreportedUse == CeilingAmount {} || since < customer.unreportedSince)
        customer.unreportedSince = since;
    customer.unreportedUse += use;
}

void CeilingClient::beginLocalPeriod(const PoolAssignment& pool, PoolRecord& record, std::string_view reason)
{
    auto now = now_();
    bool continues = record.localSince && now - record.lastLocalDecisionAt < settings_.tolerance.window;
    record.lastLocalDecisionAt = now;
    if (continues)
        return;
    record.localSince = now;
    ceilingLog().event("ceilings decided locally", { { "pool", pool.name }, { "owner", int64_t(pool.owner.value()) }, { "epoch", static_cast<int64_t>(pool.epoch.value()) }, { "reason", std::string(reason) } });
}

void CeilingClient::endLocalPeriod(const PoolAssignment& pool, PoolRecord& record)
{
    record.isUnresponsive = false;
    if (!record.localSince)
        return;
    ceilingLog().event("ceilings decided by the owner", { { "pool", pool.name }, { "owner", int64_t(pool.owner.value()) }, { "epoch", static_cast<int64_t>(pool.epoch.value()) }, { "local_ms", toMs(now_() - *record.localSince) } });
    record.localSince.reset();
}

CeilingShare CeilingClient::shareOf(const Contract& contract, const PoolRecord& pool) const
{
    constexpr double middle = 0.5;
    auto hashOf = [&](NodeId node) { return stableHash(contract.name, node.value()); };
    auto entries = callerServingNodes(view_.config());
    auto before = std::count_if(entries.begin(), entries.end(), [&](NodeId node) { return hashOf(node) < hashOf(settings_.self); });
    CeilingShare share;
    share.entries = std::max<size_t>(1, entries.size());
    share.position = (static_cast<double>(before) + middle) / static_cast<double>(share.entries);
    // An owner that still has a link to this entry may admit requests of others at the full rate.
    if (pool.isUnresponsive)
        share.rateFraction = isExhausted(contract) ? 0 : CeilingExcessFractions::unresponsiveOwnerRate;
    return share;
}

bool CeilingClient::isExhausted(const Contract& contract) const
{
    auto it = customers_.find(contract.customer);
    if (it == customers_.end() || !it->second.leftAt || now_() - *it->second.leftAt >= settings_.tolerance.window)
        return false;
    const auto& left = it->second.left;
    return (contract.ceiling.tokensPerSecond > 0 && left.tokens <= 0) || (contract.ceiling.requestsPerSecond > 0 && left.requests <= 0);
}

CeilingVerdict CeilingClient::debitLocally(const Contract& contract, Tokens tokens, const PoolAssignment* pool, std::string_view reason)
{
    auto& record = pools_[pool ? pool->id : PoolId()];
    if (pool)
        beginLocalPeriod(*pool, record, reason);
    auto& customer = customers_[contract.customer];
    auto share = shareOf(contract, record);
    if (!customer.shareBegunFor || customer.shareBegunFor != record.localSince) {
        bool mayTopUp = customer.unreportedUse == CeilingAmount {} && !isExhausted(contract);
        shares_.begin(contract.customer, contract.ceiling, share, mayTopUp, now_());
        customer.shareBegunFor = record.localSince;
    }
    auto admitted = shares_.debit(contract.customer, contract.ceiling, share, tokens, now_());
    if (admitted)
        addUnreportedUse(customer, { 1, static_cast<double>(tokens.value()) }, now_());
    return { std::move(admitted), CeilingDecider::Entry, shares_.left(contract.customer) };
}

void CeilingClient::refund(const Contract& contract, Tokens tokens, CeilingDecider decider)
{
    const auto* pool = view_.findPool(ceilingPoolName(contract.customer));
    if (decider == CeilingDecider::None)
        return;
    if (decider == CeilingDecider::Owner && pool && pool->owner.isValid()
        && transport_.postToOwner(pool->owner, MessageType::CeilingRefund, encode(CeilingDebit { pool->id, contract.customer, tokens, {} })))
        return;
    if (decider == CeilingDecider::Entry)
        shares_.refund(contract.customer, tokens);
    customers_[contract.customer].unreportedUse += { -1, -static_cast<double>(tokens.value()) };
}

void CeilingClient::onConfigChange(const ClusterConfig& config)
{
    for (const auto& [id, assignment] : config.pools) {
        if (assignment.kind != PoolKind::Ceiling)
            continue;
        auto& record = pools_[id];
        if (record.epoch >= assignment.epoch && record.owner == assignment.owner)
            continue;
        record.epoch = assignment.epoch;
        record.owner = assignment.owner;
        record.skipOwnerUntil = {};
        record.isUnresponsive = false;
        // Without a link one is opened, and the report follows then.
        if (assignment.owner.isValid() && transport_.isReachable(assignment.owner))
            sendSync(id);
    }
}

void CeilingClient::onOutgoingLinkOpen(NodeId node)
{
    for (auto& [id, record] : pools_) {
        if (record.owner != node)
            continue;
        record.skipOwnerUntil = {};
        sendSync(id);
    }
}

void CeilingClient::sendSync(PoolId pool)
{
    const auto& record = pools_[pool];
    auto now = now_();
    CeilingSync sync { pool, record.epoch, clampMs(now - startedAt_), {} };
    const auto assigned = view_.config().pools.find(pool);
    if (assigned == view_.config().pools.end())
        return;
    std::vector<CustomerId> reported;
    for (const auto& [id, customer] : customers_) {
        // Later than a window after the last decision, a customer has used nothing that still counts.
        bool hasLeft = customer.leftAt && now - *customer.leftAt < settings_.tolerance.window;
        if (ceilingPoolName(id) != assigned->second.name || (!hasLeft && customer.unreportedUse == CeilingAmount {}))
            continue;
        auto unreportedMs = customer.unreportedUse == CeilingAmount {} ? 0 : clampMs(now - customer.unreportedSince);
        sync.accounts.push_back({ id, hasLeft, customer.left, customer.withheld, hasLeft ? clampMs(now - *customer.leftAt) : 0, customer.unreportedUse, unreportedMs, customer.withheldWithRoom });
        reported.push_back(id);
    }
    if (!transport_.postToOwner(record.owner, MessageType::CeilingSync, encode(sync)))
        return;
    for (auto id : reported)
        customers_[id].unreportedUse = {};
}

}
