#include "briarhitch/sched/PoolScheduler.h"

#include "sched/TargetOutlierDetector.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };

    /** A pool of engines under the policy "slots", whose requests the test names by numbers. */
    struct Pool {
        explicit Pool(std::vector<uint32_t> slots, PoolKind kind = PoolKind::Model)
        {
            PoolSettings settings;
            settings.policy = "slots";
            settings.kind = kind;
            scheduler = std::move(*makePoolScheduler(settings));
            for (size_t i = 0; i < slots.size(); ++i) {
                Target target;
                target.id = TargetId(static_cast<uint32_t>(i + 1));
                target.slots = slots[i];
                target.tokensPerEvent = 5;
                targets.push_back(target);
            }
            scheduler->setTargets(targets, now);
        }

        PoolRequest request(uint64_t id, int64_t prompt = 600, int64_t output = 100, Tier tier = Tier(1), Tier urgency = Tier(1)) const
        {
            PoolRequest request;
            request.attempt = { RequestId(id), 1 };
            request.customer = CustomerId(1);
            request.kind = WorkKindId(1);
            request.tier = tier;
            request.urgency = urgency;
            request.promptTokens = Tokens(prompt);
            request.maxOutputTokens = Tokens(4000);
            request.expectedOutputTokens = Tokens(output);
            request.objective = now + 1s;
            request.deadline = now + 4s;
            request.responseDeadline = now + 15s;
            request.eventGapObjective = 200ms;
            return request;
        }

        void submit(const PoolRequest& request) { scheduler->submit(request, now); }
        void submit(uint64_t id) { submit(request(id)); }

        /** Takes the decisions since the last call into `granted` and `refused`. */
        void take()
        {
            for (const auto& action : scheduler->takeActions()) {
                if (const auto* grant = std::get_if<PoolGrant>(&action))
                    granted[grant->attempt.request.value()] = grant->target.value();
                else
                    refused[std::get<PoolRefusal>(action).attempt.request.value()] = std::get<PoolRefusal>(action);
            }
        }

        void finish(uint64_t id, AttemptOutcome outcome = AttemptOutcome::Completed, int64_t output = 100, Duration duration = 420ms)
        {
            scheduler->attemptStarted({ RequestId(id), 1 }, 20ms, now);
            scheduler->attemptFinished({ RequestId(id), 1 }, outcome, Tokens(600), Tokens(output), duration, now);
            take();
        }

        /** Teaches the pool how fast a target is, in milliseconds for a token. */
        void teach(uint32_t target, double msPerToken)
        {
            auto others = targets;
            std::erase_if(others, [&](const Target& other) { return other.id != TargetId(target); });
            scheduler->setTargets(others, now);
            for (int i = 0; i < 30; ++i) {
                uint64_t id = 100000 + target * 100 + static_cast<uint64_t>(i);
                submit(request(id, 1000));
                take();
                scheduler->attemptStarted({ RequestId(id), 1 }, fromSeconds((6 + 1000 * msPerToken * 0.0037) / 1000), now);
                scheduler->attemptFinished({ RequestId(id), 1 }, AttemptOutcome::Completed, Tokens(1000), Tokens(205), fromSeconds((6 + 1000 * msPerToken * 0.0037 + 200 * msPerToken) / 1000), now);
                take();
            }
            scheduler->setTargets(targets, now);
        }

        Instant now { start };
        std::unique_ptr<PoolScheduler> scheduler;
        std::vector<Target> targets;
        std::map<uint64_t, uint32_t> granted;
        std::map<uint64_t, PoolRefusal> refused;
    };

    // Guards against requests that queue at a target, where order and cancellation are lost.
    TEST(SlotSchedulerTest, NeverGrantsMoreThanThereArePlaces)
    {
        Pool pool({ 2, 1 });
        for (uint64_t id = 1; id <= 6; ++id)
            pool.submit(id);
        pool.take();
        EXPECT_EQ(pool.granted.size(), 3u);
        pool.finish(1);
        EXPECT_EQ(pool.granted.size(), 4u);
        EXPECT_TRUE(pool.granted.contains(4));
    }

    // Pattern: equal engines in several availability zones, links between which are dear. Guards against prompts and answers that
    // cross zones although their own has places as good, and against work that is late or slow for the sake of its zone.
    TEST(SlotSchedulerTest, OwnZoneIsPreferredWhereNothingIsLostByIt)
    {
        Pool pool({ 2, 2, 2 });
        for (size_t i = 0; i < pool.targets.size(); ++i)
            pool.targets[i].zone = i == 1 ? "sault" : "duluth";
        for (uint32_t target : { 1, 2, 3 })
            pool.teach(target, target == 3 ? 1.0 : 4.0);
        auto askFrom = [&](uint64_t id, const std::string& zone) {
            auto request = pool.request(id);
            request.zone = zone;
            pool.submit(request);
            pool.take();
        };
        askFrom(1, "sault");
        EXPECT_EQ(pool.granted[1], 3u) << "the one that is four times as fast";
        askFrom(2, "duluth");
        EXPECT_EQ(pool.granted[2], 3u);
        askFrom(3, "sault");
        EXPECT_EQ(pool.granted[3], 2u);
        askFrom(4, "sault");
        EXPECT_EQ(pool.granted[4], 2u) << "its own zone, though the other engine is empty";
        askFrom(5, "sault");
        EXPECT_EQ(pool.granted[5], 1u) << "a place in another zone is better than none";
    }

    // Pattern: a flood of the least urgent work. Guards against urgent work that waits behind it.
    TEST(SlotSchedulerTest, UrgentWorkOvertakesAWaitingFlood)
    {
        Pool pool({ 1 });
        pool.submit(1);
        for (uint64_t id = 10; id < 15; ++id)
            pool.submit(pool.request(id, 600, 100, Tier(1), Tier(2)));
        pool.submit(pool.request(20, 600, 100, Tier(1), Tier(0)));
        pool.submit(pool.request(21, 600, 100, Tier(0), Tier(2)));
        pool.take();
        pool.finish(1);
        EXPECT_TRUE(pool.granted.contains(21)) << "the customer's tier comes first";
        pool.finish(21);
        EXPECT_TRUE(pool.granted.contains(20)) << "within a tier the urgency of the kind";
        pool.finish(20);
        EXPECT_TRUE(pool.granted.contains(10));
    }

    // Pattern: load beyond capacity for seconds. Guards against late work that makes all work behind it late.
    TEST(SlotSchedulerTest, WorkInTimeGoesBeforeWorkThatIsLateAnyway)
    {
        Pool pool({ 1 });
        pool.submit(1);
        pool.submit(pool.request(2, 600, 100, Tier(0), Tier(0)));
        pool.take();
        pool.now += 1500ms;
        pool.scheduler->tick(pool.now);
        pool.submit(pool.request(3, 600, 100, Tier(1), Tier(1)));
        pool.take();
        pool.finish(1);
        EXPECT_TRUE(pool.granted.contains(3));
        pool.finish(3);
        EXPECT_TRUE(pool.granted.contains(2)) << "late work is still served when there is a place";
    }

    // Guards against requests that are held although they cannot start in time, and refusals without a time to come back.
    TEST(SlotSchedulerTest, HopelessWorkIsRefusedAtOnce)
    {
        Pool pool({ 1 });
        for (uint64_t id = 1; id <= 60; ++id)
            pool.submit(id);
        pool.take();
        EXPECT_GT(pool.refused.size(), 30u);
        EXPECT_TRUE(pool.refused.contains(60));
        EXPECT_FALSE(pool.refused.contains(2));
        EXPECT_EQ(pool.refused.at(60).kind, ErrorKind::DeadlineUnreachable);
        EXPECT_GT(pool.refused.at(60).retryAfter, 0s);
    }

    // Guards against a queue in which a request stays beyond its deadline.
    TEST(SlotSchedulerTest, WaitingWorkIsRefusedWhenItsTimeIsOver)
    {
        Pool pool({ 1 });
        pool.submit(1);
        pool.submit(2);
        pool.now += 4s;
        pool.scheduler->tick(pool.now);
        pool.take();
        EXPECT_TRUE(pool.refused.contains(2));
    }

    // Pattern: engines of one service differ in speed by a factor of five. Guards against long answers on engines that
    // cannot end them before their deadline.
    TEST(SlotSchedulerTest, LongAnswersGoToFastTargets)
    {
        Pool pool({ 9, 9 });
        pool.teach(1, 11.8);
        pool.teach(2, 2.3);
        pool.submit(pool.request(1, 600, 2000));
        pool.take();
        EXPECT_EQ(pool.granted.at(1), 2u);
    }

    // Pattern: long prompts beside running answers. Guards against pauses beyond the objective on a slow engine while a
    // faster one becomes free soon.
    TEST(SlotSchedulerTest, LongPromptsWaitForATargetWhoseAnswersTheyDoNotDelay)
    {
        Pool pool({ 9, 1 });
        pool.teach(1, 11.8);
        pool.teach(2, 2.3);
        pool.submit(pool.request(1, 600, 300));
        pool.submit(pool.request(2, 300, 50));
        pool.take();
        ASSERT_EQ(pool.granted.at(1), 2u);
        ASSERT_EQ(pool.granted.at(2), 1u);
        pool.scheduler->attemptStarted({ RequestId(2), 1 }, 20ms, pool.now);
        pool.submit(pool.request(3, 8000, 100, Tier(0), Tier(0)));
        pool.take();
        EXPECT_FALSE(pool.granted.contains(3));
        pool.finish(1);
        EXPECT_EQ(pool.granted.at(3), 2u);
    }

    // Guards against a target that already had the request, or that leaves, being granted.
    TEST(SlotSchedulerTest, ExcludedAndDrainingTargetsGetNothing)
    {
        Pool pool({ 1, 1, 1 });
        auto request = pool.request(1);
        request.excluded = { TargetId(1) };
        pool.targets[1].state = TargetState::Draining;
        pool.scheduler->setTargets(pool.targets, pool.now);
        pool.submit(request);
        pool.take();
        EXPECT_EQ(pool.granted.at(1), 3u);
        auto none = pool.request(2);
        none.excluded = { TargetId(1), TargetId(3) };
        pool.submit(none);
        pool.take();
        EXPECT_EQ(pool.refused.at(2).kind, ErrorKind::NoTarget);
    }

    // Guards against places that stay taken after a cancellation, a takeover or a target that left.
    TEST(SlotSchedulerTest, PlacesComeBack)
    {
        Pool pool({ 1 });
        pool.submit(1);
        pool.submit(2);
        pool.take();
        pool.scheduler->cancel({ RequestId(1), 1 }, pool.now);
        pool.take();
        EXPECT_TRUE(pool.granted.contains(2));
        pool.scheduler->restore(pool.request(3), TargetId(1), true, pool.now);
        pool.finish(2);
        pool.submit(4);
        pool.take();
        EXPECT_FALSE(pool.granted.contains(4)) << "the restored attempt has the place";
        pool.finish(3);
        EXPECT_TRUE(pool.granted.contains(4));
        auto stats = pool.scheduler->stats();
        EXPECT_EQ(stats.queued[1], 0u);
        EXPECT_EQ(stats.running[1], 1u);
        pool.scheduler->setTargets({}, pool.now);
        pool.finish(4);
        EXPECT_EQ(pool.scheduler->stats().running[1], 0u);
    }

    // Pattern: a long answer on a slow engine. Guards against moves to targets that are no faster, or that wait in line.
    TEST(SlotSchedulerTest, RunsMoveToMuchFasterTargetsOnlyAndFirst)
    {
        Pool pool({ 9, 1 });
        pool.teach(1, 11.8);
        pool.teach(2, 2.3);
        auto move = pool.request(1);
        move.migratesFrom = TargetId(2);
        move.deadline = pool.now + 40ms;
        pool.submit(move);
        pool.take();
        EXPECT_FALSE(pool.granted.contains(1)) << "there is nothing faster";
        pool.now += 50ms;
        pool.scheduler->tick(pool.now);
        pool.take();
        EXPECT_TRUE(pool.refused.contains(1));
        pool.submit(pool.request(2, 600, 2000));
        pool.take();
        ASSERT_EQ(pool.granted.at(2), 2u);
        pool.submit(pool.request(3, 600, 2000, Tier(0), Tier(0)));
        auto next = pool.request(4);
        next.migratesFrom = TargetId(1);
        next.deadline = pool.now + 40ms;
        pool.submit(next);
        pool.take();
        EXPECT_FALSE(pool.granted.contains(4));
        pool.finish(2);
        EXPECT_EQ(pool.granted.at(4), 2u);
    }

    /** Drives a pool with two kinds beyond its capacity; a place ends its request every `period`. */
    struct Overload {
        explicit Overload(Pool& pool)
            : pool(pool)
        {
        }

        /** Ends the running request that was granted first, if there is one. */
        void finishOldest()
        {
            for (; !order.empty() && ended.contains(order.front()); order.pop_front()) { }
            if (order.empty())
                return;
            ended.insert(order.front());
            pool.finish(order.front(), AttemptOutcome::Completed, 100, 400ms);
            collect();
        }

        void collect()
        {
            pool.take();
            for (const auto& [id, target] : pool.granted) {
                if (seen.insert(id).second)
                    order.push_back(id);
            }
        }

        Pool& pool;
        std::deque<uint64_t> order;
        std::set<uint64_t> seen;
        std::set<uint64_t> ended;
    };

    // Pattern: urgent work beyond capacity for seconds. Guards against a cheap, less urgent kind that gets no place at all.
    TEST(SlotSchedulerTest, LessUrgentKindKeepsAShareBesideUrgentWorkBeyondCapacity)
    {
        constexpr uint64_t cheap = 1000000;
        Pool pool({ 4 });
        Overload load(pool);
        for (uint64_t step = 1; step <= 400; ++step) {
            pool.now += 20ms;
            pool.scheduler->tick(pool.now);
            pool.submit(pool.request(step, 6000, 300, Tier(0), Tier(0)));
            pool.submit(pool.request(cheap + step, 600, 10, Tier(2), Tier(2)));
            load.collect();
            if (step % 2 == 0)
                load.finishOldest();
        }
        auto small = std::count_if(pool.granted.begin(), pool.granted.end(), [](const auto& grant) { return grant.first > cheap; });
        auto urgent = static_cast<int64_t>(pool.granted.size()) - small;
        EXPECT_GE(small, urgent / 5);
        EXPECT_LE(small, urgent) << "urgent work still goes first";
    }

    // Pattern: load beyond capacity for seconds. Guards against late work that waits for most of its time although all
    // places go to work in time, and against callers who are told to come back before there is a place.
    TEST(SlotSchedulerTest, LateWorkIsRefusedSoonWhileWorkInTimeTakesAllPlaces)
    {
        Pool pool({ 4 });
        Overload load(pool);
        std::map<uint64_t, Instant> submitted;
        Duration longestHeld {};
        for (uint64_t step = 1; step <= 400; ++step) {
            pool.now += 20ms;
            auto before = pool.refused;
            pool.scheduler->tick(pool.now);
            pool.submit(pool.request(step));
            submitted[step] = pool.now;
            load.collect();
            if (step % 2 == 0)
                load.finishOldest();
            for (const auto& [id, refusal] : pool.refused) {
                if (!before.contains(id) && step > 150)
                    longestHeld = std::max(longestHeld, pool.now - submitted[id]);
            }
        }
        EXPECT_LE(longestHeld, 2s);
        ASSERT_FALSE(pool.refused.empty());
        EXPECT_GE(pool.refused.rbegin()->second.retryAfter, 2s);
    }

    // Pattern: overload, after which refused callers come back. Guards against callers who are late already being served
    // before those who can still be in time.
    TEST(SlotSchedulerTest, CallerThatComesBackIsLateSinceItsFirstTry)
    {
        Pool pool({ 1 });
        auto work = [&](uint64_t id, uint32_t part) {
            auto request = pool.request(id);
            request.prefix = { part };
            return request;
        };
        for (uint32_t id = 1; id <= 60; ++id)
            pool.submit(work(id, id));
        pool.take();
        ASSERT_TRUE(pool.refused.contains(60));
        for (uint64_t id = 2; id <= 59; ++id)
            pool.scheduler->cancel({ RequestId(id), 1 }, pool.now);
        pool.now += 1500ms;
        pool.scheduler->tick(pool.now);
        pool.submit(work(100, 60));
        pool.submit(work(101, 200));
        pool.take();
        pool.finish(1);
        EXPECT_TRUE(pool.granted.contains(101));
        EXPECT_FALSE(pool.granted.contains(100));
        pool.finish(101);
        EXPECT_TRUE(pool.granted.contains(100)) << "it is served when there is a place";
    }

    // Pattern: plain services fail a part of their requests by themselves. Guards against backing off all of them.
    TEST(OutcomeHealthTest, UsualFailuresOfAllPeersDoNotBackOff)
    {
        TargetOutlierDetector health;
        for (int i = 0; i < 1000; ++i) {
            health.note(i % 7 == 0 ? OutcomeClass::Error : OutcomeClass::Good, 0.14, start + i * 10ms);
            ASSERT_TRUE(health.allows(3, start + i * 10ms)) << i;
        }
    }

    // Pattern: a target fails nearly half of its requests while its health check is good. Guards against going on with it.
    TEST(OutcomeHealthTest, TargetThatFailsMoreThanItsPeersIsBackedOffAndProbed)
    {
        TargetOutlierDetector health;
        int sent = 0;
        while (!health.isBackedOff() && sent < 60)
            health.note(++sent % 2 == 0 ? OutcomeClass::Broken : OutcomeClass::Good, 0.02, start);
        ASSERT_TRUE(health.isBackedOff());
        EXPECT_FALSE(health.allows(0, start));
        EXPECT_TRUE(health.allows(0, health.probeAt()));
        EXPECT_FALSE(health.allows(1, health.probeAt())) << "one probe at a time";
        health.note(OutcomeClass::Good, 0.02, health.probeAt());
        EXPECT_TRUE(health.allows(3, health.probeAt()));
    }

    // Guards against a target that cannot be reached and keeps costing connection attempts.
    TEST(OutcomeHealthTest, UnreachableTargetIsBackedOffAtOnce)
    {
        TargetOutlierDetector health;
        health.note(OutcomeClass::Unreachable, 0, start);
        EXPECT_FALSE(health.allows(0, start));
        auto first = health.probeAt();
        health.note(OutcomeClass::Unreachable, 0, first);
        EXPECT_GT(health.probeAt() - first, first - start);
        EXPECT_LE(health.probeAt() - first, 2s);
    }

    // Pattern: a quarter of the targets crash at once. Guards against going on to dial them because so many are down.
    TEST(OutcomeHealthTest, ManyCrashedPeersDoNotExcuseATarget)
    {
        TargetOutlierDetector health;
        health.note(OutcomeClass::Unreachable, 0.4, start);
        EXPECT_FALSE(health.allows(0, start));
    }

    // The same, seen at the pool: what is sent to crashed targets stays a small part.
    TEST(SlotSchedulerTest, CrashedTargetsGetOnlyProbes)
    {
        Pool pool({ 9, 9, 9, 9 });
        int toCrashed = 0;
        int toOthers = 0;
        for (uint64_t id = 1; id <= 400; ++id) {
            pool.now += 5ms;
            pool.scheduler->tick(pool.now);
            pool.submit(id);
            pool.take();
            ASSERT_TRUE(pool.granted.contains(id));
            bool isCrashed = pool.granted.at(id) <= 2;
            ++(isCrashed ? toCrashed : toOthers);
            if (isCrashed)
                pool.scheduler->attemptFinished({ RequestId(id), 1 }, AttemptOutcome::Unreachable, Tokens(), Tokens(), 1ms, pool.now);
            else
                pool.finish(id);
        }
        EXPECT_LE(toCrashed, 12);
        EXPECT_GE(toOthers, 388);
    }

}
}
