#include "briarhitch/entry/PoolHost.h"

#include "briarhitch/entry/RolloutReporter.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <cmath>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t other = 0;
    constexpr size_t target = 1;

    /** Node 1 owns pool 10 with old targets 1 and 2 and the new target 3, under a trial of half of the requests. */
    struct Owner {
        Owner()
        {
            config.version = Version(5);
            for (uint32_t id = 1; id <= 2; ++id)
                config.nodes[NodeId(id)] = nodeRecord(id);
            for (uint32_t id = 1; id <= 3; ++id) {
                Target listed;
                listed.id = TargetId(id);
                listed.pool = PoolId(10);
                listed.slots = 8;
                listed.softwareVersion = id == 3 ? "v2" : "v1";
                config.targets[listed.id] = listed;
            }
            config.rollouts["m7"] = { RolloutId(4), "m7", "v2", 12000, 0, RolloutState::Running, RolloutStage::Trial, 500 };
            PoolHostSettings settings;
            settings.self = NodeId(1);
            settings.incarnation = Incarnation(1);
            settings.region = "lakes";
            settings.pool.policy = "slots";
            settings.rollout = RolloutBounds {};
            PoolHostHooks hooks { [this] { return hasLease; }, [] {}, [](const SuspectVerdict&) {}, clock.hook() };
            hooks.reportRollout = [this](const RolloutReport& report) { reports.push_back(report); };
            host = std::make_unique<PoolHost>(settings, transport, metrics, hooks);
            takeOver(Epoch(2));
        }

        void takeOver(Epoch epoch, const std::vector<uint32_t>& syncing = { 1, 2 })
        {
            config.pools[PoolId(10)] = modelPool(10, epoch, 1);
            host->onConfigChange(config);
            for (auto node : syncing)
                host->onMessage(NodeId(node), LinkId(1), MessageType::PoolSync, encode(PoolSync { PoolId(10), epoch, {}, {}, {}, {}, {} }));
        }

        /** Has a request granted. Returns the target. */
        TargetId grant(uint64_t id, uint32_t route = 7)
        {
            GrantRequest request;
            request.pool = PoolId(10);
            request.attempt = { RequestId(id), 1 };
            request.kind = WorkKindId(route);
            request.deadlineMs = 5000;
            host->onMessage(NodeId(2), LinkId(1), MessageType::GrantRequest, encode(request));
            auto grants = transport.replied<Grant>(MessageType::Grant, NodeId(2));
            return grants.empty() || grants.back().attempt != request.attempt ? TargetId() : grants.back().target;
        }

        void finish(uint64_t id, AttemptOutcome outcome = AttemptOutcome::Completed, uint32_t durationMs = 100)
        {
            AttemptFinished finished { PoolId(10), { RequestId(id), 1 }, outcome, Tokens(0), Tokens(0), durationMs };
            host->onMessage(NodeId(2), LinkId(1), MessageType::AttemptFinished, encode(finished));
        }

        /** The next report, with the sums over all routes for the other versions and the target version. */
        std::array<RolloutCounters, 2> report()
        {
            clock.now += 250ms;
            host->tick();
            std::array<RolloutCounters, 2> sums;
            for (const auto& counters : reports.empty() ? std::vector<RolloutCounters>() : reports.back().counters) {
                auto& sum = sums.at(counters.isTargetVersion ? target : other);
                sum.granted += counters.granted;
                sum.answered += counters.answered;
                sum.bad += counters.bad;
                sum.samples += counters.samples;
                sum.logLatencySum += counters.logLatencySum;
            }
            return sums;
        }

        bool hasLease { true };
        ManualClock clock;
        FakeTransport transport;
        MetricRegistry metrics;
        ClusterConfig config;
        std::vector<RolloutReport> reports;
        std::unique_ptr<PoolHost> host;
    };

    // Guards against a lost report that takes what it counted with it, and against outcomes that are counted as a version's
    // answers although its target never answered.
    TEST(OwnerRolloutsTest, ReportsAreCumulativeAndCountAnswers)
    {
        Owner owner;
        ASSERT_EQ(owner.grant(1), TargetId(3));
        owner.host->onMessage(NodeId(2), LinkId(1), MessageType::AttemptStarted, encode(AttemptStarted { PoolId(10), { RequestId(1), 1 }, 50 }));
        auto sums = owner.report();
        EXPECT_EQ(sums[target].granted, 1u);
        EXPECT_EQ(sums[target].samples, 1u);
        EXPECT_EQ(owner.reports.back().runningOnTargetVersion, 1u);
        EXPECT_EQ(owner.reports.back().appliedVersion, Version(5));
        EXPECT_EQ(owner.reports.back().rollout, RolloutId(4));
        EXPECT_EQ(owner.reports.back().epoch, Epoch(2));
        EXPECT_EQ(owner.reports.back().activeTargets, 1u);
        owner.finish(1);
        std::map<TargetId, AttemptOutcome> outcomes;
        for (uint64_t id = 2; id <= 40; ++id) {
            owner.grant(id);
            owner.finish(id, id % 4 == 0 ? AttemptOutcome::Errored : id % 4 == 1 ? AttemptOutcome::Failed
                    : id % 4 == 2                                                ? AttemptOutcome::Refused
                                                                                 : AttemptOutcome::Completed);
        }
        sums = owner.report();
        EXPECT_EQ(sums[target].granted + sums[other].granted, 40u);
        EXPECT_EQ(sums[target].bad + sums[other].bad, 19u);
        EXPECT_EQ(sums[target].answered + sums[other].answered, 30u);
        EXPECT_EQ(sums[target].samples + sums[other].samples, 11u);
        EXPECT_NEAR(sums[target].logLatencySum + sums[other].logLatencySum, std::log(50) + 10 * std::log(100), 1e-9);
        EXPECT_EQ(owner.reports.back().runningOnTargetVersion + owner.reports.back().runningOnOthers, 0u);
        size_t before = owner.reports.size();
        owner.host->tick();
        EXPECT_EQ(owner.reports.size(), before);
    }

    // Guards against a rollout that completes although an attempt from before it, or one whose end is not known, still runs
    // on an old target.
    TEST(OwnerRolloutsTest, RunningRequestsAreThoseOfTheOwner)
    {
        Owner owner;
        auto rollouts = std::exchange(owner.config.rollouts, {});
        owner.host->onConfigChange(owner.config);
        owner.config.targets[TargetId(3)].state = TargetState::Draining;
        owner.host->onConfigChange(owner.config);
        owner.grant(1);
        owner.config.rollouts = rollouts;
        owner.host->onConfigChange(owner.config);
        owner.report();
        EXPECT_EQ(owner.reports.back().runningOnOthers, 1u);
        owner.host->onMessage(NodeId(2), LinkId(1), MessageType::GrantCancellation, encode(GrantCancellation { PoolId(10), { RequestId(1), 1 }, true }));
        owner.report();
        EXPECT_EQ(owner.reports.back().runningOnOthers, 0u);
    }

    // Guards against counters that the leader adds up twice.
    TEST(OwnerRolloutsTest, NewEpochStartsAtZero)
    {
        Owner owner;
        owner.grant(1);
        owner.finish(1);
        EXPECT_EQ(owner.report()[target].granted, 1u);
        owner.takeOver(Epoch(3));
        EXPECT_EQ(owner.report()[target].granted, 0u);
        EXPECT_EQ(owner.reports.back().epoch, Epoch(3));
    }

    // Guards against a rollout that completes while an entry which the owner has not heard from runs requests on old targets.
    TEST(OwnerRolloutsTest, EntryThatMayRunUnknownRequestsCountsAsRunning)
    {
        Owner owner;
        owner.report();
        EXPECT_EQ(owner.reports.back().runningOnOthers, 0u);
        owner.host->onEntryDisconnected(NodeId(2));
        owner.report();
        EXPECT_EQ(owner.reports.back().runningOnOthers, 1u);
        owner.takeOver(Epoch(3), { 1 });
        owner.clock.now += 600ms;
        owner.report();
        ASSERT_TRUE(owner.host->isActive(PoolId(10)));
        EXPECT_EQ(owner.reports.back().runningOnOthers, 1u);
        owner.host->onMessage(NodeId(2), LinkId(2), MessageType::PoolSync, encode(PoolSync { PoolId(10), Epoch(3), {}, {}, {}, {}, {} }));
        owner.report();
        EXPECT_EQ(owner.reports.back().runningOnOthers, 0u);
    }

    // Guards against an owner that grants the slack of the trial again each time it gets its lease back.
    TEST(OwnerRolloutsTest, SlackIsUsedOnceInAnEpoch)
    {
        Owner owner;
        owner.config.rollouts["m7"].sharePermille = 0;
        owner.config.version = Version(6);
        owner.host->onConfigChange(owner.config);
        auto grantNew = [&](uint64_t from) {
            int count = 0;
            for (uint64_t id = from; id < from + 40; ++id) {
                count += owner.grant(id) == TargetId(3) ? 1 : 0;
                owner.finish(id);
            }
            return count;
        };
        // The share changed after the trial had begun, so the slack is that of the first share.
        EXPECT_EQ(grantNew(1), 0);
        owner.config.rollouts["m7"].id = RolloutId(5);
        owner.host->onConfigChange(owner.config);
        EXPECT_EQ(grantNew(100), 6);
        owner.hasLease = false;
        owner.host->tick();
        owner.hasLease = true;
        owner.host->tick();
        EXPECT_EQ(grantNew(200), 0);
    }

    // Guards against reports after the end of a rollout, and against a rollback that leaves the version in use.
    TEST(OwnerRolloutsTest, EndedRolloutIsNotReported)
    {
        Owner owner;
        owner.config.rollouts["m7"].state = RolloutState::RolledBack;
        owner.host->onConfigChange(owner.config);
        owner.reports.clear();
        for (uint64_t id = 1; id <= 10; ++id)
            EXPECT_NE(owner.grant(id), TargetId(3));
        owner.report();
        EXPECT_TRUE(owner.reports.empty());
    }

    // Guards against a slow control leader that gets outdated reports one after the other.
    TEST(RolloutReporterTest, OnlyTheLatestReportOfAPoolIsSent)
    {
        std::vector<RolloutReport> sent;
        RolloutReporter reporter([&](const RolloutReport& report) -> Result<void> {
            sent.push_back(report);
            return fail(ErrorKind::NoQuorum, "no leader");
        });
        reporter.record({ RolloutId(1), PoolId(1), Epoch(1), {}, {} });
        reporter.record({ RolloutId(1), PoolId(1), Epoch(2), {}, {} });
        reporter.flush();
        EXPECT_FALSE(reporter.hasReports());
        ASSERT_EQ(sent.size(), 1u);
        EXPECT_EQ(sent[0].epoch, Epoch(2));
    }

    // Guards against a bound that each pool of a service uses in full, and against rollouts where no bounds are set.
    TEST(PoolRolloutTest, SlackIsDividedAmongThePoolsOfTheService)
    {
        Owner owner;
        EXPECT_EQ(findPoolRollout(owner.config, PoolId(10), RolloutBounds {})->slack, 25);
        owner.config.pools[PoolId(11)] = modelPool(11, Epoch(1), 2);
        EXPECT_EQ(findPoolRollout(owner.config, PoolId(10), RolloutBounds {})->slack, 12.5);
        EXPECT_FALSE(findPoolRollout(owner.config, PoolId(10), std::nullopt));
    }

}
}
