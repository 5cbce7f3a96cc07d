#pragma once

#include "briarhitch/core/Ids.h"
#include "sched/DecayingRate.h"

#include <absl/container/btree_set.h>
#include <map>
#include <optional>

namespace briarhitch {

/** Kinds of work with a floor: which of them got less than their part lately, and what they have queued. */
class FloorTracker {
public:
    explicit FloorTracker(const std::map<WorkKindId, double>& floors);

    [[nodiscard]] bool hasFloor(WorkKindId kind) const { return kinds_.contains(kind); }
    /** Part of the pool; zero without a floor. */
    [[nodiscard]] double floorOf(WorkKindId kind) const;
    void queued(WorkKindId kind, uint64_t sequence, AttemptId attempt, int64_t cost);
    void left(WorkKindId kind, uint64_t sequence, int64_t cost);
    void granted(WorkKindId kind, int64_t cost, Instant now);
    /** The oldest queued request of a kind that is below its floor. */
    [[nodiscard]] std::optional<AttemptId> due(Instant now) const;
    /** Cost of the kind's queue. */
    [[nodiscard]] int64_t queuedCost(WorkKindId kind) const;

private:
    struct Kind {
        double part { 0 };
        DecayingRate rate;
        absl::btree_set<std::pair<uint64_t, AttemptId>> waiting;
        int64_t cost { 0 };
    };

    std::map<WorkKindId, Kind> kinds_;
    DecayingRate total_;
};

}
