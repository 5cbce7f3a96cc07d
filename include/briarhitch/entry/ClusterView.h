#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <vector>

namespace briarhitch {

/** The configuration as this node has applied it; versions never go back. */
class ClusterView {
public:
    using ChangeHook = std::function<void(const ClusterConfig&)>;

    [[nodiscard]] const ClusterConfig& config() const { return config_; }
    /** Applies what a heartbeat brought; older versions are ignored. Hooks run once if anything changed. */
    void apply(const HeartbeatReply& reply);
    /** Called after each change; hooks must not block. */
    void addChangeHook(ChangeHook hook);

    [[nodiscard]] const Contract* findCustomerByKeyHash(const std::string& keyHash) const;
    [[nodiscard]] const PoolAssignment* findPool(const std::string& name) const;
    /** Entries that take callers and are not lost; at least 1. */
    [[nodiscard]] size_t entryCount() const;

private:
    ClusterConfig config_;
    std::vector<ChangeHook> hooks_;
    std::map<std::string, CustomerId> customersByKeyHash_;
    std::map<std::string, PoolId> poolsByName_;
};

}
