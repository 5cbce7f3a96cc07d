#pragma once

#include "briarhitch/sched/PoolScheduler.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>

namespace briarhitch {

/**
 * Remembers for some seconds which requests a pool refused. A caller that comes back asks under a new id, maybe at
 * another entry, but for the same work, and its objective counts from its first try.
 */
class RefusalHistory {
public:
    void recordRefusal(const PoolRequest& request, Instant now);
    /** The objective of the first try, if this pool refused the same work lately. */
    [[nodiscard]] std::optional<Instant> originalObjective(const PoolRequest& request) const;
    void tick(Instant now);
    [[nodiscard]] size_t size() const { return objectives_.size(); }

private:
    absl::flat_hash_map<uint64_t, Instant> objectives_;
    std::deque<std::pair<Instant, uint64_t>> order_;
};

}
