#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Units.h"
#include "sched/FairQueue.h"
#include "sched/FloorTracker.h"

#include <absl/container/btree_set.h>
#include <array>

namespace briarhitch {

/** All queued requests of a pool: a fair queue per tier, floors, and an index by deadline. */
class PoolQueue {
public:
    struct Entry {
        FairQueue::Item item;
        Tier tier;
        /** Kind for floors; differs from the item's kind if fair queueing is disabled. */
        WorkKindId kind;
        Instant deadline;
    };

    explicit PoolQueue(const std::map<WorkKindId, double>& floors);

    void push(const Entry& entry, double weight);
    void remove(const Entry& entry);
    /** Removes a granted request and charges its customer and kind. */
    void serve(const Entry& entry, Instant now);

    /** The newest request of the least urgent tier that is not empty. */
    [[nodiscard]] std::optional<FairQueue::Item> newestOfLeastUrgent() const;
    [[nodiscard]] std::optional<Tier> leastUrgentTier() const;
    /** Cost served before a request that arrives now. */
    [[nodiscard]] double costAheadOfNew(const Entry& entry, double weight) const;
    /** Cost served before the newest request of a customer's queue for one kind. */
    [[nodiscard]] double costAheadOfNewest(Tier tier, const FairQueue::Item& newest) const;
    /** The queued request with the earliest deadline. */
    [[nodiscard]] std::optional<std::pair<Instant, AttemptId>> nextDeadline() const;

    [[nodiscard]] const FairQueue& tier(Tier tier) const { return tiers_[tier.value()]; }
    [[nodiscard]] const FloorTracker& floors() const { return floors_; }
    [[nodiscard]] size_t size() const { return byDeadline_.size(); }
    [[nodiscard]] bool empty() const { return byDeadline_.empty(); }

private:
    [[nodiscard]] double costOfMoreUrgentTiers(Tier tier) const;

    std::array<FairQueue, Tier::count> tiers_;
    FloorTracker floors_;
    absl::btree_set<std::pair<Instant, AttemptId>> byDeadline_;
};

}
