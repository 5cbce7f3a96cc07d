#include "briarhitch/entry/CeilingHost.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "wire/Codec.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** A previous owner that does not know of the new assignment yet hands out allocations until its lease has ended. */
    constexpr Duration leaseAndClockDrift = 3150ms;

    const Log& ceilingLog()
    {
        static const Log log("ceiling:");
        return log;
    }

}

std::string ceilingPoolName(CustomerId customer)
{
    return "ceiling:" + std::to_string(customer.value() % ceilingPoolCount);
}

CeilingHost::CeilingHost(NodeId self, Incarnation incarnation, std::function<bool()> hasLease, MetricRegistry& metrics, ClockHook now, CeilingTolerance tolerance)
    : self_(self)
    , incarnation_(incarnation)
    , hasLease_(std::move(hasLease))
    , metrics_(metrics)
    , now_(std::move(now))
    , tolerance_(tolerance)
{
}

void CeilingHost::onConfigChange(const ClusterConfig& config)
{
    for (const auto& [id, assignment] : config.pools) {
        if (assignment.kind != PoolKind::Ceiling)
            continue;
        if (assignment.owner == self_ && assignment.ownerIncarnation == incarnation_)
            takeOver(assignment);
        else
            pools_.erase(assignment.name);
    }
    setCeilings(config);
}

void CeilingHost::takeOver(const PoolAssignment& assignment)
{
    auto it = pools_.find(assignment.name);
    if (it != pools_.end() && it->second.epoch >= assignment.epoch)
        return;
    Instant firstGrantAt = now_();
    // In the first epoch no entry can hold an allocation of an earlier owner.
    if (assignment.epoch > Epoch(1))
        firstGrantAt += CeilingAllocator::allocationLifetime;
    if (assignment.previousOwner.isValid() && assignment.previousOwner != self_)
        firstGrantAt += leaseAndClockDrift;
    auto& pool = pools_.insert_or_assign(assignment.name, Pool { assignment.epoch, CeilingAllocator(firstGrantAt), CeilingBuckets(tolerance_, assignment.epoch > Epoch(1)) }).first->second;
    for (const auto& [customer, ceiling] : ceilings_) {
        if (ceilingPoolName(customer) != assignment.name)
            continue;
        pool.ledger.setCeiling(customer, ceiling);
        pool.buckets.setCeiling(customer, ceiling, now_());
    }
    ceilingLog().event("ceilings taken over", { { "pool", assignment.name }, { "epoch", static_cast<int64_t>(assignment.epoch.value()) }, { "previous_owner", int64_t(assignment.previousOwner.value()) } });
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
        pool->second.buckets.setCeiling(id, contract.ceiling, now_());
    }
}

Result<std::string> CeilingHost::onAllocationRequest(NodeId from, std::string_view body)
{
    auto request = decode<CeilingRequest>(body);
    if (!request)
        return tl::unexpected(request.error());
    auto pool = pools_.find(ceilingPoolName(request->customer));
    if (pool == pools_.end() || !hasLease_())
        return encode(CeilingAllocation {});
    return encode(pool->second.ledger.allocate(from, *request, now_()));
}

Result<std::string> CeilingHost::onDebit(std::string_view body)
{
    auto debit = decode<CeilingDebit>(body);
    if (!debit)
        return tl::unexpected(debit.error());
    auto pool = pools_.find(ceilingPoolName(debit->customer));
    if (pool == pools_.end() || !hasLease_() || !pool->second.buckets.hasCustomer(debit->customer))
        return encode(CeilingDecision {});
    charge(pool->second, *debit);
    auto admitted = pool->second.buckets.debit(debit->customer, debit->tokens, now_());
    CeilingDecision decision;
    decision.decided = true;
    decision.admitted = admitted.has_value();
    decision.tokensLeft = pool->second.buckets.tokensLeft(debit->customer, now_());
    if (!admitted) {
        decision.kind = admitted.error().kind;
        decision.retryAfterMs = static_cast<uint32_t>(toMs(admitted.error().retryAfter.value_or(Duration(0))));
    }
    return encode(decision);
}

void CeilingHost::charge(Pool& pool, const CeilingDebit& debit)
{
    if (debit.admittedLocally <= Tokens())
        return;
    auto covered = pool.buckets.charge(debit.customer, debit.admittedLocally, now_());
    metrics_.count("ceiling_local_tokens_total", "covered=\"yes\"", static_cast<uint64_t>(covered.value()));
    metrics_.count("ceiling_local_tokens_total", "covered=\"no\"", static_cast<uint64_t>((debit.admittedLocally - covered).value()));
}

void CeilingHost::onRefund(std::string_view body)
{
    auto debit = decode<CeilingDebit>(body);
    if (!debit)
        return;
    auto pool = pools_.find(ceilingPoolName(debit->customer));
    if (pool != pools_.end())
        pool->second.buckets.refund(debit->customer, debit->tokens, now_());
}

}
