#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <absl/container/flat_hash_map.h>

namespace briarhitch {

/**
 * Limits an entry's own retries to a tenth of each customer's recent requests plus two. Every request earns a tenth of a
 * retry, and at most ten retries are saved up. A customer that is new or was idle for ten minutes starts with two.
 */
class RetryBudget {
public:
    /** Records a caller's request; retries must not be recorded. */
    void recordRequest(CustomerId customer, Instant now);
    /** Spends one retry of the customer; false if none is available. */
    bool tryRetry(CustomerId customer, Instant now);

private:
    struct Balance {
        /** In tenths of a retry. */
        int credit { 0 };
        Instant lastRequest {};
    };

    void pruneIdle(Instant now);

    absl::flat_hash_map<CustomerId, Balance> balances_;
    Instant lastPrunedAt_ {};
};

}
