#include "briarhitch/rollout/VersionShare.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t firstNew = 1000;

    /** A pool under the policy "slots" with old targets from id 1 on, and new ones from firstNew on, in three zones. */
    struct Pool {
        Pool(uint32_t oldCount, uint32_t newCount, uint32_t slots = 4)
        {
            PoolSettings settings;
            settings.policy = "slots";
            settings.kind = PoolKind::Service;
            scheduler = std::move(*makePoolScheduler(settings));
            add(1, oldCount, "v1", slots);
            add(firstNew, newCount, "v2", slots);
            rollout.rollout = { RolloutId(1), "shop", "v2", 12000, 0, RolloutState::Running, RolloutStage::Trial, 60 };
            rollout.slack = 25;
            apply();
        }

        void add(uint32_t firstId, uint32_t count, const std::string& version, uint32_t slots)
        {
            for (uint32_t i = 0; i < count; ++i) {
                Target target;
                target.id = TargetId(firstId + i);
                target.slots = slots;
                target.zone = "z" + std::to_string(i % 3);
                target.softwareVersion = version;
                targets.push_back(target);
            }
        }

        /** Applies the rollout and the targets. */
        void apply()
        {
            rollout.targetVersionTargets = rollout.otherTargets = 0;
            for (const auto& target : targets)
                ++(target.softwareVersion == "v2" ? rollout.targetVersionTargets : rollout.otherTargets);
            scheduler->setRollout(rollout);
            scheduler->setTargets(targets, now);
            take();
        }

        void enter(RolloutStage stage, uint32_t share, RolloutState state = RolloutState::Running)
        {
            rollout.rollout.stage = stage;
            rollout.rollout.sharePermille = share;
            rollout.rollout.state = state;
            apply();
        }

        void take()
        {
            for (const auto& action : scheduler->takeActions()) {
                if (const auto* grant = std::get_if<PoolGrant>(&action))
                    grants[grant->attempt.request.value()] = grant->target.value();
                else
                    refusals[std::get<PoolRefusal>(action).attempt.request.value()] = std::get<PoolRefusal>(action).kind;
            }
        }

        uint64_t submit(uint32_t route = 1, const std::optional<std::string>& version = std::nullopt)
        {
            PoolRequest request;
            request.attempt = { RequestId(++lastId), 1 };
            request.kind = WorkKindId(route);
            request.softwareVersion = version;
            request.zone = "z" + std::to_string(lastId % 3);
            request.objective = now + 1s;
            request.deadline = request.responseDeadline = now + 4s;
            scheduler->submit(request, now);
            take();
            return lastId;
        }

        void finish(uint64_t id)
        {
            scheduler->attemptFinished({ RequestId(id), 1 }, AttemptOutcome::Completed, Tokens(0), Tokens(0), 30ms, now);
            take();
        }

        /** Runs requests one after the other. Returns how many the target version got, by route. */
        std::map<uint32_t, int> run(int count, const std::vector<uint32_t>& routes = { 1 })
        {
            std::map<uint32_t, int> byRoute;
            for (int i = 0; i < count; ++i) {
                auto route = routes[static_cast<size_t>(i) % routes.size()];
                auto id = submit(route);
                byRoute[route] += isNew(id) ? 1 : 0;
                finish(id);
            }
            return byRoute;
        }

        bool isNew(uint64_t id) const { return grants.contains(id) && grants.at(id) >= firstNew; }
        bool isOld(uint64_t id) const { return grants.contains(id) && grants.at(id) < firstNew; }
        std::set<uint32_t> newTargetsUsed() const
        {
            std::set<uint32_t> used;
            for (const auto& [id, target] : grants) {
                if (target >= firstNew)
                    used.insert(target);
            }
            return used;
        }

        Instant now { 1h };
        std::unique_ptr<PoolScheduler> scheduler;
        std::vector<Target> targets;
        PoolRollout rollout;
        std::map<uint64_t, uint32_t> grants;
        std::map<uint64_t, ErrorKind> refusals;
        uint64_t lastId { 0 };
    };

    // Guards against a faulty version that gets more than its share while callers send several times the usual load.
    TEST(VersionShareTest, BurstOfRequestsKeepsToTheShare)
    {
        Pool pool(9, 9);
        std::vector<uint64_t> running;
        int newCount = 0;
        for (int i = 0; i < 2000; ++i) {
            auto id = pool.submit(static_cast<uint32_t>(1 + i % 7));
            newCount += pool.isNew(id) ? 1 : 0;
            ASSERT_LE(newCount, 0.06 * (i + 1) + 25);
            running.push_back(id);
            // Thirty run at a time, on the 36 old slots and one canary.
            if (running.size() > 30) {
                pool.finish(running.front());
                running.erase(running.begin());
            }
        }
        EXPECT_GE(newCount, 0.05 * 2000);
    }

    // Guards against a fault that shows only under load and stays hidden because all new targets share the trial.
    TEST(VersionShareTest, TrialIsConcentratedOnTheTargetsThatItsLoadFills)
    {
        Pool nine(9, 9);
        nine.run(1000);
        EXPECT_EQ(nine.newTargetsUsed().size(), 1u);
        Pool sixty(60, 60);
        for (uint32_t i = 0; i < 200; ++i)
            sixty.submit(i % 7);
        EXPECT_EQ(sixty.newTargetsUsed(), (std::set<uint32_t> { firstNew, firstNew + 1, firstNew + 2 }));
    }

    // Guards against a fault on a rare route that is not seen because a frequent one uses up the share.
    TEST(VersionShareTest, EachRouteReachesTheCanaries)
    {
        Pool pool(9, 9);
        std::vector<uint32_t> routes(95, 1);
        routes.insert(routes.end(), { 2, 3, 4, 5, 6 });
        auto byRoute = pool.run(4000, routes);
        for (uint32_t route = 1; route <= 6; ++route)
            EXPECT_GE(byRoute[route], 2) << "route " << route;
        EXPECT_LE(byRoute[1], 0.06 * 3800 + 7);
    }

    // Guards against many entries, each without an owner, that send a new version a share each.
    TEST(VersionShareTest, EntryThatSelectsAloneUsesOneVersion)
    {
        Pool pool(4, 4);
        pool.rollout.isLocalSelection = true;
        pool.apply();
        EXPECT_EQ(pool.run(200)[1], 0);
        pool.enter(RolloutStage::Shift, 500);
        EXPECT_EQ(pool.run(200)[1], 0);
        pool.enter(RolloutStage::Drain, 1000);
        EXPECT_EQ(pool.run(200)[1], 200);
        pool.enter(RolloutStage::Drain, 1000, RolloutState::Completed);
        EXPECT_EQ(pool.run(200)[1], 200);
        pool.enter(RolloutStage::Shift, 500, RolloutState::RolledBack);
        EXPECT_EQ(pool.run(200)[1], 0);
    }

    // Guards against a step of the share that is made up for by what was not sent at the step before it, and against a return to
    // the trial that spends its slack again.
    TEST(VersionShareTest, EachStepCountsAnew)
    {
        Pool pool(9, 9);
        pool.run(1000);
        pool.enter(RolloutStage::Shift, 250);
        EXPECT_NEAR(pool.run(1000)[1], 250, 2);
        pool.enter(RolloutStage::Shift, 500);
        EXPECT_NEAR(pool.run(1000)[1], 500, 2);
        pool.enter(RolloutStage::Trial, 60);
        EXPECT_LE(pool.run(1000)[1], 60);
        pool.enter(RolloutStage::Drain, 1000);
        EXPECT_EQ(pool.run(100)[1], 100);
    }

    // Guards against requests that are sent to a version after its rollback because they had waited for one of its targets, and
    // against ones that wait in vain for a target that they may not use.
    TEST(VersionShareTest, RollbackReachesRequestsThatWait)
    {
        Pool pool(1, 2, 1);
        pool.enter(RolloutStage::Drain, 1000);
        auto first = pool.submit();
        auto second = pool.submit();
        auto waiting = pool.submit();
        auto bound = pool.submit(1, "v2");
        EXPECT_TRUE(pool.isNew(first) && pool.isNew(second));
        pool.enter(RolloutStage::Drain, 1000, RolloutState::RolledBack);
        EXPECT_TRUE(pool.isOld(waiting));
        EXPECT_EQ(pool.refusals[bound], ErrorKind::NoTarget);
        pool.finish(first);
        EXPECT_EQ(pool.run(20)[1], 0);
    }

    // Guards against predicted waits that count on targets which new requests may not use: these refusals come too late.
    TEST(VersionShareTest, PredictedWaitLeavesOutTargetsOfTheOtherVersion)
    {
        auto refusedOf = [](RolloutStage stage) {
            Pool pool(1, 20, 1);
            pool.enter(stage, stage == RolloutStage::Trial ? 0 : 1000);
            for (int i = 0; i < 400; ++i)
                pool.submit();
            return pool.refusals.size();
        };
        EXPECT_GT(refusedOf(RolloutStage::Trial), 200u);
        EXPECT_EQ(refusedOf(RolloutStage::Drain), 0u);
    }

    // Guards against new targets that get the whole share of the time before they existed as one burst.
    TEST(VersionShareTest, LateTargetsGetNoBurst)
    {
        Pool pool(9, 0);
        EXPECT_EQ(pool.run(5000)[1], 0);
        pool.add(firstNew, 9, "v2", 4);
        pool.apply();
        EXPECT_LE(pool.run(100)[1], 6 + 7);
        EXPECT_EQ(pool.newTargetsUsed().size(), 1u);
    }

    // Guards against a service that is refused because only the target version is left, or none of it.
    TEST(VersionShareTest, PoolWithOneVersionServesAllRequests)
    {
        Pool onlyNew(0, 3);
        EXPECT_EQ(onlyNew.run(100)[1], 100);
        Pool onlyOld(3, 0);
        onlyOld.enter(RolloutStage::Drain, 1000);
        EXPECT_EQ(onlyOld.run(100)[1], 0);
        EXPECT_TRUE(onlyOld.refusals.empty());
    }

    // Guards against a bound that is lost when all old targets fail at once.
    TEST(VersionShareTest, FailureOfAllOldTargetsDoesNotLiftTheBound)
    {
        Pool pool(1, 3);
        pool.targets.erase(pool.targets.begin());
        pool.apply();
        EXPECT_LE(pool.run(100)[1], 6 + 7);
        EXPECT_FALSE(pool.refusals.empty());
    }

    // Guards against a stream that is continued by another version, and one that is cut off while its targets run out of work.
    TEST(VersionShareTest, StreamsOfTheOldVersionContinueInDrain)
    {
        Pool pool(2, 2);
        pool.enter(RolloutStage::Drain, 1000);
        EXPECT_TRUE(pool.isOld(pool.submit(1, "v1")));
        EXPECT_TRUE(pool.isNew(pool.submit(1, "v2")));
        EXPECT_TRUE(pool.isNew(pool.submit(1)));
    }

}
}
