#include "sched/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    constexpr int mostOffered = 16;
    constexpr int mostOfferedByCustomer = 2;
    // Flows of customers that went away are dropped when there are this many more flows than backlogged ones.
    constexpr size_t mostIdleFlows = 8192;

}

void FairQueue::push(const Item& item, double weight)
{
    assert(weight > 0);
    if (flows_.size() > mostIdleFlows + order_.size())
        absl::erase_if(flows_, [](const auto& entry) { return entry.second.items.empty(); });
    auto& flow = flows_[item.customer];
    if (flow.items.empty()) {
        flow.weight = weight;
        // A customer that was idle does not save up a claim on the time it was away.
        flow.startTag = std::max(flow.startTag, virtualTime_);
        order_.emplace(flow.startTag, item.customer);
        backlogged_.insert(item.customer);
        backloggedWeight_ += weight;
    }
    flow.items.emplace(item.sequence, item);
    flow.cost += item.cost;
    cost_ += item.cost;
    bySequence_.emplace(item.sequence, item.customer);
}

bool FairQueue::remove(CustomerId customer, uint64_t sequence)
{
    auto flow = flows_.find(customer);
    if (flow == flows_.end() || !flow->second.items.contains(sequence))
        return false;
    take(flow->second, customer, sequence, false);
    return true;
}

void FairQueue::serve(CustomerId customer, uint64_t sequence)
{
    auto flow = flows_.find(customer);
    assert(flow != flows_.end());
    take(flow->second, customer, sequence, true);
}

void FairQueue::take(Flow& flow, CustomerId customer, uint64_t sequence, bool isServed)
{
    auto item = flow.items.find(sequence);
    assert(item != flow.items.end());
    const int64_t cost = item->second.cost;
    order_.erase({ flow.startTag, customer });
    flow.items.erase(item);
    bySequence_.erase(sequence);
    flow.cost -= cost;
    cost_ -= cost;
    if (isServed) {
        virtualTime_ = std::max(virtualTime_, flow.startTag);
        flow.startTag += static_cast<double>(cost) / flow.weight;
    }
    if (!flow.items.empty()) {
        order_.emplace(flow.startTag, customer);
        return;
    }
    backlogged_.erase(customer);
    // An empty sum is set to zero exactly, so that rounding errors do not add up.
    backloggedWeight_ = order_.empty() ? 0 : backloggedWeight_ - flow.weight;
}

std::optional<FairQueue::Item> FairQueue::findFirst(const std::function<bool(const Item&)>& accepts) const
{
    int offered = 0;
    for (const auto& [tag, customer] : order_) {
        int ofCustomer = 0;
        for (const auto& [sequence, item] : flows_.at(customer).items) {
            if (accepts(item))
                return item;
            if (++offered >= mostOffered)
                return std::nullopt;
            if (++ofCustomer >= mostOfferedByCustomer)
                break;
        }
    }
    return std::nullopt;
}

std::optional<FairQueue::Item> FairQueue::newest() const
{
    if (bySequence_.empty())
        return std::nullopt;
    const auto& [sequence, customer] = *bySequence_.rbegin();
    return flows_.at(customer).items.at(sequence);
}

std::optional<FairQueue::Item> FairQueue::newestOf(CustomerId customer) const
{
    auto flow = flows_.find(customer);
    if (flow == flows_.end() || flow->second.items.empty())
        return std::nullopt;
    return flow->second.items.rbegin()->second;
}

CustomerId FairQueue::nextBacklogged(CustomerId customer) const
{
    if (backlogged_.empty())
        return {};
    auto next = backlogged_.upper_bound(customer);
    return next == backlogged_.end() ? *backlogged_.begin() : *next;
}

double FairQueue::costAhead(CustomerId customer, int64_t ownCost, double weight) const
{
    auto flow = flows_.find(customer);
    const bool isBacklogged = flow != flows_.end() && !flow->second.items.empty();
    const double ownWeight = isBacklogged ? flow->second.weight : weight;
    const auto ownQueue = isBacklogged ? static_cast<double>(flow->second.cost) : 0.0;
    const double othersWeight = std::max(0.0, backloggedWeight_ - (isBacklogged ? ownWeight : 0.0));
    // While the customer's queue and the request itself are served, the others get their part by weight.
    const double toOthers = (ownQueue + static_cast<double>(ownCost)) * othersWeight / ownWeight;
    return std::min(static_cast<double>(cost_), ownQueue + toOthers);
}

}
