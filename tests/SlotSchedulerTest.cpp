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

    /** A pool under the policy "slots", whose requests are identified by numbers. */
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

        /** Moves the decisions since the last call into `granted` and `refused`. */
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

        /** Runs requests from which the scheduler learns a target's speed, in milliseconds per token. */
        void trainSpeed(uint32_t target, double msPerToken)
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

    // Guards against requests that queue at a target, where they can be neither reordered nor cancelled.
    TEST(SlotSchedulerTest, NeverGrantsMoreThanFreeSlots)
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

    // Engines in several availability zones, with expensive traffic between them. Guards against requests that leave their
    // zone although it has equally fast slots, and against requests that are slow or miss their objective to stay in it.
    TEST(SlotSchedulerTest, PrefersOwnZoneUnlessObjectiveOrSpeedSuffers)
    {
        Pool pool({ 2, 2, 2 });
        for (size_t i = 0; i < pool.targets.size(); ++i)
            pool.targets[i].zone = i == 1 ? "sault" : "duluth";
        for (uint32_t target : { 1, 2, 3 })
            pool.trainSpeed(target, target == 3 ? 1.0 : 4.0);
        auto submitFrom = [&](uint64_t id, const std::string& zone) {
            auto request = pool.request(id);
            request.zone = zone;
            pool.submit(request);
            pool.take();
        };
        submitFrom(1, "sault");
        EXPECT_EQ(pool.granted[1], 3u) << "the target that is four times as fast";
        submitFrom(2, "duluth");
        EXPECT_EQ(pool.granted[2], 3u);
        submitFrom(3, "sault");
        EXPECT_EQ(pool.granted[3], 2u);
        submitFrom(4, "sault");
        EXPECT_EQ(pool.granted[4], 2u) << "its own zone, although the other target is idle";
        submitFrom(5, "sault");
        EXPECT_EQ(pool.granted[5], 1u) << "its own zone has no free slot";
    }

    // Guards against urgent work that waits behind a flood of less urgent work.
    TEST(SlotSchedulerTest, UrgentWorkIsGrantedBeforeQueuedLessUrgentWork)
    {
        Pool pool({ 1 });
        pool.submit(1);
        for (uint64_t id = 10; id < 15; ++id)
            pool.submit(pool.request(id, 600, 100, Tier(1), Tier(2)));
        pool.submit(pool.request(20, 600, 100, Tier(1), Tier(0)));
        pool.submit(pool.request(21, 600, 100, Tier(0), Tier(2)));
        pool.take();
        pool.finish(1);
        EXPECT_TRUE(pool.granted.contains(21)) << "ordered by tier first";
        pool.finish(21);
        EXPECT_TRUE(pool.granted.contains(20)) << "ordered by the urgency of the kind within a tier";
        pool.finish(20);
        EXPECT_TRUE(pool.granted.contains(10));
    }

    // Load exceeds capacity for seconds. Guards against requests that miss their objective and make all queued ones miss it too.
    TEST(SlotSchedulerTest, WorkMeetingItsObjectiveIsGrantedBeforeWorkMissingIt)
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
        EXPECT_TRUE(pool.granted.contains(2)) << "work that misses its objective is still granted when a slot is free";
    }

    // Guards against queueing requests that cannot meet their deadline, and against refusals without a time to retry.
    TEST(SlotSchedulerTest, WorkThatCannotMeetItsDeadlineIsRefusedImmediately)
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

    // Guards against requests that stay queued after their deadline.
    TEST(SlotSchedulerTest, QueuedWorkIsRefusedAfterItsDeadline)
    {
        Pool pool({ 1 });
        pool.submit(1);
        pool.submit(2);
        pool.now += 4s;
        pool.scheduler->tick(pool.now);
        pool.take();
        EXPECT_TRUE(pool.refused.contains(2));
    }

    // Engines of one service differ in speed by a factor of five. Guards against long responses on engines that cannot
    // complete them by their deadline.
    TEST(SlotSchedulerTest, LongResponsesAreGrantedToFastTargets)
    {
        Pool pool({ 9, 9 });
        pool.trainSpeed(1, 11.8);
        pool.trainSpeed(2, 2.3);
        pool.submit(pool.request(1, 600, 2000));
        pool.take();
        EXPECT_EQ(pool.granted.at(1), 2u);
    }

    // Long prompts are submitted while streams are running. Guards against prefill that pauses streams of a slow engine
    // longer than their objective although a faster engine becomes free soon.
    TEST(SlotSchedulerTest, LongPromptsWaitForTargetWhoseStreamsTheyDoNotDelay)
    {
        Pool pool({ 9, 1 });
        pool.trainSpeed(1, 11.8);
        pool.trainSpeed(2, 2.3);
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

    // Guards against grants to targets that already received the request or are draining.
    TEST(SlotSchedulerTest, ExcludedAndDrainingTargetsGetNoGrants)
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

    // Guards against slots that stay occupied after a cancellation, a takeover or the removal of a target.
    TEST(SlotSchedulerTest, SlotsAreReleased)
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
        EXPECT_FALSE(pool.granted.contains(4)) << "the restored attempt occupies the slot";
        pool.finish(3);
        EXPECT_TRUE(pool.granted.contains(4));
        auto stats = pool.scheduler->stats();
        EXPECT_EQ(stats.queued[1], 0u);
        EXPECT_EQ(stats.running[1], 1u);
        pool.scheduler->setTargets({}, pool.now);
        pool.finish(4);
        EXPECT_EQ(pool.scheduler->stats().running[1], 0u);
    }

    // A long response runs on a slow engine. Guards against migrations to targets that are not faster, and against migrations
    // that wait behind queued requests.
    TEST(SlotSchedulerTest, RunsMigrateOnlyToMuchFasterTargetsAndBeforeQueuedWork)
    {
        Pool pool({ 9, 1 });
        pool.trainSpeed(1, 11.8);
        pool.trainSpeed(2, 2.3);
        auto migration = pool.request(1);
        migration.migratesFrom = TargetId(2);
        migration.deadline = pool.now + 40ms;
        pool.submit(migration);
        pool.take();
        EXPECT_FALSE(pool.granted.contains(1)) << "no target is faster";
        pool.now += 50ms;
        pool.scheduler->tick(pool.now);
        pool.take();
        EXPECT_TRUE(pool.refused.contains(1));
        pool.submit(pool.request(2, 600, 2000));
        pool.take();
        ASSERT_EQ(pool.granted.at(2), 2u);
        pool.submit(pool.request(3, 600, 2000, Tier(0), Tier(0)));
        auto secondMigration = pool.request(4);
        secondMigration.migratesFrom = TargetId(1);
        secondMigration.deadline = pool.now + 40ms;
        pool.submit(secondMigration);
        pool.take();
        EXPECT_FALSE(pool.granted.contains(4));
        pool.finish(2);
        EXPECT_EQ(pool.granted.at(4), 2u);
    }

    /** Completes requests of a pool whose load exceeds its capacity, in the order in which they were granted. */
    struct Overload {
        explicit Overload(Pool& pool)
            : pool(pool)
        {
        }

        /** Completes the running request that was granted first, if there is one. */
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

    // Urgent work exceeds capacity for seconds. Guards against a cheap, less urgent kind that gets no slot at all.
    TEST(SlotSchedulerTest, LessUrgentKindKeepsSlotsWhileUrgentWorkExceedsCapacity)
    {
        constexpr uint64_t firstCheapId = 1000000;
        Pool pool({ 4 });
        Overload load(pool);
        for (uint64_t step = 1; step <= 400; ++step) {
            pool.now += 20ms;
            pool.scheduler->tick(pool.now);
            pool.submit(pool.request(step, 6000, 300, Tier(0), Tier(0)));
            pool.submit(pool.request(firstCheapId + step, 600, 10, Tier(2), Tier(2)));
            load.collect();
            if (step % 2 == 0)
                load.finishOldest();
        }
        auto cheapGrants = std::count_if(pool.granted.begin(), pool.granted.end(), [](const auto& grant) { return grant.first > firstCheapId; });
        auto urgentGrants = static_cast<int64_t>(pool.granted.size()) - cheapGrants;
        EXPECT_GE(cheapGrants, urgentGrants / 5);
        EXPECT_LE(cheapGrants, urgentGrants) << "urgent work still has priority";
    }

    // Load exceeds capacity for seconds. Guards against requests that miss their objective and stay queued until shortly
    // before their deadline although all slots go to others, and against retry times before a slot can be free.
    TEST(SlotSchedulerTest, WorkMissingItsObjectiveIsRefusedSoonUnderOverload)
    {
        Pool pool({ 4 });
        Overload load(pool);
        std::map<uint64_t, Instant> submitted;
        Duration longestQueued {};
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
                    longestQueued = std::max(longestQueued, pool.now - submitted[id]);
            }
        }
        EXPECT_LE(longestQueued, 2s);
        ASSERT_FALSE(pool.refused.empty());
        EXPECT_GE(pool.refused.rbegin()->second.retryAfter, 2s);
    }

    // Refused callers retry after an overload. Guards against retries that already miss their objective being granted before
    // requests that can still meet theirs.
    TEST(SlotSchedulerTest, RetriedRequestKeepsObjectiveOfFirstAttempt)
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
        EXPECT_TRUE(pool.granted.contains(100)) << "it is granted when a slot is free";
    }

    // All targets of a plain service fail a fraction of their requests. Guards against backing off all of them.
    TEST(TargetOutlierDetectorTest, ErrorRateSharedByAllPeersCausesNoBackoff)
    {
        TargetOutlierDetector detector;
        for (int i = 0; i < 1000; ++i) {
            detector.recordOutcome(i % 7 == 0 ? OutcomeClass::ServerError : OutcomeClass::Success, 0.14, start + i * 10ms);
            ASSERT_TRUE(detector.allowsRequest(3, start + i * 10ms)) << i;
        }
    }

    // A target fails half of its requests while its health check succeeds. Guards against continued use of it.
    TEST(TargetOutlierDetectorTest, TargetFailingMoreThanPeersIsBackedOffAndProbed)
    {
        TargetOutlierDetector detector;
        int sent = 0;
        while (!detector.isBackedOff() && sent < 60)
            detector.recordOutcome(++sent % 2 == 0 ? OutcomeClass::Aborted : OutcomeClass::Success, 0.02, start);
        ASSERT_TRUE(detector.isBackedOff());
        EXPECT_FALSE(detector.allowsRequest(0, start));
        EXPECT_TRUE(detector.allowsRequest(0, detector.probeAt()));
        EXPECT_FALSE(detector.allowsRequest(1, detector.probeAt())) << "only one probe at a time";
        detector.recordOutcome(OutcomeClass::Success, 0.02, detector.probeAt());
        EXPECT_TRUE(detector.allowsRequest(3, detector.probeAt()));
    }

    // Guards against repeated connection attempts to an unreachable target.
    TEST(TargetOutlierDetectorTest, UnreachableTargetIsBackedOffImmediately)
    {
        TargetOutlierDetector detector;
        detector.recordOutcome(OutcomeClass::Unreachable, 0, start);
        EXPECT_FALSE(detector.allowsRequest(0, start));
        auto first = detector.probeAt();
        detector.recordOutcome(OutcomeClass::Unreachable, 0, first);
        EXPECT_GT(detector.probeAt() - first, first - start);
        EXPECT_LE(detector.probeAt() - first, 2s);
    }

    // Many targets crash at once. Guards against connecting to them further because the error rate of their peers is high.
    TEST(TargetOutlierDetectorTest, CrashedPeersDoNotPreventBackoff)
    {
        TargetOutlierDetector detector;
        detector.recordOutcome(OutcomeClass::Unreachable, 0.4, start);
        EXPECT_FALSE(detector.allowsRequest(0, start));
    }

    // The same in a pool: only few requests are sent to crashed targets.
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

    /** A pool whose target 1 has software v1 and one slot, and target 2 has v2 and four. */
    Pool poolOfTwoVersions()
    {
        Pool pool({ 1, 4 });
        pool.targets[0].softwareVersion = "v1";
        pool.targets[1].softwareVersion = "v2";
        pool.scheduler->setTargets(pool.targets, pool.now);
        return pool;
    }

    PoolRequest continuationAt(const Pool& pool, uint64_t id, const std::string& version)
    {
        auto request = pool.request(id);
        request.softwareVersion = version;
        request.deadline = request.responseDeadline = pool.now + 1h;
        return request;
    }

    // Guards against a stream that is continued by a target of another software version, and against one that waits for none.
    TEST(SlotSchedulerTest, ContinuationIsGrantedItsVersionOnly)
    {
        auto pool = poolOfTwoVersions();
        for (uint64_t id = 1; id <= 5; ++id)
            pool.submit(continuationAt(pool, id, "v2"));
        pool.submit(continuationAt(pool, 6, "v3"));
        pool.take();
        EXPECT_EQ(pool.granted, (std::map<uint64_t, uint32_t> { { 1, 2 }, { 2, 2 }, { 3, 2 }, { 4, 2 } }));
        ASSERT_TRUE(pool.refused.contains(6));
        EXPECT_EQ(pool.refused[6].kind, ErrorKind::NoTarget);
        pool.targets.pop_back();
        pool.scheduler->setTargets(pool.targets, pool.now);
        pool.take();
        EXPECT_TRUE(pool.refused.contains(5));
    }

    // Guards against streams that wait for the full targets of one version and keep new requests from those of another.
    TEST(SlotSchedulerTest, WaitingContinuationsDoNotBlockOtherVersions)
    {
        auto pool = poolOfTwoVersions();
        for (uint64_t id = 1; id <= 200; ++id)
            pool.submit(continuationAt(pool, id, "v1"));
        pool.submit(1000);
        pool.take();
        EXPECT_EQ(pool.granted[1], 1U);
        EXPECT_EQ(pool.granted[1000], 2U);
    }

    // Guards against callers that lose the events they have because new requests are served before their streams go on.
    TEST(SlotSchedulerTest, ContinuationGoesBeforeNewRequests)
    {
        Pool pool({ 1 });
        pool.targets[0].softwareVersion = "v1";
        pool.scheduler->setTargets(pool.targets, pool.now);
        pool.submit(1);
        for (uint64_t id = 2; id <= 4; ++id)
            pool.submit(pool.request(id, 600, 100, Tier(1), Tier(0)));
        pool.submit(continuationAt(pool, 5, "v1"));
        pool.take();
        pool.finish(1);
        EXPECT_TRUE(pool.granted.contains(5));
        EXPECT_FALSE(pool.granted.contains(2));
    }

}
}
