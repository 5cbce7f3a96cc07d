#include "sched/FairQueue.h"

#include "support/Property.h"

#include <algorithm>
#include <map>

namespace briarhitch {
namespace {

    /** Reference implementation with one list and full scans. */
    class ReferenceFairQueue {
    public:
        using Item = FairQueue::Item;

        void push(const Item& item, double weight)
        {
            auto& flow = flows_[item.customer];
            if (!isBacklogged(item.customer)) {
                flow.weight = weight;
                flow.tag = std::max(flow.tag, time_);
            }
            if (!hasQueue(item.queueKey()))
                flow.kindTags[item.kind] = std::max(flow.kindTags[item.kind], flow.time);
            items_.push_back(item);
        }

        void removeItem(const Item& item, bool isServed)
        {
            std::erase_if(items_, [&](const Item& other) { return other.sequence == item.sequence; });
            if (!isServed)
                return;
            auto& flow = flows_[item.customer];
            time_ = std::max(time_, flow.tag);
            flow.tag += static_cast<double>(item.cost) / flow.weight;
            flow.time = std::max(flow.time, flow.kindTags[item.kind]);
            flow.kindTags[item.kind] += static_cast<double>(item.cost);
        }

        [[nodiscard]] std::optional<Item> first() const
        {
            auto rank = [&](const Item& item) {
                const auto& flow = flows_.at(item.customer);
                return std::tuple(flow.tag, item.customer, flow.kindTags.at(item.kind), item.kind, item.sequence);
            };
            auto it = std::min_element(items_.begin(), items_.end(), [&](const Item& l, const Item& r) { return rank(l) < rank(r); });
            return it == items_.end() ? std::nullopt : std::optional(*it);
        }

        [[nodiscard]] double costAhead(const FairQueue::QueueKey& queueKey, int64_t ownCost, double weight) const
        {
            double all = 0;
            double inQueue = 0;
            double weights = 0;
            std::map<CustomerId, bool> seen;
            std::map<WorkKindId, bool> kinds { { queueKey.second, true } };
            for (const auto& item : items_) {
                all += static_cast<double>(item.cost);
                if (item.queueKey() == queueKey)
                    inQueue += static_cast<double>(item.cost);
                if (item.customer == queueKey.first)
                    kinds[item.kind] = true;
                if (!std::exchange(seen[item.customer], true))
                    weights += flows_.at(item.customer).weight;
            }
            const double own = isBacklogged(queueKey.first) ? flows_.at(queueKey.first).weight : weight;
            weights += isBacklogged(queueKey.first) ? 0 : own;
            const double meanwhile = (inQueue + static_cast<double>(ownCost)) * static_cast<double>(kinds.size()) * weights / own;
            return std::min(all, std::max(0.0, meanwhile - static_cast<double>(ownCost)));
        }

        [[nodiscard]] const std::vector<Item>& items() const { return items_; }

    private:
        struct Flow {
            double weight { 1 };
            double tag { 0 };
            double time { 0 };
            std::map<WorkKindId, double> kindTags;
        };

        [[nodiscard]] bool isBacklogged(CustomerId customer) const
        {
            return std::any_of(items_.begin(), items_.end(), [&](const Item& item) { return item.customer == customer; });
        }
        [[nodiscard]] bool hasQueue(const FairQueue::QueueKey& queueKey) const
        {
            return std::any_of(items_.begin(), items_.end(), [&](const Item& item) { return item.queueKey() == queueKey; });
        }

        std::vector<Item> items_;
        std::map<CustomerId, Flow> flows_;
        double time_ { 0 };
    };

    void expectSame(const FairQueue& fairQueue, const ReferenceFairQueue& reference)
    {
        const auto& items = reference.items();
        RC_ASSERT(fairQueue.size() == items.size());
        int64_t cost = 0;
        for (const auto& item : items)
            cost += item.cost;
        RC_ASSERT(fairQueue.cost() == cost);
        const auto first = fairQueue.findFirst([](const FairQueue::Item&) { return true; });
        const auto referenceFirst = reference.first();
        RC_ASSERT(first.has_value() == referenceFirst.has_value());
        if (first)
            RC_ASSERT(first->sequence == referenceFirst->sequence);
        RC_ASSERT(fairQueue.newest().has_value() == !items.empty());
        if (!items.empty())
            RC_ASSERT(fairQueue.newest()->sequence == items.back().sequence);
        const FairQueue::QueueKey queueKey { CustomerId(static_cast<uint32_t>(1 + draw(4))), WorkKindId(static_cast<uint32_t>(1 + draw(3))) };
        RC_ASSERT(std::abs(fairQueue.costAhead(queueKey, 10, 2) - reference.costAhead(queueKey, 10, 2)) < 1e-6);
    }

    // Guards against inconsistent tags, sums and indexes.
    TEST(FairQueueTest, MatchesReferenceImplementation)
    {
        expectProperty(11, 60, [] {
            FairQueue fairQueue;
            ReferenceFairQueue reference;
            uint64_t sequence = 0;
            const auto steps = 20 + draw(120);
            for (uint64_t step = 0; step < steps; ++step) {
                const auto choice = draw(10);
                if (choice < 5 || reference.items().empty()) {
                    const auto customer = static_cast<uint32_t>(1 + draw(4));
                    FairQueue::Item item { { RequestId(++sequence), 1 }, CustomerId(customer), WorkKindId(static_cast<uint32_t>(1 + draw(3))), static_cast<int64_t>(1 + draw(100)), sequence };
                    fairQueue.push(item, customer);
                    reference.push(item, customer);
                } else if (choice < 8) {
                    const auto item = *reference.first();
                    fairQueue.serve(item);
                    reference.removeItem(item, true);
                } else {
                    const auto item = reference.items()[draw(reference.items().size())];
                    fairQueue.remove(item);
                    reference.removeItem(item, false);
                }
                expectSame(fairQueue, reference);
            }
        });
    }

    // Guards against service that does not follow the weights while all customers have queued work.
    TEST(FairQueueTest, ServesCostInProportionToWeight)
    {
        FairQueue queue;
        std::map<CustomerId, int64_t> served;
        uint64_t sequence = 0;
        auto push = [&](uint32_t customer, int64_t cost, double weight) {
            ++sequence;
            queue.push({ { RequestId(sequence), 1 }, CustomerId(customer), WorkKindId(1), cost, sequence }, weight);
        };
        for (int i = 0; i < 400; ++i) {
            push(1, 30, 1);
            push(2, 10, 3);
        }
        for (int i = 0; i < 300; ++i) {
            const auto item = queue.findFirst([](const FairQueue::Item&) { return true; });
            queue.serve(*item);
            served[item->customer] += item->cost;
        }
        EXPECT_NEAR(static_cast<double>(served[CustomerId(2)]) / static_cast<double>(served[CustomerId(1)]), 3, 0.1);
    }

    // Guards against head-of-line blocking by a request without an available target.
    TEST(FairQueueTest, SkipsRequestsThatAreNotAccepted)
    {
        FairQueue queue;
        for (uint64_t i = 1; i <= 6; ++i)
            queue.push({ { RequestId(i), 1 }, CustomerId(static_cast<uint32_t>(i)), WorkKindId(1), 10, i }, 1);
        const auto found = queue.findFirst([](const FairQueue::Item& item) { return item.sequence == 5; });
        ASSERT_TRUE(found);
        EXPECT_EQ(found->sequence, 5U);
    }

}
}
