#pragma once

#include "briarhitch/core/Ids.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <optional>

namespace briarhitch {

/**
 * The queue of one tier: start-time fair queueing over customers by cost, first in first out within a customer.
 * Every operation takes logarithmic time.
 */
class FairQueue {
public:
    struct Item {
        AttemptId attempt;
        CustomerId customer;
        int64_t cost { 0 };
        /** Order of submission over the whole pool. */
        uint64_t sequence { 0 };
    };

    /** Weight must be greater than zero; it applies from the customer's next request on. */
    void push(const Item& item, double weight);
    /** False if the request is not in the queue. */
    bool remove(CustomerId customer, uint64_t sequence);
    /** Takes a request out and charges its customer for it. */
    void serve(CustomerId customer, uint64_t sequence);
    /**
     * Offers requests in the order of service until the hook accepts one; looks at a bounded number, since the
     * first is refused only when all its targets are excluded or busy.
     */
    std::optional<Item> findFirst(const std::function<bool(const Item&)>& accepts) const;
    /** The request submitted last; none if the queue is empty. */
    [[nodiscard]] std::optional<Item> newest() const;
    /** The customer's request submitted last. */
    [[nodiscard]] std::optional<Item> newestOf(CustomerId customer) const;
    /** The backlogged customer that follows the given one in a fixed cyclic order. */
    [[nodiscard]] CustomerId nextBacklogged(CustomerId customer) const;

    [[nodiscard]] bool empty() const { return bySequence_.empty(); }
    [[nodiscard]] size_t size() const { return bySequence_.size(); }
    [[nodiscard]] int64_t cost() const { return cost_; }
    [[nodiscard]] size_t backloggedCustomers() const { return order_.size(); }
    /**
     * Upper bound of the cost that is served before a request that joins this customer's queue now, its own cost
     * not included: all of the tier, or what the others get while the customer's own queue is served.
     */
    [[nodiscard]] double costAhead(CustomerId customer, int64_t ownCost, double weight) const;

private:
    struct Flow {
        absl::btree_map<uint64_t, Item> items;
        double weight { 1 };
        double startTag { 0 };
        int64_t cost { 0 };
    };

    void take(Flow& flow, CustomerId customer, uint64_t sequence, bool isServed);

    absl::flat_hash_map<CustomerId, Flow> flows_;
    absl::btree_set<std::pair<double, CustomerId>> order_;
    absl::btree_set<CustomerId> backlogged_;
    absl::btree_map<uint64_t, CustomerId> bySequence_;
    double virtualTime_ { 0 };
    double backloggedWeight_ { 0 };
    int64_t cost_ { 0 };
};

}
