#include "rollout/RolloutDriver.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "rollout/RolloutChanges.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    const PoolId pool(1);
    const NodeId owner(7);

    /** Load and faults of one rollout. */
    struct Scenario {
        double rate { 50 };
        uint32_t durationMs { 20000 };
        /** Chance that an answer of the target version is bad, at this time after the order and this number of its grants in the last second. */
        std::function<double(Duration, double)> badChance { [](Duration, double) { return 0.0; } };
        uint32_t activeTargets { 2 };
        /** Factor of the rate at this time. */
        std::function<double(Duration)> traffic { [](Duration) { return 1.0; } };
        Duration latency { 100ms };
        /** Whether a report that is sent now arrives. */
        std::function<bool(Duration)> isReportDelivered { [](Duration) { return true; } };
    };

    /** The leader's driver, one owner that obeys the record, and nodes that apply each change after 60 ms. */
    struct Service {
        explicit Service(Scenario scenarioToRun, uint32_t seed = 1)
            : scenario(std::move(scenarioToRun))
            , random(seed)
            , driver(bounds, { [this](Version version) { return appliedVersion() >= version; }, [this] { return hasLeases; } })
        {
            config.version = Version(10);
            config.routing.version = Version(1);
            config.routing.services.push_back({ .name = "shop", .healthPath = "/" });
            auto& target = config.targets[TargetId(1)];
            target.serves = "shop";
            target.pool = pool;
            auto& assignment = config.pools[pool];
            assignment.owner = owner;
            assignment.epoch = Epoch(1);
            auto delta = startRolloutDelta(config, { "shop", "v2", scenario.durationMs, driver.trialPermille() }, 0);
            EXPECT_TRUE(delta);
            apply(std::move(*delta), "ordered");
        }

        const Rollout& record() { return config.rollouts.at("shop"); }
        [[nodiscard]] Duration elapsed() const { return now - Instant {}; }
        [[nodiscard]] Version appliedVersion() const { return now - changedAt >= 60ms ? config.version : Version(config.version.value() - 1); }
        /** The record that owner and nodes know. */
        const Rollout& known() { return now - changedAt >= 60ms ? record() : previous; }

        void apply(ConfigDelta delta, const std::string& reason)
        {
            previous = config.rollouts["shop"];
            delta.version = Version(config.version.value() + 1);
            ASSERT_TRUE(applyDelta(config, delta));
            changedAt = now;
            driver.onChanged(record(), config.version, reason, now);
        }

        bool isTargetChosen()
        {
            const auto& rollout = known();
            double all = static_cast<double>(grantedToTarget + grantedToOthers);
            if (rollout.state == RolloutState::Completed)
                return true;
            if (rollout.state == RolloutState::RolledBack || scenario.activeTargets == 0)
                return false;
            if (rollout.stage == RolloutStage::Trial)
                return static_cast<double>(grantedToTarget) < rollout.sharePermille / 1000.0 * all + bounds.exposedSlack / 2;
            return std::bernoulli_distribution(rollout.sharePermille / 1000.0)(random);
        }

        void grant()
        {
            bool isTarget = isTargetChosen();
            (isTarget ? grantedToTarget : grantedToOthers) += 1;
            auto& counts = isTarget ? target : others;
            ++counts.granted;
            double chance = isTarget ? scenario.badChance(elapsed(), targetRate) : 0.002;
            running.push_back({ now + scenario.latency, isTarget, std::bernoulli_distribution(chance)(random) });
            targetRate = targetRate * std::exp(-1 / scenario.rate) + (isTarget ? 1 : 0);
        }

        void endRequests()
        {
            for (const auto& request : running) {
                if (request.endsAt > now)
                    continue;
                auto& counts = request.isTarget ? target : others;
                ++counts.answered;
                counts.bad += request.isBad ? 1 : 0;
                counts.samples += request.isBad ? 0 : 1;
                counts.logLatencySum += request.isBad ? 0 : std::normal_distribution(std::log(100), 0.4)(random);
                if (request.isTarget && request.isBad && ++badAnswers == 50)
                    badAt50 = now;
            }
            std::erase_if(running, [&](const Request& request) { return request.endsAt <= now; });
        }

        [[nodiscard]] uint32_t runningOnOthers() const
        {
            return static_cast<uint32_t>(std::count_if(running.begin(), running.end(), [](const Request& request) { return !request.isTarget; }));
        }

        void report()
        {
            RolloutReport sent;
            sent.rollout = record().id;
            sent.pool = pool;
            sent.epoch = config.pools[pool].epoch;
            sent.appliedVersion = appliedVersion();
            for (const auto* counts : { &target, &others })
                sent.counters.push_back({ WorkKindId(1), counts == &target, counts->granted, counts->answered, counts->bad, counts->samples, counts->logLatencySum });
            sent.runningOnOthers = runningOnOthers();
            sent.activeTargets = scenario.activeTargets;
            if (scenario.isReportDelivered(elapsed()))
                driver.addReport(config, owner, sent, now);
        }

        /** Another owner takes over, and starts its counters at zero. */
        void changeOwner()
        {
            config.pools[pool].epoch = Epoch(config.pools[pool].epoch.value() + 1);
            target = others = {};
        }

        void step()
        {
            now += 10ms;
            ++steps;
            auto arrivals = std::poisson_distribution<int>(scenario.rate * scenario.traffic(elapsed()) / 100)(random);
            for (int i = 0; i < arrivals; ++i)
                grant();
            if (known().state == RolloutState::RolledBack)
                lastGrantAllowed = std::min(lastGrantAllowed, now);
            endRequests();
            if (elapsed() <= std::chrono::milliseconds(scenario.durationMs))
                grantedBeforeDeadline = { grantedToTarget, grantedToTarget + grantedToOthers };
            if (steps % 25 == 0)
                report();
            if (steps % 10 == 0)
                decide();
        }

        void decide()
        {
            for (auto& decision : driver.decide(config, now, toMs(elapsed()))) {
                shares.push_back(decision.command.sharePermille);
                bool cutsOff = decision.command.state == RolloutState::Completed && runningOnOthers() > 0;
                EXPECT_FALSE(cutsOff) << "requests on old targets would be cut off";
                apply(*advanceRolloutDelta(config, decision.command), decision.reason);
            }
        }

        void runUntil(Duration end)
        {
            while (elapsed() < end)
                step();
        }

        /** Runs until the rollout ends, at most until the given time. */
        RolloutState run(Duration end)
        {
            while (elapsed() < end && record().state == RolloutState::Running)
                step();
            return record().state;
        }

        void expectExposureBound()
        {
            auto [toTarget, toAll] = grantedBeforeDeadline;
            EXPECT_LE(static_cast<double>(toTarget), bounds.exposedShare * static_cast<double>(toAll) + bounds.exposedSlack) << lastReason();
        }

        /** No request goes to a bad version later than the bound after its 50th bad answer. */
        void expectRollbackBound()
        {
            ASSERT_EQ(record().state, RolloutState::RolledBack) << lastReason();
            EXPECT_LE(lastGrantAllowed - badAt50.value_or(lastGrantAllowed), std::chrono::milliseconds(bounds.rollbackMs));
        }

        std::string lastReason() { return driver.reasonsOf("shop").back(); }

        struct Request {
            Instant endsAt {};
            bool isTarget { false };
            bool isBad { false };
        };

        Scenario scenario;
        RolloutBounds bounds;
        std::mt19937 random;
        RolloutDriver driver;
        ClusterConfig config;
        Rollout previous;
        Instant now {};
        Instant changedAt {};
        Instant lastGrantAllowed { Instant::max() };
        std::optional<Instant> badAt50;
        std::vector<Request> running;
        RolloutCounts target;
        RolloutCounts others;
        std::vector<uint32_t> shares;
        std::pair<uint64_t, uint64_t> grantedBeforeDeadline;
        uint64_t grantedToTarget { 0 };
        uint64_t grantedToOthers { 0 };
        uint64_t badAnswers { 0 };
        double targetRate { 0 };
        int steps { 0 };
        bool hasLeases { true };
    };

    // Load: 30 to 400 requests a second, 8 to 60 s. Guards against a sound version that is rolled back, late, or stuck in a shift that
    // reached the deadline, and against exposing a version that might still turn faulty.
    TEST(RolloutDriverTest, ASoundVersionIsCompletedWithinTheExposureBound)
    {
        for (double rate : { 30.0, 100.0, 400.0 }) {
            for (uint32_t durationMs : { 8000U, 12000U, 60000U }) {
                for (uint32_t seed = 1; seed <= 5; ++seed) {
                    Service service({ .rate = rate, .durationMs = durationMs }, seed);
                    EXPECT_EQ(service.run(std::chrono::milliseconds(durationMs) + 3s), RolloutState::Completed) << rate << ": " << service.lastReason();
                    service.expectExposureBound();
                }
            }
        }
    }

    // Load: traffic that swings by two fifths within 12 s and doubles for 1.5 s in the last second before the deadline. Guards
    // against a shift that was planned with the rate before the burst.
    TEST(RolloutDriverTest, BurstsDuringTheShiftKeepTheExposureBound)
    {
        auto traffic = [](Duration elapsed) {
            double swing = 1 + 0.4 * std::sin(toSeconds(elapsed) * 2 * 3.14 / 12);
            return elapsed > 19s && elapsed < 20s + 500ms ? 2.2 * swing : swing;
        };
        for (uint32_t seed = 1; seed <= 10; ++seed) {
            Service service({ .rate = 200, .traffic = traffic }, seed);
            EXPECT_EQ(service.run(25s), RolloutState::Completed) << service.lastReason();
            service.expectExposureBound();
        }
    }

    // Load: a fifth of the answers fail from the start.
    TEST(RolloutDriverTest, AVersionThatIsBadFromTheStartIsRolledBack)
    {
        for (uint32_t seed = 1; seed <= 10; ++seed) {
            Service service({ .badChance = [](Duration, double) { return 0.2; } }, seed);
            SCOPED_TRACE(seed);
            service.run(30s);
            service.expectRollbackBound();
            service.expectExposureBound();
            EXPECT_TRUE(service.shares == std::vector<uint32_t> { 0 }) << "no step forward before the rollback";
        }
    }

    // Load: 120 requests a second; a third of the answers fail from 2 s before to 0.5 s after the deadline, thus before, during and after the shift.
    TEST(RolloutDriverTest, AVersionThatIsBadLateIsRolledBackWithinBothBounds)
    {
        for (auto since : { 18s + 0ms, 18s + 500ms, 18s + 800ms, 19s + 0ms, 19s + 200ms, 19s + 400ms }) {
            Service service({ .rate = 120, .badChance = [since](Duration elapsed, double) { return elapsed > since ? 0.35 : 0; }, .latency = 600ms }, 3);
            service.run(30s);
            service.expectRollbackBound();
            service.expectExposureBound();
        }
    }

    // Load: the answers fail only once the version gets more than 20 requests a second, which Trial does not give it.
    TEST(RolloutDriverTest, AVersionThatIsBadOnlyUnderLoadIsRolledBackDuringTheShift)
    {
        Service service({ .rate = 100, .badChance = [](Duration, double rate) { return rate > 20 ? 0.4 : 0; }, .latency = 500ms });
        service.run(30s);
        service.expectRollbackBound();
        service.expectExposureBound();
        EXPECT_GE(service.shares.size(), 2u);
    }

    // Load: 2 requests a second, so 40 in the whole duration.
    TEST(RolloutDriverTest, ASoundVersionWithFewRequestsIsCompleted)
    {
        Service service({ .rate = 2 });
        EXPECT_EQ(service.run(26s), RolloutState::Completed) << service.lastReason();
        service.expectExposureBound();
    }

    // Guards against a rollout that never ends, because there is nothing to judge.
    TEST(RolloutDriverTest, WithoutTargetsOrAnswersItIsRolledBackAtTheDeadline)
    {
        Service withoutTargets({ .activeTargets = 0 });
        withoutTargets.runUntil(19s + 900ms);
        EXPECT_EQ(withoutTargets.record().state, RolloutState::Running);
        EXPECT_EQ(withoutTargets.run(21s), RolloutState::RolledBack);
        Service idle({ .rate = 0.1 });
        EXPECT_EQ(idle.run(21s), RolloutState::RolledBack);
        EXPECT_EQ(idle.grantedToTarget, idle.target.granted);
    }

    // Load: the version's targets disappear during the shift. Guards against a share for targets that do not exist.
    TEST(RolloutDriverTest, AVersionThatLosesItsTargetsGetsNoLargerShare)
    {
        Service service({ .rate = 0.5, .durationMs = 60000 });
        service.runUntil(37s);
        ASSERT_EQ(service.record().stage, RolloutStage::Shift);
        service.scenario.activeTargets = 0;
        service.runUntil(38s);
        EXPECT_EQ(service.record().stage, RolloutStage::Trial);
        EXPECT_EQ(service.run(62s), RolloutState::RolledBack);
    }

    // Load: old targets run requests of 8 s. Guards against a completion that cuts them off; decide() checks it at each step.
    TEST(RolloutDriverTest, CompletionWaitsForRequestsOnOldTargetsPastTheDeadline)
    {
        Service service({ .latency = 8s });
        service.runUntil(21s);
        EXPECT_EQ(service.record().stage, RolloutStage::Drain);
        EXPECT_EQ(service.record().state, RolloutState::Running);
        EXPECT_EQ(service.run(32s), RolloutState::Completed);
    }

    // Load: every second report is lost; the owner changes during Trial and the shift. Guards against evidence that is lost or counted twice.
    TEST(RolloutDriverTest, LostReportsAndOwnerChangesDelayNothing)
    {
        auto parity = std::make_shared<int>(0);
        Service service({ .isReportDelivered = [parity](Duration) { return ++*parity % 2 == 0; } });
        service.runUntil(8s);
        service.changeOwner();
        service.runUntil(18s + 500ms);
        service.changeOwner();
        EXPECT_EQ(service.run(25s), RolloutState::Completed) << service.lastReason();
        service.expectExposureBound();
    }

    // Guards against steps forward, and a share of the shift that stays, while the owner is cut off from the leader.
    TEST(RolloutDriverTest, WithoutReportsTheShareReturnsToThatOfTrial)
    {
        // At one request in two seconds, the exposure allows the shift at three fifths of the duration.
        Service service({ .rate = 0.5, .durationMs = 60000, .isReportDelivered = [](Duration elapsed) { return elapsed < 36s + 500ms || elapsed > 50s; } });
        service.runUntil(37s);
        ASSERT_EQ(service.record().stage, RolloutStage::Shift);
        service.runUntil(43s);
        EXPECT_EQ(service.record().stage, RolloutStage::Trial);
        EXPECT_EQ(service.record().sharePermille, 60u);
        EXPECT_EQ(service.run(70s), RolloutState::Completed) << "continues with the reports";

        Service cut({ .rate = 0.5, .durationMs = 60000, .isReportDelivered = [](Duration elapsed) { return elapsed < 36s + 500ms; } });
        cut.runUntil(37s);
        cut.hasLeases = false;
        cut.runUntil(100s);
        EXPECT_EQ(cut.record().stage, RolloutStage::Shift) << "nothing reaches nodes without a lease";
    }

    // Guards against a new leader that starts over, steps on without evidence, or completes without the nodes' acknowledgement.
    TEST(RolloutDriverTest, ANewLeaderContinuesAtTheRecordedStage)
    {
        for (auto at : { 5s + 0ms, 18s + 500ms, 19s + 400ms, 20s + 100ms }) {
            Service service({ .rate = 60 });
            service.runUntil(at);
            auto before = service.record();
            service.driver.reset();
            service.decide();
            EXPECT_EQ(service.record(), before);
            EXPECT_EQ(service.run(26s), RolloutState::Completed) << toMs(at) << ": " << service.lastReason();
            service.expectExposureBound();
        }
    }

    // Load: one of two pools has no targets of the target version, and few requests. Guards against a completion in a moment without
    // a request there, after which the platform stops targets that still get requests.
    TEST(RolloutDriverTest, APoolWithoutTargetsOfTheVersionPreventsCompletion)
    {
        Service service({});
        const PoolId other(2);
        auto& target = service.config.targets[TargetId(2)];
        target.serves = "shop";
        target.pool = other;
        service.config.pools[other].owner = owner;
        service.config.pools[other].epoch = Epoch(1);
        while (service.elapsed() < 30s) {
            service.step();
            if (service.steps % 25 != 0)
                continue;
            RolloutReport report;
            report.rollout = service.record().id;
            report.pool = other;
            report.epoch = Epoch(1);
            report.appliedVersion = service.appliedVersion();
            service.driver.addReport(service.config, owner, report, service.now);
        }
        EXPECT_EQ(service.record().stage, RolloutStage::Drain);
        EXPECT_EQ(service.record().state, RolloutState::Running);
    }

    // Guards against a new leader that takes the rate of requests, which it does not know yet, for zero, and starts the shift too early.
    TEST(RolloutDriverTest, ANewLeaderStartsNoShiftBeforeItKnowsTheRate)
    {
        Service service({ .rate = 400 });
        service.runUntil(13s);
        ASSERT_EQ(service.record().stage, RolloutStage::Trial);
        service.driver.reset();
        service.runUntil(14s);
        EXPECT_EQ(service.record().stage, RolloutStage::Trial) << service.lastReason();
        service.run(26s);
        service.expectExposureBound();
    }

    // Load: traffic collapses during the shift, so that the version has had all that it may get. Guards against a share of Trial
    // that goes on exceeding the exposure bound until the deadline.
    TEST(RolloutDriverTest, AVersionThatHasGotAllItMayGetsNothingBeforeTheDeadline)
    {
        RolloutController controller(RolloutBounds {});
        Rollout rollout;
        rollout.durationMs = 20000;
        rollout.stage = RolloutStage::Shift;
        rollout.sharePermille = 500;
        RolloutSituation situation;
        situation.judgement.verdict = RolloutVerdict::Good;
        situation.elapsed = 15s;
        situation.grantedToTarget = 200;
        situation.grantedToAll = 1000;
        situation.grantRate = situation.peakGrantRate = 10;
        situation.activeTargets = 2;
        situation.reportsSinceStep = 2;
        auto step = controller.decide(rollout, situation);
        ASSERT_TRUE(step);
        EXPECT_EQ(step->stage, RolloutStage::Trial);
        EXPECT_EQ(step->sharePermille, 0u);
        rollout.stage = step->stage;
        rollout.sharePermille = step->sharePermille;
        EXPECT_FALSE(controller.decide(rollout, situation));
        situation.elapsed = 20s;
        step = controller.decide(rollout, situation);
        ASSERT_TRUE(step);
        EXPECT_EQ(step->stage, RolloutStage::Shift) << "the exposure is bounded until the deadline only";
    }

    // Guards against counters of a node that does not own the pool, or of an earlier rollout.
    TEST(RolloutDriverTest, OnlyThePresentOwnerReportsOnTheRunningRollout)
    {
        Service service({});
        RolloutReport report;
        report.rollout = service.record().id;
        report.pool = pool;
        report.epoch = Epoch(1);
        EXPECT_TRUE(service.driver.addReport(service.config, owner, report, service.now));
        EXPECT_FALSE(service.driver.addReport(service.config, NodeId(8), report, service.now));
        report.epoch = Epoch(2);
        EXPECT_FALSE(service.driver.addReport(service.config, owner, report, service.now));
        report.epoch = Epoch(1);
        report.rollout = RolloutId(9);
        EXPECT_FALSE(service.driver.addReport(service.config, owner, report, service.now));
    }

}
}
