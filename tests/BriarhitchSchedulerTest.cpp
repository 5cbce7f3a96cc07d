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
            pool_->attemptFinished({ RequestId(id), 1 }, outcome, Tokens(100), Tokens(100), 1s, now_);
        }

        Instant now_ { 1000s };
        std::vector<Target> targets_;
        std::unique_ptr<PoolScheduler> pool_;
    };

    // Guards against less urgent work that is granted first because it arrived first.
    TEST_F(BriarhitchSchedulerTest, MoreUrgentTierIsGrantedFirst)
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

    // Guards against a customer with many requests that delays a customer with few.
    TEST_F(BriarhitchSchedulerTest, CustomersOfATierAlternate)
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
    TEST_F(BriarhitchSchedulerTest, FullQueueShedsNewestOfLeastUrgentTier)
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

    // Guards against queueing requests that will miss their deadline, and against wasted prefill.
    TEST_F(BriarhitchSchedulerTest, RequestThatCannotMeetItsDeadlineIsRefusedImmediately)
    {
        makePool(1, 1);
        for (uint64_t id = 1; id <= 20; ++id) {
            pool_->submit(request(id), now_);
            now_ += 1s;
            pool_->attemptStarted({ RequestId(id), 1 }, 200ms, now_);
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

    // Guards against a second dispatch to a target that already received the request, and against new work for a draining one.
    TEST_F(BriarhitchSchedulerTest, ExcludedAttemptedAndDrainingTargetsGetNoGrants)
    {
        makePool(3, 4);
        auto first = request(1);
        first.idempotencyKeyHash = 77;
        first.excluded = { TargetId(1) };
        pool_->submit(first, now_);
        EXPECT_EQ(takeActions(), "g1:2");
        targets_[2].state = TargetState::Draining;
        pool_->setTargets(targets_, now_);
        auto second = request(2);
        second.idempotencyKeyHash = 77;
        second.excluded = { TargetId(1) };
        pool_->submit(second, now_);
        EXPECT_EQ(takeActions(), "r2:no_target");
        now_ += 10min + 1s;
        pool_->tick(now_);
        auto third = request(3);
        third.idempotencyKeyHash = 77;
        third.excluded = { TargetId(1) };
        pool_->submit(third, now_);
        EXPECT_EQ(takeActions(), "g3:2");
    }

    // Guards against a failing target that attracts work, and against one that never gets work again.
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
        pool_->attemptStarted({ RequestId(4), 1 }, 100ms, now_);
        pool_->submit(request(6), now_);
        EXPECT_EQ(takeActions(), "g6:1");
    }

    // Guards against a pool that keeps refusing all requests after its targets were temporarily slow.
    TEST_F(BriarhitchSchedulerTest, AdmitsAgainAfterSlowResponses)
    {
        makePool(1, 4);
        for (uint64_t id = 1; id <= 40; ++id) {
            pool_->submit(request(id), now_);
            now_ += 10s;
            pool_->attemptStarted({ RequestId(id), 1 }, 10s, now_);
            finish(id);
        }
        takeActions();
        now_ += 6s;
        auto shortDeadline = request(41);
        shortDeadline.deadline = now_ + 4s;
        pool_->submit(shortDeadline, now_);
        EXPECT_EQ(takeActions(), "g41:1");
    }

    // Guards against a target that stays overloaded because its settings give too many slots.
    TEST_F(BriarhitchSchedulerTest, WindowOfSlowTargetShrinks)
    {
        makePool(1, 1000);
        uint64_t id = 0;
        for (int i = 0; i < 60; ++i) {
            pool_->submit(request(++id), now_);
            now_ += 1s;
            pool_->attemptStarted({ RequestId(id), 1 }, 5s, now_);
            finish(id);
        }
        takeActions();
        for (int i = 0; i < 1000; ++i) {
            auto longDeadline = request(++id);
            longDeadline.deadline = now_ + 1h;
            pool_->submit(longDeadline, now_);
        }
        const auto stats = pool_->stats();
        EXPECT_GT(stats.queued[0], 500U);
        EXPECT_GT(stats.running[0], 0U);
    }

    // Guards against starvation of a kind of work while more urgent work fills the pool.
    TEST_F(BriarhitchSchedulerTest, FloorGuaranteesFractionToKind)
    {
        PoolSettings settings;
        settings.floors[WorkKindId(2)] = 0.25;
        makePool(1, 1, settings);
        uint64_t id = 0;
        for (int i = 0; i < 100; ++i) {
            pool_->submit(request(++id, 0), now_);
            auto floored = request(++id, 3);
            floored.kind = WorkKindId(2);
            pool_->submit(floored, now_);
        }
        int served = 0;
        for (int i = 0; i < 80; ++i) {
            now_ += 100ms;
            const auto actions = pool_->takeActions();
            ASSERT_FALSE(actions.empty());
            const auto attempt = std::get<PoolGrant>(actions.back()).attempt;
            served += attempt.request.value() % 2 == 0;
            pool_->attemptFinished(attempt, AttemptOutcome::Completed, Tokens(100), Tokens(100), 100ms, now_);
        }
        EXPECT_NEAR(served, 20, 4);
    }

    // Guards against recomputing prompts that a target has cached, and against overloading that target.
    TEST_F(BriarhitchSchedulerTest, PrefixAffinityIsLimitedByLoad)
    {
        makePool(3, 4);
        auto withPrefix = [&](uint64_t id) {
            auto made = request(id);
            made.prefix = { 5, 6, 7 };
            made.promptTokens = Tokens(2000);
            return made;
        };
        pool_->submit(withPrefix(1), now_);
        pool_->submit(withPrefix(2), now_);
        EXPECT_EQ(takeActions(), "g1:1 g2:1");
        for (uint64_t id = 3; id <= 8; ++id)
            pool_->submit(withPrefix(id), now_);
        const auto text = takeActions();
        EXPECT_NE(text.find(":2"), std::string::npos) << text;
    }

    // Guards against more concurrent calls than a service has slots.
    TEST_F(BriarhitchSchedulerTest, ServicePoolGrantsUpToSlots)
    {
        PoolSettings settings;
        settings.kind = PoolKind::Service;
        makePool(2, 2, settings);
        for (uint64_t id = 1; id <= 5; ++id)
            pool_->submit(request(id), now_);
        EXPECT_EQ(takeActions(), "g1:1 g2:2 g3:1 g4:2");
        EXPECT_EQ(pool_->stats().queued[0], 1U);
        finish(1);
        EXPECT_EQ(takeActions(), "g5:1");
    }

    // Guards against a new pool owner that ignores attempts granted by its predecessor.
    TEST_F(BriarhitchSchedulerTest, RestoredAttemptsOccupyTheirTargets)
    {
        makePool(2, 1);
        auto earlier = request(1);
        earlier.idempotencyKeyHash = 9;
        pool_->restore(earlier, TargetId(1), true, now_);
        pool_->restoreRecentAttempt(9, TargetId(2), now_);
        auto again = request(2);
        again.idempotencyKeyHash = 9;
        pool_->submit(again, now_);
        pool_->submit(request(3), now_);
        pool_->submit(request(4), now_);
        EXPECT_EQ(takeActions(), "r2:no_target g3:2");
        finish(1);
        EXPECT_EQ(takeActions(), "g4:1");
    }

    // Guards against queueing requests while no target is reachable.
    TEST_F(BriarhitchSchedulerTest, UnreachableTargetsCauseImmediateRefusal)
    {
        makePool(1, 1);
        LoadReport report;
        report.target = TargetId(1);
        report.reachable = false;
        pool_->reportLoad(report, now_);
        pool_->submit(request(1), now_);
        EXPECT_EQ(takeActions(), "r1:no_target");
        report.reachable = true;
        pool_->reportLoad(report, now_);
        pool_->submit(request(2), now_);
        EXPECT_EQ(takeActions(), "g2:1");
    }

}
}
