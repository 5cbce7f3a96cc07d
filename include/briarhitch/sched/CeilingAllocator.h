#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/model/Contract.h"
#include "briarhitch/wire/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <map>

namespace briarhitch {

/**
 * The owner's side of customers' ceilings: gives each asking node a portion for a short time, by demand. The live
 * portions of a customer never add up to more than its ceiling.
 */
class CeilingAllocator {
public:
    static constexpr Duration allocationLifetime = std::chrono::seconds(1);

    /** `firstGrantAt`: when the portions of an earlier owner have certainly ended. */
    explicit CeilingAllocator(Instant firstGrantAt = {});

    /** Portions that are out keep their size until they end, so a lower ceiling holds after their lifetime. */
    void setCeiling(CustomerId customer, const Ceiling& ceiling);
    /**
     * A portion for the node. Invalid before `firstGrantAt` and for an unknown customer. A limit of zero in the
     * portion means that nothing is left, if the customer's ceiling has that limit.
     */
    CeilingAllocation allocate(NodeId node, const CeilingRequest& ask, Instant now);

private:
    struct Allocation {
        Ceiling granted;
        Instant until;
    };
    struct Holder {
        /** The last portions; a node may still use an earlier one if the answer with the later one was lost. */
        std::vector<Allocation> live;
        CeilingRequest demand;
    };
    struct Account {
        Ceiling ceiling;
        /** Ordered, so that equal events give equal portions. */
        std::map<NodeId, Holder> holders;
    };

    static Ceiling allocatedTo(const Holder& holder);
    static void dropExpired(Account& account, Instant now);

    Instant firstAllocationAt_;
    absl::flat_hash_map<CustomerId, Account> accounts_;
};

}
