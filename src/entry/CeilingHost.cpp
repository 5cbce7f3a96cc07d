#include "briarhitch/entry/CeilingHost.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "wire/Codec.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** A previous owner that does not know of the new assignment yet hands out allocations until its lease has ended. */
    constexpr Duration leaseAndClockDrift = 3150ms;
    /** Entries learn of an assignment with their next heartbeat; one that is silent for longer may be lost. */
    constexpr Duration syncTimeout = 500ms;
    constexpr Duration earlySyncRetention = 5s;
    constexpr size_t maxEarlySyncs = 4096;

    const Log& ceilingLog()
    {
        static const Log log("ceiling:");
        return log;
    }

    /** What changes of an account that had left `withheld` to entries, when they report `used`. */
    CeilingAmount leftOfWithheld(const CeilingAmount& withheld, const CeilingAmount& withRoom, const CeilingAmount& used)
    {
        auto leftOf = [](double all, double room, double use) {
            double usable = std::min(room, all);
            return usable - std::max(0.0, use - (all - usable));
        };
        return { leftOf(withheld.requests, withRoom.requests, used.requests), leftOf(withheld.tokens, withRoom.tokens, used.tokens) };
    }

}

std::string ceilingPoolName(CustomerId customer)
{
    return "ceiling:" + std::to_string(customer.value() % ceilingPoolCount);
}

CeilingHost::CeilingHost(const CeilingHostSettings& settings, MetricRegistry& metrics, CeilingHostHooks hooks)
    : settings_(settings)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

void CeilingHost::onConfigChange(const ClusterConfig& config)
{
    auto entries = callerServingNodes(config);
    entries_ = { entries.begin(), entries.end() };
    std::erase_if(disconnectedSince_, [&](const auto& entry) { return !entries_.contains(entry.first); });
    for (NodeId entry : entries_) {
        if (entry != settings_.self && !connected_.contains(entry))
            disconnectedSince_.try_emplace(entry, hooks_.now());
    }
    for (const auto& [id, assignment] : config.pools) {
        if (assignment.kind != PoolKind::Ceiling)
            continue;
        poolNames_[id] = assignment.name;
        if (assignment.owner == settings_.self && assignment.ownerIncarnation == settings_.incarnation)
            takeOver(assignment);
        else
            pools_.erase(assignment.name);
    }
    setCeilings(config);
    updateGainedFraction();
    replayEarlySyncs();
}

void CeilingHost::takeOver(const PoolAssignment& assignment)
{
    auto it = pools_.find(assignment.name);
    if (it != pools_.end() && it->second.epoch >= assignment.epoch)
        return;
    // In the first epoch no entry can hold an allocation of an earlier owner, and nothing was used before.
    bool isFirstOwner = assignment.epoch <= Epoch(1);
    Instant firstGrantAt = hooks_.now();
    if (!isFirstOwner)
        firstGrantAt += CeilingAllocator::allocationLifetime;
    if (assignment.previousOwner.isValid() && assignment.previousOwner != settings_.self)
        firstGrantAt += leaseAndClockDrift;
    auto& pool = pools_.insert_or_assign(assignment.name, Pool { assignment.epoch, hooks_.now(), CeilingAllocator(firstGrantAt), CeilingBuckets(settings_.tolerance) }).first->second;
    for (const auto& [customer, ceiling] : ceilings_) {
        if (ceilingPoolName(customer) != assignment.name)
            continue;
        pool.ledger.setCeiling(customer, ceiling);
        pool.buckets.setCeiling(customer, ceiling, hooks_.now());
    }
    pool.isDeciding = isFirstOwner;
    if (!isFirstOwner)
        pool.reports.awaited = entries_;
    ceilingLog().event("ceilings taken over", { { "pool", assignment.name }, { "epoch", static_cast<int64_t>(assignment.epoch.value()) }, { "previous_owner", int64_t(assignment.previousOwner.value()) }, { "awaited_entries", static_cast<int64_t>(pool.reports.awaited.size()) } });
}

void CeilingHost::setCeilings(const ClusterConfig& config)
{
    for (const auto& [id, contract] : config.customers) {
        auto [it, isNew] = ceilings_.try_emplace(id, contract.ceiling);
        if (!isNew && it->second == contract.ceiling)
            continue;
        it->second = contract.ceiling;
        auto pool = pools_.find(ceilingPoolName(id));
        if (pool == pools_.end())
            continue;
        pool->second.ledger.setCeiling(id, contract.ceiling);
        pool->second.buckets.setCeiling(id, contract.ceiling, hooks_.now());
    }
}

void CeilingHost::onSync(NodeId from, std::string_view body)
{
    auto sync = decode<CeilingSync>(body);
    if (!sync) {
        ceilingLog().warning("Ignored a report of ceilings that cannot be decoded.");
        return;
    }
    auto name = poolNames_.find(sync->pool);
    auto pool = name == poolNames_.end() ? pools_.end() : pools_.find(name->second);
    if (pool != pools_.end() && sync->epoch <= pool->second.epoch) {
        applySync(from, pool->first, pool->second, *sync);
        return;
    }
    // The entry has learned of an assignment to this node before this node has.
    auto now = hooks_.now();
    while (!earlySyncs_.empty() && (earlySyncs_.front().receivedAt < now - earlySyncRetention || earlySyncs_.size() >= maxEarlySyncs))
        earlySyncs_.pop_front();
    earlySyncs_.push_back({ now, from, std::move(*sync) });
    hooks_.onConfigOutdated();
}

void CeilingHost::replayEarlySyncs()
{
    std::erase_if(earlySyncs_, [this](const EarlySync& early) {
        auto name = poolNames_.find(early.sync.pool);
        auto pool = name == poolNames_.end() ? pools_.end() : pools_.find(name->second);
        if (pool == pools_.end() || early.sync.epoch > pool->second.epoch)
            return false;
        if (early.receivedAt >= hooks_.now() - earlySyncRetention)
            applySync(early.from, pool->first, pool->second, early.sync);
        return true;
    });
}

void CeilingHost::applySync(NodeId from, const std::string& name, Pool& pool, const CeilingSync& sync)
{
    if (pool.isDeciding) {
        settle(from, name, pool, sync);
        return;
    }
    unsettled_.erase({ from, name });
    for (const auto& account : sync.accounts) {
        pool.reports.unreportedUse[account.customer] += account.unreportedUse;
        if (account.hasLeft)
            pool.reports.left[account.customer].push_back({ account.left, account.withheld, account.withheldWithRoom, hooks_.now() - std::chrono::milliseconds(account.ageMs) });
    }
    // A report for an earlier owner lacks what this node may have decided since.
    if (sync.epoch < pool.epoch)
        return;
    pool.reports.awaited.erase(from);
    if (std::chrono::milliseconds(sync.recordedMs) < settings_.tolerance.window)
        pool.reports.hasRecentStart = true;
}

void CeilingHost::settle(NodeId entry, const std::string& name, Pool& pool, const CeilingSync& sync)
{
    auto now = hooks_.now();
    auto total = withheldTime(name, pool);
    Duration time { 0 };
    if (auto absence = unsettled_.find({ entry, name }); absence != unsettled_.end()) {
        time = withheldTime(pool, absence->second);
        unsettled_.erase(absence);
    }
    double share = total > Duration::zero() ? toSeconds(time) / toSeconds(total) : 0;
    std::map<CustomerId, CeilingAccountReport> reports;
    CeilingAmount totalUse;
    for (const auto& account : sync.accounts) {
        reports[account.customer] = account;
        totalUse += account.unreportedUse;
    }
    if (time > Duration::zero() || totalUse != CeilingAmount {})
        ceilingLog().event("part of an entry settled", { { "pool", name }, { "entry", int64_t(entry.value()) }, { "withheld_ms", toMs(time) }, { "used_tokens", totalUse.tokens } });
    for (const auto& [customer, ceiling] : ceilings_) {
        if (ceilingPoolName(customer) != name || (time <= Duration::zero() && !reports.contains(customer)))
            continue;
        const auto& report = reports[customer];
        pool.buckets.settle(customer, entryFraction(), time, share, report.unreportedUse, std::chrono::milliseconds(report.unreportedMs), now);
        countLocalUse(report.unreportedUse);
    }
}

bool CeilingHost::mayDecide(const std::string& name, Pool& pool)
{
    if (!hooks_.hasLease())
        return false;
    if (!pool.isDeciding && (pool.reports.awaited.empty() || hooks_.now() - pool.assignedAt >= syncTimeout))
        beginDeciding(name, pool);
    return pool.isDeciding;
}

void CeilingHost::beginDeciding(const std::string& name, Pool& pool)
{
    auto now = hooks_.now();
    auto reports = std::exchange(pool.reports, {});
    pool.isDeciding = true;
    bool mayMissUse = !reports.awaited.empty() || reports.hasRecentStart;
    size_t unknown = 0;
    for (const auto& [customer, ceiling] : ceilings_) {
        if (ceilingPoolName(customer) != name || ceiling == Ceiling {})
            continue;
        const auto& used = reports.unreportedUse[customer];
        countLocalUse(used);
        // An earlier report counts less use than a later one, so the one with the least left is closest.
        for (const auto& known : reports.left[customer]) {
            CeilingAmount left = known.left;
            // A silent entry may have used all that was left to it.
            left += reports.awaited.empty() ? leftOfWithheld(known.withheld, known.withheldWithRoom, used) : -used;
            pool.buckets.limitLeft(customer, left, now - known.at, now);
        }
        if (!reports.left[customer].empty())
            continue;
        if (mayMissUse) {
            pool.buckets.limitLeftAfterUnknownUse(customer, now);
            ++unknown;
        }
        pool.buckets.charge(customer, used, Duration::zero(), now);
    }
    ceilingLog().event("ceilings decided by this owner", { { "pool", name }, { "epoch", static_cast<int64_t>(pool.epoch.value()) }, { "waited_ms", toMs(now - pool.assignedAt) }, { "silent_entries", static_cast<int64_t>(reports.awaited.size()) }, { "customers_without_report", static_cast<int64_t>(unknown) } });
}

Result<std::string> CeilingHost::onAllocationRequest(NodeId from, std::string_view body)
{
    auto request = decode<CeilingRequest>(body);
    if (!request)
        return tl::unexpected(request.error());
    auto pool = pools_.find(ceilingPoolName(request->customer));
    if (pool == pools_.end() || !hooks_.hasLease())
        return encode(CeilingAllocation {});
    return encode(pool->second.ledger.allocate(from, *request, hooks_.now()));
}

Result<std::string> CeilingHost::onDebit(std::string_view body)
{
    auto debit = decode<CeilingDebit>(body);
    if (!debit)
        return tl::unexpected(debit.error());
    auto found = pools_.find(ceilingPoolName(debit->customer));
    if (found == pools_.end())
        return encode(CeilingDecision {});
    auto& [name, pool] = *found;
    if (!mayDecide(name, pool) || !pool.buckets.hasCustomer(debit->customer))
        return encode(CeilingDecision {});
    if (debit->unreportedUse != CeilingAmount {}) {
        pool.buckets.charge(debit->customer, debit->unreportedUse, std::chrono::milliseconds(debit->unreportedMs), hooks_.now());
        countLocalUse(debit->unreportedUse);
    }
    auto admitted = pool.buckets.debit(debit->customer, debit->tokens, hooks_.now());
    CeilingDecision decision;
    decision.decided = true;
    decision.admitted = admitted.has_value();
    decision.left = pool.buckets.left(debit->customer, hooks_.now());
    decision.withheld = withheldFrom(name, pool, debit->customer);
    decision.withheldWithRoom = pool.buckets.withheld(debit->customer, hooks_.now());
    if (!admitted) {
        decision.kind = admitted.error().kind;
        decision.retryAfterMs = static_cast<uint32_t>(toMs(admitted.error().retryAfter.value_or(Duration(0))));
        logReached(debit->customer, pool);
    }
    return encode(decision);
}

void CeilingHost::countLocalUse(const CeilingAmount& used)
{
    if (used.tokens > 0)
        metrics_.count("ceiling_local_tokens_total", {}, static_cast<uint64_t>(used.tokens));
}

void CeilingHost::logReached(CustomerId customer, const Pool& pool)
{
    constexpr Duration logInterval = 1s;
    auto now = hooks_.now();
    auto [last, isNew] = reachedLoggedAt_.try_emplace(customer, now);
    if (!isNew && now - last->second < logInterval)
        return;
    last->second = now;
    auto used = pool.buckets.usedInWindow(customer, now);
    auto withheld = pool.buckets.withheld(customer, now);
    ceilingLog().event("ceiling reached", { { "customer", int64_t(customer.value()) }, { "window_requests", used.requests }, { "window_tokens", used.tokens }, { "withheld_tokens", withheld.tokens }, { "disconnected_entries", static_cast<int64_t>(disconnectedSince_.size()) } });
}

void CeilingHost::onRefund(std::string_view body)
{
    auto debit = decode<CeilingDebit>(body);
    if (!debit) {
        ceilingLog().warning("Ignored a refund that cannot be decoded.");
        return;
    }
    auto pool = pools_.find(ceilingPoolName(debit->customer));
    if (pool != pools_.end())
        pool->second.buckets.refund(debit->customer, debit->tokens, hooks_.now());
}

double CeilingHost::entryFraction() const
{
    return entries_.empty() ? 0 : 1 / static_cast<double>(entries_.size());
}

Duration CeilingHost::withheldTime(const Pool& pool, const Absence& absence) const
{
    return std::clamp<Duration>(absence.until - std::max(absence.from, pool.assignedAt), Duration::zero(), settings_.tolerance.window);
}

Duration CeilingHost::withheldTime(const std::string& name, const Pool& pool) const
{
    Duration total { 0 };
    for (const auto& [entry, since] : disconnectedSince_)
        total += withheldTime(pool, { since, hooks_.now() });
    for (const auto& [key, absence] : unsettled_) {
        if (key.second == name)
            total += withheldTime(pool, absence);
    }
    return total;
}

CeilingAmount CeilingHost::withheldFrom(const std::string& name, const Pool& pool, CustomerId customer) const
{
    if (disconnectedSince_.empty() && unsettled_.empty())
        return {};
    const auto& ceiling = ceilings_.at(customer);
    double seconds = toSeconds(withheldTime(name, pool)) * entryFraction();
    return { ceiling.requestsPerSecond * seconds, ceiling.tokensPerSecond * seconds };
}

void CeilingHost::updateGainedFraction()
{
    auto fraction = std::max(0.0, 1 - entryFraction() * static_cast<double>(disconnectedSince_.size()));
    for (auto& [name, pool] : pools_)
        pool.buckets.setGainedFraction(fraction, hooks_.now());
}

void CeilingHost::onEntryConnected(NodeId node)
{
    connected_.insert(node);
    auto since = disconnectedSince_.find(node);
    if (since == disconnectedSince_.end())
        return;
    for (const auto& [name, pool] : pools_)
        unsettled_[{ node, name }] = { since->second, hooks_.now() };
    disconnectedSince_.erase(since);
    updateGainedFraction();
}

void CeilingHost::onEntryDisconnected(NodeId node)
{
    connected_.erase(node);
    if (entries_.contains(node))
        disconnectedSince_.try_emplace(node, hooks_.now());
    updateGainedFraction();
}

}
