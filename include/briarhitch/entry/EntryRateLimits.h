#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/TargetRateLimiter.h"
#include "briarhitch/sched/TargetRateLimits.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <map>
#include <vector>

namespace briarhitch {

/** What an entry knows of the targets' rate limits, and its shares of them while it selects targets locally. */
class EntryRateLimits {
public:
    explicit EntryRateLimits(NodeId self)
        : self_(self)
    {
    }

    /** Records a response to this entry; the notice for the pool's owner if the limit has changed. */
    std::optional<TargetRateLimitNotice> recordObservation(const Target& target, const RateLimitObservation& observation, Instant now);
    /** Records what the target's pool owner says. */
    void recordNotice(const Target& target, const TargetRateLimitNotice& notice, Instant now);
    [[nodiscard]] std::vector<TargetRateLimitNotice> noticesFor(PoolId pool, Instant now) const;
    [[nodiscard]] std::optional<RequestRate> find(TargetId target) const { return limits_.find(target); }

    void onConfigChange(const ClusterConfig& config, Instant now);
    /** Sets the rates for local selection; `fractionOf` gives the fraction of this entry's shares in a pool that it may use. */
    void updateRates(const std::function<double(PoolId)>& fractionOf, Instant now);
    /** For local selection. */
    [[nodiscard]] TargetRateLimiter& limiter() { return limiter_; }

private:
    struct Share {
        PoolId pool;
        /** If this entry may use all of its share. */
        RequestRate rate;
    };

    void updateShare(const Target& target);
    void onLimitChange(const Target& target, std::optional<RequestRate> previous, const std::string& toldBy, uint32_t ageMs);

    NodeId self_;
    TargetRateLimits limits_;
    TargetRateLimiter limiter_;
    /** Of the targets that have a limit. */
    std::map<TargetId, Share> shares_;
    /** Entries that may send requests, from the configuration. */
    std::vector<NodeId> entries_;
    Instant unreadableLoggedAt_ {};
};

}
