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

    /** One target and its state, without any order or sums. */
    struct PlainTarget {
        explicit PlainTarget(uint32_t slots)
            : window(100 * slots, 400 * slots)
        {
        }

        [[nodiscard]] bool isOpen(Instant now) const
        {
            return isActive && reachable && health.allows(static_cast<uint32_t>(costs.size()), now) && costs.size() < slots && used() < window.size();
        }
        [[nodiscard]] int64_t used() const
        {
            int64_t sum = 0;
            for (int64_t cost : costs)
                sum += cost;
            return sum;
        }

        TargetWindow window;
        TargetBackoff health;
        uint32_t slots { 4 };
        bool isActive { true };
        bool reachable { true };
        std::vector<int64_t> costs;
    };

    class TablePair {
    public:
        TablePair()
            : fast_(options)
            , plain_(targetCount, PlainTarget(4))
        {
            setTargets();
        }

        void step()
        {
            now_ += std::chrono::milliseconds(draw(400));
            // The order of open targets may lag behind the clock only between ticks.
            fast_.tick(now_);
            const auto index = draw(targetCount);
            const TargetId id(static_cast<uint32_t>(index + 1));
            auto& target = plain_[index];
            switch (draw(7)) {
            case 0:
            case 1:
                if (target.isOpen(now_)) {
                    target.costs.push_back(static_cast<int64_t>(1 + draw(150)));
                    fast_.charge(id, target.costs.back(), now_);
                }
                break;
            case 2:
                if (!target.costs.empty()) {
                    fast_.release(id, target.costs.back(), now_);
                    target.costs.pop_back();
                }
                break;
            case 3:
                target.health.failed(now_);
                fast_.failed(id, now_);
                break;
            case 4:
                target.health.succeeded();
                fast_.succeeded(id, now_);
                break;
            case 5: {
                const Duration latency = std::chrono::milliseconds(draw(2000));
                target.window.observe(latency, 1s, target.used(), now_);
                fast_.observe(id, latency, 1s, now_);
                break;
            }
            default:
                target.isActive = draw(3) > 0;
                target.reachable = draw(4) > 0;
                setTargets();
                fast_.setReachable(id, target.reachable, now_);
            }
        }

        void expectSame() const
        {
            std::vector<std::pair<double, uint32_t>> open;
            int64_t capacity = 0;
            int64_t used = 0;
            for (uint32_t i = 0; i < targetCount; ++i) {
                const auto& target = plain_[i];
                if (target.isOpen(now_))
                    open.emplace_back(static_cast<double>(target.used()) / static_cast<double>(target.window.size()), i + 1);
                capacity += target.isActive && target.reachable && !target.health.isFailing() ? target.window.size() : 0;
                used += target.used();
                RC_ASSERT(fast_.isAvailable(TargetId(i + 1)) == target.isOpen(now_));
            }
            const auto least = fast_.leastUtilized([](TargetId) { return true; });
            RC_ASSERT(least.has_value() == !open.empty());
            if (least)
                RC_ASSERT(least->value() == std::min_element(open.begin(), open.end())->second);
            RC_ASSERT(fast_.capacity() == capacity);
            RC_ASSERT(fast_.used() == used);
        }

    private:
        void setTargets()
        {
            std::vector<Target> targets;
            for (uint32_t i = 0; i < targetCount; ++i) {
                Target target;
                target.id = TargetId(i + 1);
                target.slots = plain_[i].slots;
                target.state = plain_[i].isActive ? TargetState::Active : TargetState::Draining;
                targets.push_back(target);
            }
            fast_.setTargets(targets, now_);
        }

        Instant now_ { 100s };
        TargetTable fast_;
        std::vector<PlainTarget> plain_;
    };

    // Guards against an order of targets or sums that no longer match the targets' states.
    TEST(TargetTableTest, AgreesWithFullScans)
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

    // Guards against a new target of a known generation that starts from scratch.
    TEST(TargetTableTest, NewTargetStartsWithTheWindowOfItsGeneration)
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

    // Guards against a second dispatch within ten minutes, and against a memory that never ends.
    TEST(RepeatMemoryTest, AgreesWithAPlainList)
    {
        expectProperty(13, 60, [] {
            RecentAttempts fast;
            std::map<std::pair<uint64_t, TargetId>, Instant> plain;
            Instant now { 10s };
            for (int step = 0; step < 150; ++step) {
                now += std::chrono::seconds(draw(60));
                const uint64_t key = 1 + draw(3);
                const TargetId target(static_cast<uint32_t>(1 + draw(3)));
                if (draw(4) == 0) {
                    fast.forget(key, target);
                    plain.erase({ key, target });
                } else if (draw(2) == 0) {
                    fast.remember(key, target, now);
                    plain[{ key, target }] = now + 10min;
                }
                fast.expire(now);
                std::erase_if(plain, [&](const auto& entry) { return entry.second <= now; });
                for (uint64_t k = 1; k <= 3; ++k) {
                    for (uint32_t t = 1; t <= 3; ++t)
                        RC_ASSERT(fast.had(k, TargetId(t)) == plain.contains({ k, TargetId(t) }));
                }
            }
        });
    }

    // Guards against prompts that are sent away from the target that has their longest prefix.
    TEST(PrefixIndexTest, FindsTheLongestRunOfBlocks)
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
