#include "rollout/RolloutJudge.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    const WorkKindId browse(1);
    const WorkKindId order(2);

    /** Answers of one route and side in a second. */
    struct Load {
        double rate { 0 };
        double badChance { 0 };
        /** Part of the answers that take four times as long. */
        double slowChance { 0 };
    };

    struct Trial {
        explicit Trial(uint32_t seed)
            : random(seed)
        {
        }

        void answer(RolloutCounts& counts, const Load& load, double seconds)
        {
            auto answers = std::poisson_distribution<uint64_t>(load.rate * seconds + 1e-9)(random);
            for (uint64_t i = 0; i < answers; ++i) {
                ++counts.granted;
                ++counts.answered;
                if (std::bernoulli_distribution(load.badChance)(random)) {
                    ++counts.bad;
                    continue;
                }
                bool isSlow = std::bernoulli_distribution(load.slowChance)(random);
                ++counts.samples;
                counts.logLatencySum += std::normal_distribution(3.0, 0.7)(random) + (isSlow ? std::log(4) : 0);
            }
        }

        /** One report of 250 ms. */
        void report(WorkKindId route, const Load& target, const Load& others)
        {
            constexpr double seconds = 0.25;
            answer(totals[route].target, target, seconds);
            answer(totals[route].others, others, seconds);
        }

        RolloutVerdict judge()
        {
            now += 250ms;
            judge_.add(now, totals);
            return judge_.judge().verdict;
        }

        /** Bad answers of the target version until the verdict is Bad; fails the test after the given time. */
        uint64_t badUntilVerdict(const Load& target, const Load& others, Duration limit)
        {
            for (auto end = now + limit; now < end;) {
                report(browse, target, others);
                if (judge() == RolloutVerdict::Bad)
                    return totals[browse].target.bad;
            }
            ADD_FAILURE() << judge_.judge().reason;
            return 0;
        }

        std::mt19937 random;
        RolloutTotals totals;
        Instant now {};
        RolloutJudge judge_;
    };

    // Load: a twentieth, a third or all answers of the target version fail from the start. Guards against a verdict later
    // than the 50th bad answer, from which on the time of the rollback is bounded.
    TEST(RolloutJudgeTest, AVersionThatFailsFromTheStartIsBadBeforeThe50thBadAnswer)
    {
        for (uint32_t seed = 1; seed <= 20; ++seed) {
            EXPECT_LE(Trial(seed).badUntilVerdict({ 6, 1 }, { 94, 0.01 }, 60s), 15u);
            EXPECT_LE(Trial(seed).badUntilVerdict({ 6, 0.3 }, { 94, 0.01 }, 60s), 20u);
            EXPECT_LE(Trial(seed).badUntilVerdict({ 30, 0.05 }, { 300, 0.005 }, 120s), 50u);
        }
    }

    // Load: the version is sound for 15 s, then a fifth of its answers fail. Guards against good answers of the past that hide the fault.
    TEST(RolloutJudgeTest, AVersionThatFailsLateIsBadBeforeThe50thBadAnswer)
    {
        for (uint32_t seed = 1; seed <= 20; ++seed) {
            Trial trial(seed);
            for (int i = 0; i < 60; ++i) {
                trial.report(browse, { 50, 0.003 }, { 50, 0.003 });
                EXPECT_NE(trial.judge(), RolloutVerdict::Bad);
            }
            auto before = trial.totals[browse].target.bad;
            EXPECT_LE(trial.badUntilVerdict({ 50, 0.2 }, { 50, 0.003 }, 10s) - before, 50u);
        }
    }

    // Load: half of the answers on a route with a sixth of the requests take four times as long. Guards against an average over all routes.
    TEST(RolloutJudgeTest, AVersionThatIsSlowOnOneRouteIsBad)
    {
        for (uint32_t seed = 1; seed <= 20; ++seed) {
            Trial trial(seed);
            auto verdict = RolloutVerdict::Undecided;
            for (int i = 0; i < 120 && verdict != RolloutVerdict::Bad; ++i) {
                trial.report(browse, { 10 }, { 150 });
                trial.report(order, { 4, 0, 0.5 }, { 30 });
                verdict = trial.judge();
            }
            EXPECT_EQ(verdict, RolloutVerdict::Bad) << seed;
        }
    }

    // Load: 10 to 200 requests a second, 2 of 100 answers of both sides fail, for 60 s. Guards against a sound version that is rolled back.
    TEST(RolloutJudgeTest, ASoundVersionIsNeverBad)
    {
        int good = 0;
        for (uint32_t seed = 1; seed <= 40; ++seed) {
            Trial trial(seed);
            double rate = 10 + 5 * seed;
            for (int i = 0; i < 240; ++i) {
                trial.report(browse, { 0.06 * rate, 0.02 }, { 0.94 * rate, 0.02 });
                trial.report(order, { 0.01 * rate, 0.02 }, { 0.15 * rate, 0.02 });
                ASSERT_NE(trial.judge(), RolloutVerdict::Bad) << "seed " << seed << ": " << trial.judge_.judge().reason;
            }
            good += trial.judge_.judge().verdict == RolloutVerdict::Good ? 1 : 0;
        }
        EXPECT_GE(good, 34) << "single doubts may remain";
    }

    // Load: one of the version's targets crashes and fails 10 requests at once, amid 300 good answers. Guards against a crash that is taken for the version's fault.
    TEST(RolloutJudgeTest, OneCrashOfATargetIsNotTheVersionsFault)
    {
        Trial trial(1);
        for (int i = 0; i < 40; ++i) {
            trial.report(browse, { 30 }, { 100 });
            EXPECT_NE(trial.judge(), RolloutVerdict::Bad);
        }
        auto& counts = trial.totals[browse].target;
        counts.granted += 10;
        counts.answered += 10;
        counts.bad += 10;
        for (int i = 0; i < 40; ++i) {
            EXPECT_NE(trial.judge(), RolloutVerdict::Bad);
            trial.report(browse, { 30 }, { 100 });
        }
    }

    // Load: five requests, or none on a busy route. Guards against a verdict without evidence.
    TEST(RolloutJudgeTest, FewAnswersAreUndecided)
    {
        Trial few(1);
        few.totals[browse] = { { 5, 5, 0, 5, 15 }, { 60, 60, 0, 60, 180 } };
        EXPECT_EQ(few.judge(), RolloutVerdict::Undecided);
        few.totals[browse].target = { 12, 12, 0, 12, 36 };
        EXPECT_EQ(few.judge(), RolloutVerdict::Good);
        few.totals[order].others = { 60, 60, 0, 60, 180 };
        EXPECT_EQ(few.judge(), RolloutVerdict::Undecided);
    }

    // Guards against counters of an earlier owner that are lost or counted twice, and against a late report of a deposed owner.
    TEST(RolloutTallyTest, CountersOfSuccessiveOwnersAddUp)
    {
        RolloutTally tally;
        auto report = [&](uint64_t epoch, uint64_t granted, uint32_t pool = 1) {
            RolloutReport sent;
            sent.pool = PoolId(pool);
            sent.epoch = Epoch(epoch);
            sent.counters.push_back({ browse, true, granted, granted, 0, granted, 3.0 * static_cast<double>(granted) });
            return tally.add(sent);
        };
        auto granted = [&] { return sumOf(tally.totals()).target.granted; };
        EXPECT_TRUE(report(1, 10));
        EXPECT_TRUE(report(1, 25)) << "the report in between was lost";
        EXPECT_TRUE(report(2, 5));
        EXPECT_EQ(granted(), 30u);
        EXPECT_FALSE(report(1, 27));
        EXPECT_TRUE(report(2, 3)) << "the same owner began anew";
        EXPECT_TRUE(report(1, 7, 2));
        EXPECT_EQ(granted(), 40u);
    }

}
}
