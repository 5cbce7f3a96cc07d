#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/model/Contract.h"
#include "briarhitch/wire/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <map>

namespace briarhitch {

/**
 * Divides customers' ceilings among the nodes that request a part, by demand, in allocations of limited lifetime. The
 * sum of a customer's unexpired allocations never exceeds its ceiling.
 */
class CeilingAllocator {
public:
    static constexpr Duration allocationLifetime = std::chrono::seconds(1);

    /** `firstAllocationAt`: the time by which all allocations of the previous owner have expired. */
    explicit CeilingAllocator(Instant firstAllocationAt = {});

    /** Existing allocations keep their size until they expire, so a lower ceiling takes full effect after their lifetime. */
    void setCeiling(CustomerId customer, const Ceiling& ceiling);
    /**
     * Allocates to the node; the result is invalid before `firstAllocationAt` and for an unknown customer. A limit of
     * zero in the allocation means that nothing is available, provided that the customer's ceiling has that limit.
     */
    CeilingPortion allocate(NodeId node, const CeilingAsk& request, Instant now);

private:
    struct Allocation {
        Ceiling granted;
        Instant until;
    };
    struct Holder {
        /** Includes older allocations: the node still uses one if the reply with a later one was lost. */
        std::vector<Allocation> unexpired;
        CeilingAsk demand;
    };
    struct Account {
        Ceiling ceiling;
        /** Ordered, so that allocations are deterministic. */
        std::map<NodeId, Holder> holders;
    };

    static Ceiling allocatedTo(const Holder& holder);
    static void dropExpired(Account& account, Instant now);

    Instant firstAllocationAt_;
    absl::flat_hash_map<CustomerId, Account> accounts_;
};

}
