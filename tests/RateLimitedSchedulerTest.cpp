#include "briarhitch/sched/PoolScheduler.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** A pool of services whose targets may have rate limits; requests are identified by numbers. */
    class RateLimitedPool {
    public:
        RateLimitedPool(const std::string& policy, uint32_t targets)
        {
            PoolSettings settings;
            settings.policy = policy;
            settings.kind = PoolKind::Service;
            settings.rateLimiter = &limiter;
            scheduler = std::move(*makePoolScheduler(settings));
            std::vector<Target> listed;
            for (uint32_t id = 1; id <= targets; ++id) {
                Target target;
                target.id = TargetId(id);
                target.slots = 4;
                listed.push_back(target);
            }
            scheduler->setTargets(listed, now);
        }

        void submit(uint64_t id, Tier tier = Tier(1), TargetId migratesFrom = {})
        {
            PoolRequest request;
            request.attempt = { RequestId(id), 1 };
            request.customer = CustomerId(1);
            request.kind = WorkKindId(1);
            request.tier = tier;
            request.objective = now + 500ms;
            request.deadline = request.responseDeadline = now + 2500ms;
            request.migratesFrom = migratesFrom;
            scheduler->submit(request, now);
            take();
        }

        /** Finishes granted requests after 50 ms. */
        void advance(Duration time)
        {
            for (auto end = now + time; now < end;) {
                now += 10ms;
                for (auto it = running_.begin(); it != running_.end();) {
                    auto id = it->first;
                    bool isDone = now - it->second >= 50ms;
                    it = isDone ? running_.erase(it) : std::next(it);
                    if (isDone)
                        scheduler->attemptFinished({ RequestId(id), 1 }, AttemptOutcome::Completed, Tokens(), Tokens(), 50ms, now);
                }
                scheduler->tick(now);
                take();
            }
        }

        size_t grantsOf(uint32_t target) const
        {
            return static_cast<size_t>(std::count_if(grants.begin(), grants.end(), [&](const PoolGrant& grant) { return grant.target == TargetId(target); }));
        }

        Instant now { 1h };
        TargetRateLimiter limiter;
        std::unique_ptr<PoolScheduler> scheduler;
        std::vector<PoolGrant> grants;
        std::vector<PoolRefusal> refusals;

    private:
        void take()
        {
            for (const auto& action : scheduler->takeActions()) {
                if (const auto* grant = std::get_if<PoolGrant>(&action)) {
                    grants.push_back(*grant);
                    running_[grant->attempt.request.value()] = now;
                } else {
                    refusals.push_back(std::get<PoolRefusal>(action));
                }
            }
        }

        std::map<uint64_t, Instant> running_;
    };

    // Guards against a policy that grants beyond the rate limits, or never grants a limited target.
    TEST(RateLimitedSchedulerTest, EveryPolicyKeepsTheLimits)
    {
        for (const auto* policy : { "slots", "briarhitch", "naive", "two-choices" }) {
            RateLimitedPool pool(policy, 1);
            pool.limiter.setRate(TargetId(1), RequestRate(4), pool.now);
            for (uint64_t id = 1; id <= 400; ++id) {
                pool.submit(id);
                pool.advance(20ms);
            }
            EXPECT_LE(pool.grants.size(), 33u) << policy;
            EXPECT_GE(pool.grants.size(), 28u) << policy;
        }
    }

    // Guards against the use of an overloaded target while others have free slots, and against never asking it again.
    TEST(RateLimitedSchedulerTest, TargetsWithoutLimitGoFirst)
    {
        RateLimitedPool pool("slots", 2);
        pool.limiter.setRate(TargetId(1), RequestRate(4), pool.now);
        for (uint64_t id = 1; id <= 50; ++id) {
            pool.submit(id);
            pool.advance(100ms);
        }
        EXPECT_EQ(pool.grants.size(), 50u);
        EXPECT_LE(pool.grantsOf(1), 6u) << "one request a second shows whether the limit still holds";
        EXPECT_GE(pool.grantsOf(1), 3u);
        auto probes = pool.grantsOf(1);
        for (uint64_t id = 101; id <= 110; ++id)
            pool.submit(id);
        EXPECT_EQ(pool.grantsOf(1), probes + 1) << "the other target is full";
    }

    // Guards against less urgent requests that take the few requests a limit allows.
    TEST(RateLimitedSchedulerTest, UrgentRequestsGetTheLimitedRate)
    {
        RateLimitedPool pool("slots", 1);
        pool.limiter.setRate(TargetId(1), RequestRate(2), pool.now);
        pool.submit(1, Tier(2));
        pool.submit(2, Tier(0));
        pool.advance(500ms);
        ASSERT_EQ(pool.grants.size(), 1u);
        EXPECT_EQ(pool.grants[0].attempt.request, RequestId(2));
    }

    // Guards against requests that wait without a chance, and against refused callers who are all told to return at once.
    TEST(RateLimitedSchedulerTest, CallersWithoutRoomAreRefusedAtOnceAndReturnOneByOne)
    {
        RateLimitedPool pool("slots", 2);
        for (uint32_t target : { 1, 2 })
            pool.limiter.setRate(TargetId(target), RequestRate(1), pool.now);
        for (uint64_t id = 1; id <= 20; ++id)
            pool.submit(id);
        pool.advance(20ms);
        ASSERT_GE(pool.refusals.size(), 14u) << "two requests a second have room until the deadline";
        EXPECT_TRUE(std::all_of(pool.refusals.begin(), pool.refusals.end(), [](const PoolRefusal& refusal) { return refusal.isForRateLimit; }));
        for (size_t i = 1; i < pool.refusals.size(); ++i)
            EXPECT_GE(pool.refusals[i].retryAfter, pool.refusals[i - 1].retryAfter + 480ms) << i;
    }

    // Guards against a limit that is exceeded by the calls that migrate a running request, which the source target gets.
    TEST(RateLimitedSchedulerTest, MigrationCountsAtItsSource)
    {
        RateLimitedPool pool("slots", 2);
        for (uint64_t id = 1; id <= 20; ++id) {
            pool.submit(id);
            pool.advance(100ms);
        }
        pool.limiter.setRate(TargetId(1), RequestRate(1), pool.now);
        pool.limiter.setRate(TargetId(2), RequestRate(1), pool.now);
        pool.advance(2s);
        ASSERT_TRUE(pool.limiter.allowsRequest(TargetId(1), pool.now));
        pool.limiter.recordRequests(TargetId(1), 1, pool.now);
        pool.submit(100, Tier(0), TargetId(1));
        EXPECT_FALSE(std::any_of(pool.grants.begin(), pool.grants.end(), [](const PoolGrant& grant) { return grant.attempt.request == RequestId(100); })) << "the source allows no further request";
    }

}
}
