#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <deque>

namespace briarhitch {

/** Remembers for ten minutes which targets received a request with a given idempotency key. */
class RecentAttempts {
public:
    /** A hash of zero (no key) is ignored. */
    void recordAttempt(uint64_t idempotencyKeyHash, TargetId target, Instant now);
    /** Removes an attempt whose request was not sent to the target. */
    void removeAttempt(uint64_t idempotencyKeyHash, TargetId target);
    [[nodiscard]] bool wasAttempted(uint64_t idempotencyKeyHash, TargetId target) const;
    void removeExpired(Instant now);

private:
    struct Attempt {
        TargetId target;
        Instant until;
    };

    absl::flat_hash_map<uint64_t, absl::InlinedVector<Attempt, 2>> byKey_;
    std::deque<std::pair<Instant, uint64_t>> byAge_;
};

}
