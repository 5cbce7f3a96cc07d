#include "sched/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    constexpr int maxOffers = 16;
    constexpr int maxOffersPerKind = 2;
    // Idle flows are pruned when flows exceed twice the sum of this number and the backlogged flows.
    constexpr size_t maxIdleFlows = 8192;

}

void FairQueue::push(const Item& item, double weight)
{
    assert(weight > 0);
    if (flows_.size() > 2 * (maxIdleFlows + flowOrder_.size()))
        absl::erase_if(flows_, [](const auto& entry) { return entry.second.backloggedKinds == 0; });
    auto& flow = flows_[item.customer];
    auto& kind = flow.kinds[item.kind];
    if (flow.backloggedKinds == 0) {
        flow.weight = weight;
        // An idle customer accumulates no credit.
        flow.startTag = std::max(flow.startTag, virtualTime_);
        flowOrder_.emplace(flow.startTag, item.customer);
        backloggedWeight_ += weight;
    }
    if (kind.items.empty()) {
        ++flow.backloggedKinds;
        kind.startTag = std::max(kind.startTag, flow.virtualTime);
        backlogged_.insert(item.queueKey());
    }
    kind.items.emplace(item.sequence, item);
    kind.cost += item.cost;
    cost_ += item.cost;
    bySequence_.emplace(item.sequence, item.queueKey());
}

void FairQueue::removeItem(const Item& item, bool isServed)
{
    auto& flow = flows_.at(item.customer);
    auto& kind = flow.kinds.at(item.kind);
    [[maybe_unused]] const auto erased = kind.items.erase(item.sequence);
    assert(erased == 1);
    flowOrder_.erase({ flow.startTag, item.customer });
    bySequence_.erase(item.sequence);
    kind.cost -= item.cost;
    cost_ -= item.cost;
    if (isServed) {
        virtualTime_ = std::max(virtualTime_, flow.startTag);
        flow.startTag += static_cast<double>(item.cost) / flow.weight;
        flow.virtualTime = std::max(flow.virtualTime, kind.startTag);
        kind.startTag += static_cast<double>(item.cost);
    }
    if (kind.items.empty()) {
        --flow.backloggedKinds;
        backlogged_.erase(item.queueKey());
    }
    if (flow.backloggedKinds > 0) {
        flowOrder_.emplace(flow.startTag, item.customer);
        return;
    }
    // Reset to exactly zero when empty, so that rounding errors do not accumulate.
    backloggedWeight_ = flowOrder_.empty() ? 0 : backloggedWeight_ - flow.weight;
}

const FairQueue::KindQueue* FairQueue::nextKind(const Flow& flow)
{
    const KindQueue* next = nullptr;
    for (const auto& [id, kind] : flow.kinds) {
        if (!kind.items.empty() && (!next || kind.startTag < next->startTag))
            next = &kind;
    }
    return next;
}

std::optional<FairQueue::Item> FairQueue::offer(const Flow& flow, const std::function<bool(const Item&)>& accepts, int& offersLeft) const
{
    const auto* next = nextKind(flow);
    if (accepts(next->items.begin()->second))
        return next->items.begin()->second;
    --offersLeft;
    for (const auto& [id, kind] : flow.kinds) {
        int offersOfKind = 0;
        for (auto it = kind.items.begin(); it != kind.items.end() && offersOfKind < maxOffersPerKind && offersLeft > 0; ++it, ++offersOfKind) {
            if (&kind == next && offersOfKind == 0)
                continue;
            if (accepts(it->second))
                return it->second;
            --offersLeft;
        }
    }
    return std::nullopt;
}

std::optional<FairQueue::Item> FairQueue::findFirst(const std::function<bool(const Item&)>& accepts) const
{
    int offersLeft = maxOffers;
    for (const auto& [tag, customer] : flowOrder_) {
        if (auto accepted = offer(flows_.at(customer), accepts, offersLeft))
            return accepted;
        if (offersLeft <= 0)
            break;
    }
    return std::nullopt;
}

const FairQueue::KindQueue* FairQueue::find(const QueueKey& queueKey) const
{
    auto flow = flows_.find(queueKey.first);
    if (flow == flows_.end())
        return nullptr;
    auto kind = flow->second.kinds.find(queueKey.second);
    return kind == flow->second.kinds.end() || kind->second.items.empty() ? nullptr : &kind->second;
}

std::optional<FairQueue::Item> FairQueue::newest() const
{
    return bySequence_.empty() ? std::nullopt : newestOf(bySequence_.rbegin()->second);
}

std::optional<FairQueue::Item> FairQueue::newestOf(const QueueKey& queueKey) const
{
    const auto* kind = find(queueKey);
    if (!kind)
        return std::nullopt;
    return kind->items.rbegin()->second;
}

FairQueue::QueueKey FairQueue::nextBacklogged(const QueueKey& queueKey) const
{
    if (backlogged_.empty())
        return {};
    auto next = backlogged_.upper_bound(queueKey);
    return next == backlogged_.end() ? *backlogged_.begin() : *next;
}

double FairQueue::costAhead(const QueueKey& queueKey, int64_t ownCost, double weight) const
{
    const auto* queue = find(queueKey);
    auto it = flows_.find(queueKey.first);
    const bool isBacklogged = it != flows_.end() && it->second.backloggedKinds > 0;
    const double ownWeight = isBacklogged ? it->second.weight : weight;
    const double allWeight = backloggedWeight_ + (isBacklogged ? 0 : ownWeight);
    const double kinds = isBacklogged ? static_cast<double>(it->second.backloggedKinds + (queue ? 0 : 1)) : 1;
    const auto inQueue = queue ? static_cast<double>(queue->cost) : 0.0;
    // While this queue and the request are served, customers are served by weight and their kinds equally.
    const double servedMeanwhile = (inQueue + static_cast<double>(ownCost)) * kinds * allWeight / ownWeight;
    return std::min(static_cast<double>(cost_), std::max(0.0, servedMeanwhile - static_cast<double>(ownCost)));
}

}
