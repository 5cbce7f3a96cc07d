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
 * The queue of one tier: start-time fair queueing by cost, weighted between customers, equal between a customer's kinds
 * of work, and FIFO within a kind. Operations take logarithmic time in the number of customers and linear time in the
 * small number of kinds of one customer.
 */
class FairQueue {
public:
    /** Requests of the same customer and kind share a FIFO queue. */
    using QueueKey = std::pair<CustomerId, WorkKindId>;
    struct Item {
        AttemptId attempt;
        CustomerId customer;
        WorkKindId kind;
        int64_t cost { 0 };
        /** Order of submission in the whole pool. */
        uint64_t sequence { 0 };

        [[nodiscard]] QueueKey queueKey() const { return { customer, kind }; }
    };

    /** `weight` must be greater than zero; it is ignored while the customer has queued requests. */
    void push(const Item& item, double weight);
    /** The request must be in the queue. */
    void remove(const Item& item) { removeItem(item, false); }
    /** Removes a request and charges its customer and kind for it. */
    void serve(const Item& item) { removeItem(item, true); }
    /**
     * Offers requests in service order until `accepts` returns true. Examines a bounded number of them, since the
     * first one is rejected only when all its targets are excluded or busy.
     */
    std::optional<Item> findFirst(const std::function<bool(const Item&)>& accepts) const;
    /** The most recently submitted request; none if the queue is empty. */
    [[nodiscard]] std::optional<Item> newest() const;
    [[nodiscard]] std::optional<Item> newestOf(const QueueKey& queueKey) const;
    /** The backlogged queue that follows the given one in a fixed cyclic order. */
    [[nodiscard]] QueueKey nextBacklogged(const QueueKey& queueKey) const;

    [[nodiscard]] bool empty() const { return bySequence_.empty(); }
    [[nodiscard]] size_t size() const { return bySequence_.size(); }
    [[nodiscard]] int64_t cost() const { return cost_; }
    [[nodiscard]] size_t backloggedQueues() const { return backlogged_.size(); }
    /**
     * Upper bound of the cost served before a request that joins this queue now, excluding its own cost: the total of
     * the tier, or this queue plus what the others receive while it is served.
     */
    [[nodiscard]] double costAhead(const QueueKey& queueKey, int64_t ownCost, double weight) const;

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
        /** Virtual time of the fair queueing between the customer's kinds of work. */
        double virtualTime { 0 };
    };

    void removeItem(const Item& item, bool isServed);
    [[nodiscard]] const KindQueue* find(const QueueKey& queueKey) const;
    static const KindQueue* nextKind(const Flow& flow);
    std::optional<Item> offer(const Flow& flow, const std::function<bool(const Item&)>& accepts, int& offersLeft) const;

    absl::flat_hash_map<CustomerId, Flow> flows_;
    absl::btree_set<std::pair<double, CustomerId>> flowOrder_;
    absl::btree_set<QueueKey> backlogged_;
    absl::btree_map<uint64_t, QueueKey> bySequence_;
    double virtualTime_ { 0 };
    double backloggedWeight_ { 0 };
    int64_t cost_ { 0 };
};

}
