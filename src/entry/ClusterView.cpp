#include "briarhitch/entry/ClusterView.h"

#include "briarhitch/core/Log.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    const Log& viewLog()
    {
        static const Log log("control:");
        return log;
    }

}

void ClusterView::apply(const HeartbeatReply& reply)
{
    bool changed = false;
    auto snapshot = reply.snapshot ? reply.snapshot->decoded() : Result<ClusterConfig>();
    if (snapshot && snapshot->version > config_.version) {
        config_ = std::move(*snapshot);
        changed = true;
    } else if (!snapshot) {
        viewLog().warning("cannot decode a snapshot of the configuration: " + snapshot.error().message);
    }
    for (const auto& delta : reply.deltas) {
        // Applying a delta after a gap would skip the changes between; the leader resends them.
        if (delta.version.value() == config_.version.value() + 1)
            changed = applyDelta(config_, delta) || changed;
    }
    if (!changed)
        return;
    customersByKeyHash_.clear();
    for (const auto& [id, contract] : config_.customers) {
        for (const auto& hash : contract.keyHashes)
            customersByKeyHash_[hash] = id;
    }
    poolsByName_.clear();
    for (const auto& [id, pool] : config_.pools)
        poolsByName_[pool.name] = id;
    // By index, because a hook may add further hooks.
    for (size_t i = 0; i < hooks_.size(); ++i)
        hooks_[i](config_);
}

void ClusterView::addChangeHook(ChangeHook hook)
{
    hooks_.push_back(std::move(hook));
}

const Contract* ClusterView::findCustomerByKeyHash(const std::string& keyHash) const
{
    auto it = customersByKeyHash_.find(keyHash);
    return it == customersByKeyHash_.end() ? nullptr : &config_.customers.at(it->second);
}

const PoolAssignment* ClusterView::findPool(const std::string& name) const
{
    auto it = poolsByName_.find(name);
    return it == poolsByName_.end() ? nullptr : &config_.pools.at(it->second);
}

size_t ClusterView::entryCount() const
{
    return std::max<size_t>(1, callerServingNodes(config_).size());
}

}
