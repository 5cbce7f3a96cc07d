#pragma once

#include "briarhitch/core/Ids.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <optional>

namespace briarhitch {

/**
 * The queue of one tier: start-time fair queueing by cost over customers by weight, then over the kinds of work of a
 * customer in equal parts; first in first out within a kind. Operations take logarithmic time in the customers, and
 * linear time in the few kinds of one customer.
 */
class FairQueue {
public:
    /** Work of one customer and one kind shares a line. */
    using QueueKey = std::pair<CustomerId, WorkKindId>;
    struct Item {
        AttemptId attempt;
        CustomerId customer;
        WorkKindId kind;
        int64_t cost { 0 };
        /** Order of submission over the whole pool. */
        uint64_t sequence { 0 };

        [[nodiscard]] QueueKey line() const { return { customer, kind }; }
    };

    /** Weight must be greater than zero; it applies once the customer has nothing queued. */
    void push(const Item& item, double weight);
    /** The request must be in the queue. */
    void remove(const Item& item) { take(item, false); }
    /** Removes a request and charges its customer and kind for it. */
    void serve(const Item& item) { take(item, true); }
    /**
     * Offers requests in the order of service until the hook accepts one; looks at a bounded number, since the
     * first is refused only when all its targets are excluded or busy.
     */
    std::optional<Item> findFirst(const std::function<bool(const Item&)>& accepts) const;
    /** The request submitted last; none if the queue is empty. */
    [[nodiscard]] std::optional<Item> newest() const;
    [[nodiscard]] std::optional<Item> newestOf(const QueueKey& line) const;
    /** The backlogged line that follows the given one in a fixed cyclic order. */
    [[nodiscard]] QueueKey nextBacklogged(const QueueKey& line) const;

    [[nodiscard]] bool empty() const { return bySequence_.empty(); }
    [[nodiscard]] size_t size() const { return bySequence_.size(); }
    [[nodiscard]] int64_t cost() const { return cost_; }
    [[nodiscard]] size_t backloggedQueues() const { return backlogged_.size(); }
    /**
     * Upper bound of the cost that is served before a request that joins this line now, its own cost not included:
     * all of the tier, or what the others get while the line is served.
     */
    [[nodiscard]] double costAhead(const QueueKey& line, int64_t ownCost, double weight) const;

private:
    struct KindQueue {
        absl::btree_map<uint64_t, Item> items;
        double startTag { 0 };
        int64_t cost { 0 };
    };
    struct Flow {
        std::map<WorkKindId, KindQueue> kinds;
        size_t backloggedKinds { 0 };
        double weight { 1 };
        double startTag { 0 };
        /** Virtual time of the sharing between the customer's kinds. */
        double virtualTime { 0 };
    };

    void take(const Item& item, bool isServed);
    [[nodiscard]] const KindQueue* find(const QueueKey& line) const;
    static const KindQueue* nextKind(const Flow& flow);
    std::optional<Item> offer(const Flow& flow, const std::function<bool(const Item&)>& accepts, int& offersLeft) const;

    absl::flat_hash_map<CustomerId, Flow> flows_;
    absl::btree_set<std::pair<double, CustomerId>> order_;
    absl::btree_set<QueueKey> backlogged_;
    absl::btree_map<uint64_t, QueueKey> bySequence_;
    double virtualTime_ { 0 };
    double backloggedWeight_ { 0 };
    int64_t cost_ { 0 };
};

}
