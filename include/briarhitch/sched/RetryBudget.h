#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <absl/container/flat_hash_map.h>

namespace briarhitch {

/**
 * Limits an entry's own retries to a tenth of each customer's recent requests and two more. Every request earns a tenth
 * of a retry, and at most ten retries are saved up. A customer that is new or was idle for ten minutes starts with two.
 */
class RetryBudget {
public:
    /** A caller's request arrived; retries do not count. */
    void recordRequest(CustomerId customer, Instant now);
    /** Whether the customer may have one more retry; true spends it. */
    bool tryRetry(CustomerId customer, Instant now);

private:
    struct Savings {
        /** In tenths of a retry. */
        int credit { 0 };
        Instant lastRequest {};
    };

    void dropIdle(Instant now);

    absl::flat_hash_map<CustomerId, Savings> savings_;
    Instant droppedAt_ {};
};

}
