#include "sched/TargetTable.h"

#include "sched/PrefixIndex.h"
#include "sched/RecentAttempts.h"
#include "support/Property.h"

#include <algorithm>
#include <map>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t targetCount = 6;
    constexpr TargetTable::Options options { 100, 400, true, true };

    /** Reference state of one target, without an order or sums. */
    struct ReferenceTarget {
        explicit ReferenceTarget(uint32_t slots)
            : window(100 * slots, 400 * slots)
        {
        }

        [[nodiscard]] bool isAvailable(Instant now) const
        {
            return isActive && reachable && backoff.allowsRequest(static_cast<uint32_t>(costs.size()), now) && costs.size() < slots && used() < window.size();
        }
        [[nodiscard]] int64_t used() const
        {
            int64_t sum = 0;
            for (int64_t cost : costs)
                sum += cost;
            return sum;
        }

        TargetWindow window;
        TargetBackoff backoff;
        uint32_t slots { 4 };
        bool isActive { true };
        bool reachable { true };
        std::vector<int64_t> costs;
    };

    class TablePair {
    public:
        TablePair()
            : table_(options)
            , reference_(targetCount, ReferenceTarget(4))
        {
            setTargets();
        }

        void step()
        {
            now_ += std::chrono::milliseconds(draw(400));
            // The order of available targets is only guaranteed to be current after a tick.
            table_.tick(now_);
            const auto index = draw(targetCount);
            const TargetId id(static_cast<uint32_t>(index + 1));
            auto& target = reference_[index];
            switch (draw(7)) {
            case 0:
            case 1:
                if (target.isAvailable(now_)) {
                    target.costs.push_back(static_cast<int64_t>(1 + draw(150)));
                    table_.charge(id, target.costs.back(), now_);
                }
                break;
            case 2:
                if (!target.costs.empty()) {
                    table_.release(id, target.costs.back(), now_);
                    target.costs.pop_back();
                }
                break;
            case 3:
                target.backoff.recordFailure(now_);
                table_.recordFailure(id, now_);
                break;
            case 4:
                target.backoff.recordSuccess();
                table_.recordSuccess(id, now_);
                break;
            case 5: {
                const Duration latency = std::chrono::milliseconds(draw(2000));
                target.window.observe(latency, 1s, target.used(), now_);
                table_.observe(id, latency, 1s, now_);
                break;
            }
            default:
                target.isActive = draw(3) > 0;
                target.reachable = draw(4) > 0;
                setTargets();
                table_.setReachable(id, target.reachable, now_);
            }
        }

        void expectSame() const
        {
            std::vector<std::pair<double, uint32_t>> available;
            int64_t capacity = 0;
            int64_t used = 0;
            for (uint32_t i = 0; i < targetCount; ++i) {
                const auto& target = reference_[i];
                if (target.isAvailable(now_))
                    available.emplace_back(static_cast<double>(target.used()) / static_cast<double>(target.window.size()), i + 1);
                capacity += target.isActive && target.reachable && !target.backoff.isFailing() ? target.window.size() : 0;
                used += target.used();
                RC_ASSERT(table_.isAvailable(TargetId(i + 1)) == target.isAvailable(now_));
            }
            const auto least = table_.leastUtilized([](TargetId) { return true; });
            RC_ASSERT(least.has_value() == !available.empty());
            if (least)
                RC_ASSERT(least->value() == std::min_element(available.begin(), available.end())->second);
            RC_ASSERT(table_.capacity() == capacity);
            RC_ASSERT(table_.used() == used);
        }

    private:
        void setTargets()
        {
            std::vector<Target> targets;
            for (uint32_t i = 0; i < targetCount; ++i) {
                Target target;
                target.id = TargetId(i + 1);
                target.slots = reference_[i].slots;
                target.state = reference_[i].isActive ? TargetState::Active : TargetState::Draining;
                targets.push_back(target);
            }
            table_.setTargets(targets, now_);
        }

        Instant now_ { 100s };
        TargetTable table_;
        std::vector<ReferenceTarget> reference_;
    };

    // Guards against an order or sums that are inconsistent with the targets' states.
    TEST(TargetTableTest, MatchesReferenceImplementation)
    {
        expectProperty(12, 60, [] {
            TablePair pair;
            const auto steps = 20 + draw(150);
            for (uint64_t step = 0; step < steps; ++step) {
                pair.step();
                pair.expectSame();
            }
        });
    }

    // Guards against a new target that does not start with the learned window of its hardware generation.
    TEST(TargetTableTest, NewTargetStartsWithWindowOfItsHardwareGeneration)
    {
        TargetTable table(options);
        std::vector<Target> targets(2);
        targets[0].id = TargetId(1);
        targets[0].hardware = "g1";
        targets[0].slots = 4;
        table.setTargets({ targets[0] }, Instant(1s));
        Instant now { 1s };
        for (int i = 0; i < 10; ++i) {
            now += 1s;
            table.observe(TargetId(1), 5s, 1s, now);
        }
        const int64_t learned = table.capacity();
        EXPECT_LT(learned, 400);
        targets[1] = targets[0];
        targets[1].id = TargetId(2);
        targets[1].slots = 8;
        table.setTargets(targets, now);
        EXPECT_NEAR(static_cast<double>(table.capacity() - learned), 2.0 * static_cast<double>(learned), 10);
    }

    // Guards against a second dispatch to a target within ten minutes, and against entries that never expire.
    TEST(RecentAttemptsTest, MatchesReferenceList)
    {
        expectProperty(13, 60, [] {
            RecentAttempts attempts;
            std::map<std::pair<uint64_t, TargetId>, Instant> reference;
            Instant now { 10s };
            for (int step = 0; step < 150; ++step) {
                now += std::chrono::seconds(draw(60));
                const uint64_t key = 1 + draw(3);
                const TargetId target(static_cast<uint32_t>(1 + draw(3)));
                if (draw(4) == 0) {
                    attempts.removeAttempt(key, target);
                    reference.erase({ key, target });
                } else if (draw(2) == 0) {
                    attempts.recordAttempt(key, target, now);
                    reference[{ key, target }] = now + 10min;
                }
                attempts.removeExpired(now);
                std::erase_if(reference, [&](const auto& entry) { return entry.second <= now; });
                for (uint64_t k = 1; k <= 3; ++k) {
                    for (uint32_t t = 1; t <= 3; ++t)
                        RC_ASSERT(attempts.wasAttempted(k, TargetId(t)) == reference.contains({ k, TargetId(t) }));
                }
            }
        });
    }

    // Guards against missing the target that has cached the longest prefix of a prompt.
    TEST(PrefixIndexTest, FindsLongestMatchingRunOfBlocks)
    {
        PrefixIndex index;
        index.insert({ 1, 2, 3, 4 }, TargetId(1));
        index.insert({ 1, 2, 9 }, TargetId(2));
        const auto matches = index.find({ 1, 2, 3, 7 });
        auto blocksOf = [&](TargetId target) {
            auto it = std::find_if(matches.begin(), matches.end(), [&](const auto& match) { return match.target == target; });
            return it == matches.end() ? 0 : it->blocks;
        };
        EXPECT_EQ(blocksOf(TargetId(1)), 3U);
        EXPECT_EQ(blocksOf(TargetId(2)), 2U);
        EXPECT_FALSE(index.find({ 8, 1, 2 })[0].target.isValid());
    }

}
}
