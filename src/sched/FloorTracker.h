#pragma once

#include "briarhitch/core/Ids.h"
#include "sched/DecayingRate.h"

#include <absl/container/btree_set.h>
#include <map>
#include <optional>

namespace briarhitch {

/** Tracks kinds of work that have a floor: their queued requests and whether they recently got less than their floor. */
class FloorTracker {
public:
    explicit FloorTracker(const std::map<WorkKindId, double>& floors);

    [[nodiscard]] bool hasFloor(WorkKindId kind) const { return kinds_.contains(kind); }
    /** Fraction of the pool's granted cost; zero without a floor. */
    [[nodiscard]] double floorOf(WorkKindId kind) const;
    void recordQueued(WorkKindId kind, uint64_t sequence, AttemptId attempt, int64_t cost);
    void recordRemoved(WorkKindId kind, uint64_t sequence, int64_t cost);
    void recordGranted(WorkKindId kind, int64_t cost, Instant now);
    /** The oldest queued request of a kind below its floor; none if no such kind has queued requests. */
    [[nodiscard]] std::optional<AttemptId> belowFloor(Instant now) const;
    /** Total cost of the kind's queued requests; zero without a floor. */
    [[nodiscard]] int64_t queuedCost(WorkKindId kind) const;

private:
    struct Kind {
        double floor { 0 };
        DecayingRate rate;
        absl::btree_set<std::pair<uint64_t, AttemptId>> queuedAttempts;
        int64_t cost { 0 };
    };

    std::map<WorkKindId, Kind> kinds_;
    DecayingRate total_;
};

}
