#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <deque>

namespace briarhitch {

/** Remembers for ten minutes which targets had a request with a repeat key. */
class RecentAttempts {
public:
    /** A repeat key of zero is not remembered. */
    void remember(uint64_t repeatKey, TargetId target, Instant now);
    /** The target did not get the request after all. */
    void forget(uint64_t repeatKey, TargetId target);
    [[nodiscard]] bool had(uint64_t repeatKey, TargetId target) const;
    void expire(Instant now);

private:
    struct Use {
        TargetId target;
        Instant until;
    };

    absl::flat_hash_map<uint64_t, absl::InlinedVector<Use, 2>> byKey_;
    std::deque<std::pair<Instant, uint64_t>> byAge_;
};

}
