#include "briarhitch/sched/CeilingAllocator.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    /** What a node should get: its demand and an equal part of what is spare, or its part of a ceiling that is short. */
    double fairPortion(double ceiling, double demand, double allDemand, size_t nodes)
    {
        if (allDemand <= ceiling)
            return demand + (ceiling - allDemand) / static_cast<double>(nodes);
        return ceiling * demand / allDemand;
    }

    double portionOf(double ceiling, double demand, double allDemand, double heldByOthers, size_t nodes)
    {
        if (ceiling <= 0)
            return 0;
        return std::clamp(fairPortion(ceiling, demand, allDemand, nodes), 0.0, std::max(0.0, ceiling - heldByOthers));
    }

}

CeilingAllocator::CeilingAllocator(Instant firstGrantAt)
    : firstAllocationAt_(firstGrantAt)
{
}

void CeilingAllocator::setCeiling(CustomerId customer, const Ceiling& ceiling)
{
    accounts_[customer].ceiling = ceiling;
}

Ceiling CeilingAllocator::allocatedTo(const Holder& holder)
{
    Ceiling held;
    for (const auto& portion : holder.live) {
        held.requestsPerSecond = std::max(held.requestsPerSecond, portion.granted.requestsPerSecond);
        held.tokensPerSecond = std::max(held.tokensPerSecond, portion.granted.tokensPerSecond);
        held.inFlight = std::max(held.inFlight, portion.granted.inFlight);
    }
    // Requests in flight stay in flight after the portion shrank, so nobody else can have their places.
    held.inFlight = std::max(held.inFlight, holder.demand.inFlight);
    return held;
}

void CeilingAllocator::dropExpired(Account& account, Instant now)
{
    for (auto it = account.holders.begin(); it != account.holders.end();) {
        std::erase_if(it->second.live, [&](const Allocation& portion) { return portion.until <= now; });
        it = it->second.live.empty() ? account.holders.erase(it) : std::next(it);
    }
}

CeilingAllocation CeilingAllocator::allocate(NodeId node, const CeilingRequest& ask, Instant now)
{
    CeilingAllocation answer;
    auto found = accounts_.find(ask.customer);
    if (found == accounts_.end() || now < firstAllocationAt_)
        return answer;
    auto& account = found->second;
    dropExpired(account, now);
    account.holders[node].demand = ask;

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
    answer.allocation.requestsPerSecond = portionOf(ceiling.requestsPerSecond, ask.requestsPerSecond, requests, others.requestsPerSecond, nodes);
    answer.allocation.tokensPerSecond = portionOf(ceiling.tokensPerSecond, ask.tokensPerSecond, tokens, others.tokensPerSecond, nodes);
    // Rounded up, or a limit smaller than the number of nodes would be no places at all.
    const double places = std::ceil(portionOf(ceiling.inFlight, ask.inFlight, inFlight, 0, nodes));
    const uint32_t left = ceiling.inFlight - std::min(ceiling.inFlight, others.inFlight);
    answer.allocation.inFlight = std::min(static_cast<uint32_t>(places), left);
    answer.valid = true;
    answer.validMs = static_cast<uint32_t>(toMs(allocationLifetime));
    account.holders[node].live.push_back({ answer.allocation, now + allocationLifetime });
    return answer;
}

}
