#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/TargetRateLimiter.h"
#include "briarhitch/sched/TargetRateLimits.h"
#include "briarhitch/wire/Messages.h"

#include <map>
#include <set>
#include <vector>

namespace briarhitch {

class MetricRegistry;

/** The rate limits of the targets whose pools a node owns: what entries reported, and the rates that it grants. */
class OwnerRateLimits {
public:
    explicit OwnerRateLimits(NodeId self)
        : self_(self)
    {
    }

    /** Records an entry's report of a response. True if the limit has changed. */
    bool recordNotice(NodeId from, const Target& target, const TargetRateLimitNotice& notice, Instant now);
    /** Adopts what an entry has known for some time, unless this node knows something later. True if the limit has changed. */
    bool merge(NodeId from, const Target& target, const TargetRateLimitNotice& notice, Instant now);
    [[nodiscard]] std::optional<RequestRate> find(TargetId target) const { return limits_.find(target); }
    [[nodiscard]] TargetRateLimitNotice noticeFor(const Target& target) const { return { target.pool, target.id, limits_.find(target.id), 0 }; }

    void onConfigChange(const ClusterConfig& config, Instant now);
    void setConnected(NodeId entry, bool isConnected, Instant now);
    /** Forgets the limits of a pool's targets, because its next owner is told when they change. */
    void forgetPool(PoolId pool, Instant now);
    void tick(Instant now);
    /** `heldRequests` of the pool wait for the limits of its targets. */
    void publishGauges(MetricRegistry& metrics, const PoolAssignment& pool, const std::vector<Target>& targets, size_t heldRequests) const;
    /** For the pools' schedulers. */
    [[nodiscard]] TargetRateLimiter& limiter() { return limiter_; }

private:
    void onLimitChange(NodeId from, const Target& target, std::optional<RequestRate> previous, uint32_t ageMs, Instant now);
    /** Sets the rate of each limited target, less what entries without a link to this node may send meanwhile. */
    void updateRates(Instant now);

    NodeId self_;
    TargetRateLimits limits_;
    TargetRateLimiter limiter_;
    std::map<TargetId, std::string> targetNames_;
    /** Entries that may send requests, from the configuration. */
    std::vector<NodeId> entries_;
    std::set<NodeId> connected_;
};

}
