#pragma once

#include "briarhitch/sched/PoolScheduler.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>

namespace briarhitch {

/**
 * Remembers for ten seconds which requests a pool refused. A retry by the caller has a new id and may arrive at another
 * entry, but it is the same work, so its objective still counts from the first attempt.
 */
class RefusalHistory {
public:
    void recordRefusal(const PoolRequest& request, Instant now);
    /** Objective of the first attempt, if this pool recently refused the same work. */
    [[nodiscard]] std::optional<Instant> originalObjective(const PoolRequest& request) const;
    void tick(Instant now);
    [[nodiscard]] size_t size() const { return objectives_.size(); }

private:
    absl::flat_hash_map<uint64_t, Instant> objectives_;
    std::deque<std::pair<Instant, uint64_t>> byAge_;
};

}
