#include "briarhitch/sched/CeilingAllocator.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    /** A node's demand plus an equal part of the spare capacity, or its part by demand if the total demand exceeds the ceiling. */
    double fairAllocation(double ceiling, double demand, double allDemand, size_t nodes)
    {
        if (allDemand <= ceiling)
            return demand + (ceiling - allDemand) / static_cast<double>(nodes);
        return ceiling * demand / allDemand;
    }

    double allocationFor(double ceiling, double demand, double allDemand, double heldByOthers, size_t nodes)
    {
        if (ceiling <= 0)
            return 0;
        return std::clamp(fairAllocation(ceiling, demand, allDemand, nodes), 0.0, std::max(0.0, ceiling - heldByOthers));
    }

}

CeilingAllocator::CeilingAllocator(Instant firstAllocationAt)
    : firstAllocationAt_(firstAllocationAt)
{
}

void CeilingAllocator::setCeiling(CustomerId customer, const Ceiling& ceiling)
{
    accounts_[customer].ceiling = ceiling;
}

Ceiling CeilingAllocator::allocatedTo(const Holder& holder)
{
    Ceiling held;
    for (const auto& allocation : holder.unexpired) {
        held.requestsPerSecond = std::max(held.requestsPerSecond, allocation.granted.requestsPerSecond);
        held.tokensPerSecond = std::max(held.tokensPerSecond, allocation.granted.tokensPerSecond);
        held.inFlight = std::max(held.inFlight, allocation.granted.inFlight);
    }
    // Running requests continue after an allocation shrinks, so their slots cannot be given to another node.
    held.inFlight = std::max(held.inFlight, holder.demand.inFlight);
    return held;
}

void CeilingAllocator::dropExpired(Account& account, Instant now)
{
    for (auto it = account.holders.begin(); it != account.holders.end();) {
        std::erase_if(it->second.unexpired, [&](const Allocation& allocation) { return allocation.until <= now; });
        it = it->second.unexpired.empty() ? account.holders.erase(it) : std::next(it);
    }
}

CeilingPortion CeilingAllocator::allocate(NodeId node, const CeilingAsk& request, Instant now)
{
    CeilingPortion reply;
    auto found = accounts_.find(request.customer);
    if (found == accounts_.end() || now < firstAllocationAt_)
        return reply;
    auto& account = found->second;
    dropExpired(account, now);
    account.holders[node].demand = request;

    Ceiling others;
    double requests = 0;
    double tokens = 0;
    double inFlight = 0;
    for (const auto& [id, holder] : account.holders) {
        requests += holder.demand.requestsPerSecond;
        tokens += holder.demand.tokensPerSecond;
        inFlight += holder.demand.inFlight;
        if (id == node)
            continue;
        const Ceiling held = allocatedTo(holder);
        others.requestsPerSecond += held.requestsPerSecond;
        others.tokensPerSecond += held.tokensPerSecond;
        others.inFlight += held.inFlight;
    }
    const auto& ceiling = account.ceiling;
    const size_t nodes = account.holders.size();
    reply.portion.requestsPerSecond = allocationFor(ceiling.requestsPerSecond, request.requestsPerSecond, requests, others.requestsPerSecond, nodes);
    reply.portion.tokensPerSecond = allocationFor(ceiling.tokensPerSecond, request.tokensPerSecond, tokens, others.tokensPerSecond, nodes);
    // Rounded up; otherwise a limit smaller than the number of nodes would allocate no slots at all.
    const double inFlightAllocation = std::ceil(allocationFor(ceiling.inFlight, request.inFlight, inFlight, 0, nodes));
    const uint32_t remaining = ceiling.inFlight - std::min(ceiling.inFlight, others.inFlight);
    reply.portion.inFlight = std::min(static_cast<uint32_t>(inFlightAllocation), remaining);
    reply.valid = true;
    reply.validMs = static_cast<uint32_t>(toMs(allocationLifetime));
    account.holders[node].unexpired.push_back({ reply.portion, now + allocationLifetime });
    return reply;
}

}
