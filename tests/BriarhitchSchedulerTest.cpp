#include "briarhitch/sched/PoolScheduler.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class BriarhitchSchedulerTest : public testing::Test {
    protected:
        void makePool(uint32_t targets, uint32_t slots, const PoolSettings& settings = {})
        {
            auto made = makePoolScheduler(settings);
            ASSERT_TRUE(made);
            pool_ = std::move(*made);
            for (uint32_t i = 1; i <= targets; ++i) {
                Target target;
                target.id = TargetId(i);
                target.slots = slots;
                targets_.push_back(target);
            }
            pool_->setTargets(targets_, now_);
        }

        PoolRequest request(uint64_t id, uint8_t tier = 0, uint32_t customer = 1)
        {
            PoolRequest made;
            made.attempt = { RequestId(id), 1 };
            made.customer = CustomerId(customer);
            made.tier = Tier(tier);
            made.kind = WorkKindId(1);
            made.promptTokens = Tokens(100);
            made.maxOutputTokens = Tokens(100);
            made.deadline = now_ + 30s;
            return made;
        }

        /** "g7:2" for a grant of request 7 to target 2, "r7:shed" for a refusal. */
        std::string takeActions()
        {
            std::string text;
            for (const auto& action : pool_->takeActions()) {
                if (!text.empty())
                    text += " ";
                if (const auto* grant = std::get_if<PoolGrant>(&action)) {
                    text += "g" + std::to_string(grant->attempt.request.value()) + ":" + std::to_string(grant->target.value());
                } else {
                    const auto& refusal = std::get<PoolRefusal>(action);
                    EXPECT_GE(refusal.retryAfter, 1s);
                    text += "r" + std::to_string(refusal.attempt.request.value()) + ":" + std::string(errorInfo(refusal.kind).name);
                }
            }
            return text;
        }

        void finish(uint64_t id, AttemptOutcome outcome = AttemptOutcome::Completed)
        {
            pool_->finished({ RequestId(id), 1 }, outcome, Tokens(100), Tokens(100), 1s, now_);
        }

        Instant now_ { 1000s };
        std::vector<Target> targets_;
        std::unique_ptr<PoolScheduler> pool_;
    };

    // Guards against less urgent work that goes first because it came first.
    TEST_F(BriarhitchSchedulerTest, MoreUrgentTierGoesFirst)
    {
        makePool(1, 1);
        pool_->submit(request(1, 3), now_);
        pool_->submit(request(2, 3), now_);
        pool_->submit(request(3, 0), now_);
        EXPECT_EQ(takeActions(), "g1:1");
        finish(1);
        EXPECT_EQ(takeActions(), "g3:1");
        finish(3);
        EXPECT_EQ(takeActions(), "g2:1");
    }

    // Guards against a customer with many requests that delays one with few.
    TEST_F(BriarhitchSchedulerTest, CustomersOfATierTakeTurns)
    {
        makePool(1, 1);
        for (uint64_t id = 1; id <= 4; ++id)
            pool_->submit(request(id, 1, 1), now_);
        pool_->submit(request(9, 1, 2), now_);
        EXPECT_EQ(takeActions(), "g1:1");
        finish(1);
        EXPECT_EQ(takeActions(), "g9:1");
    }

    // Guards against more urgent work being shed while less urgent work is kept.
    TEST_F(BriarhitchSchedulerTest, FullQueueShedsNewestOfLowestTier)
    {
        PoolSettings settings;
        settings.maxQueued = 2;
        makePool(1, 1, settings);
        pool_->submit(request(1, 1), now_);
        pool_->submit(request(2, 3), now_);
        pool_->submit(request(3, 3), now_);
        pool_->submit(request(4, 2), now_);
        pool_->submit(request(5, 0), now_);
        pool_->submit(request(6, 2), now_);
        EXPECT_EQ(takeActions(), "g1:1 r3:shed r2:shed r6:queue_full");
    }

    // Guards against a caller that waits in vain, and against prefill that is thrown away.
    TEST_F(BriarhitchSchedulerTest, HopelessRequestIsRefusedAtOnce)
    {
        makePool(1, 1);
        for (uint64_t id = 1; id <= 20; ++id) {
            pool_->submit(request(id), now_);
            now_ += 1s;
            pool_->started({ RequestId(id), 1 }, 200ms, now_);
            finish(id);
        }
        takeActions();
        for (uint64_t id = 21; id <= 30; ++id)
            pool_->submit(request(id), now_);
        EXPECT_EQ(takeActions(), "g21:1");
        auto late = request(31);
        late.deadline = now_ + 3s;
        pool_->submit(late, now_);
        EXPECT_EQ(takeActions(), "r31:deadline_unreachable");
    }

    // Guards against a second dispatch to a target that had the request, and against new work for a leaving target.
    TEST_F(BriarhitchSchedulerTest, ExcludedRepeatedAndDrainingTargetsGetNothing)
    {
        makePool(3, 4);
        auto first = request(1);
        first.repeatKey = 77;
        first.excluded = { TargetId(1) };
        pool_->submit(first, now_);
        EXPECT_EQ(takeActions(), "g1:2");
        targets_[2].state = TargetState::Draining;
        pool_->setTargets(targets_, now_);
        auto second = request(2);
        second.repeatKey = 77;
        second.excluded = { TargetId(1) };
        pool_->submit(second, now_);
        EXPECT_EQ(takeActions(), "r2:no_target");
        now_ += 10min + 1s;
        pool_->tick(now_);
        auto third = request(3);
        third.repeatKey = 77;
        third.excluded = { TargetId(1) };
        pool_->submit(third, now_);
        EXPECT_EQ(takeActions(), "g3:2");
    }

    // Guards against a failing target that draws in work, and against one that never gets work again.
    TEST_F(BriarhitchSchedulerTest, FailingTargetIsBackedOffAndProbed)
    {
        makePool(2, 4);
        pool_->submit(request(1), now_);
        EXPECT_EQ(takeActions(), "g1:1");
        finish(1, AttemptOutcome::Failed);
        pool_->submit(request(2), now_);
        pool_->submit(request(3), now_);
        EXPECT_EQ(takeActions(), "g2:2 g3:2");
        now_ += 1s;
        pool_->tick(now_);
        pool_->submit(request(4), now_);
        pool_->submit(request(5), now_);
        EXPECT_EQ(takeActions(), "g4:1 g5:2");
        pool_->started({ RequestId(4), 1 }, 100ms, now_);
        pool_->submit(request(6), now_);
        EXPECT_EQ(takeActions(), "g6:1");
    }

}
}
