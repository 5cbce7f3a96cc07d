#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Units.h"
#include "sched/FairQueue.h"
#include "sched/FloorTracker.h"

#include <absl/container/btree_set.h>
#include <array>

namespace briarhitch {

/** All queued requests of a pool: a fair queue for each tier, floors, and an order by deadline. */
class PoolQueue {
public:
    struct Place {
        FairQueue::Item item;
        Tier tier;
        /** For floors; the item's kind differs if fair sharing is off. */
        WorkKindId kind;
        Instant deadline;
    };

    explicit PoolQueue(const std::map<WorkKindId, double>& floors);

    void push(const Place& place, double weight);
    void remove(const Place& place);
    /** Removes a request that is granted, and charges its customer and kind. */
    void serve(const Place& place, Instant now);

    /** The newest request of the least urgent tier that has any. */
    [[nodiscard]] std::optional<FairQueue::Item> newestOfLeastUrgent() const;
    [[nodiscard]] std::optional<Tier> leastUrgentTier() const;
    /** Cost that is served before a request that arrives now. */
    [[nodiscard]] double costAheadOfNew(const Place& place, double weight) const;
    /** Cost that is served before the newest queued request of a line. */
    [[nodiscard]] double costAheadOfNewest(Tier tier, const FairQueue::Item& newest) const;
    /** The request whose deadline is next. */
    [[nodiscard]] std::optional<std::pair<Instant, AttemptId>> nextDeadline() const;

    [[nodiscard]] const FairQueue& tier(Tier tier) const { return tiers_[tier.value()]; }
    [[nodiscard]] const FloorTracker& floors() const { return floors_; }
    [[nodiscard]] size_t size() const { return byDeadline_.size(); }
    [[nodiscard]] bool empty() const { return byDeadline_.empty(); }

private:
    [[nodiscard]] double costAbove(Tier tier) const;

    std::array<FairQueue, Tier::count> tiers_;
    FloorTracker floors_;
    absl::btree_set<std::pair<Instant, AttemptId>> byDeadline_;
};

}
