#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <vector>

namespace briarhitch {

/** The cluster configuration that this node has applied; its version never decreases. */
class ClusterView {
public:
    using ChangeHook = std::function<void(const ClusterConfig&)>;

    [[nodiscard]] const ClusterConfig& config() const { return config_; }
    /** Applies a heartbeat's snapshot and deltas; older versions are ignored. Hooks run once if anything changed. */
    void apply(const HeartbeatReply& reply);
    /** The hook is called after each change and must not block. */
    void addChangeHook(ChangeHook hook);

    [[nodiscard]] const Contract* findCustomerByKeyHash(const std::string& keyHash) const;
    [[nodiscard]] const PoolAssignment* findPool(const std::string& name) const;
    /** Number of entries that serve callers and are not lost; at least 1. */
    [[nodiscard]] size_t entryCount() const;

private:
    ClusterConfig config_;
    std::vector<ChangeHook> hooks_;
    std::map<std::string, CustomerId> customersByKeyHash_;
    std::map<std::string, PoolId> poolsByName_;
};

}
