#include "sched/PredictionMargin.h"

#include <gtest/gtest.h>
#include <random>

namespace briarhitch {
namespace {

    constexpr WorkKindId kind { 1 };

    /** Fraction of `count` calls whose time exceeds prediction and margin, after as many calls to learn from. */
    template <class DrawMs>
    double missedFraction(PredictionMargin& margin, double predictedMs, DrawMs&& draw, int count = 2000)
    {
        for (int i = 0; i < count; ++i)
            margin.addSample(kind, predictedMs, draw());
        int missed = 0;
        for (int i = 0; i < count; ++i) {
            double actual = draw();
            missed += actual > predictedMs + margin.marginMs(kind) ? 1 : 0;
            margin.addSample(kind, predictedMs, actual);
        }
        return static_cast<double>(missed) / count;
    }

    // Load: a queue of calls that are granted as late as their prediction allows. Guards against half of them missing their
    // objective because their times vary.
    TEST(PredictionMarginTest, CoversCallsWhoseTimesVary)
    {
        std::mt19937 random(7);
        std::lognormal_distribution<double> times(std::log(30), 0.5);
        PredictionMargin margin;
        double missed = missedFraction(margin, 30, [&] { return times(random); });
        EXPECT_LT(missed, 0.3);
        EXPECT_GT(missed, 0.1) << "a margin that covers everything gives up capacity";
    }

    // Guards against a margin that delays nothing but costs time where predictions are right.
    TEST(PredictionMarginTest, StaysSmallWhereCallsAreFasterThanPredicted)
    {
        std::mt19937 random(7);
        std::normal_distribution<double> times(20, 2);
        PredictionMargin margin;
        missedFraction(margin, 30, [&] { return times(random); });
        EXPECT_LT(margin.marginMs(kind), 0.5);
    }

    // Load: targets that slow down to two and a half times for some seconds. Guards against a margin that stays behind.
    TEST(PredictionMarginTest, FollowsTargetsThatSlowDownAndRecover)
    {
        PredictionMargin margin;
        for (int i = 0; i < 200; ++i)
            margin.addSample(kind, 30, 30 + i % 5);
        double before = margin.marginMs(kind);
        for (int i = 0; i < 150; ++i)
            margin.addSample(kind, 30, 75 + i % 5);
        EXPECT_GT(margin.marginMs(kind), 40);
        for (int i = 0; i < 500; ++i)
            margin.addSample(kind, 30, 30 + i % 5);
        EXPECT_NEAR(margin.marginMs(kind), before, 5);
    }

    // Guards against margins of one kind of work that are taken for those of another, and against a few samples.
    TEST(PredictionMarginTest, KindsAreSeparateAndFewSamplesGiveNone)
    {
        PredictionMargin margin;
        for (int i = 0; i < 5; ++i)
            margin.addSample(kind, 10, 100);
        EXPECT_EQ(margin.marginMs(kind), 0);
        for (int i = 0; i < 100; ++i)
            margin.addSample(kind, 10, 100);
        EXPECT_GT(margin.marginMs(kind), 50);
        EXPECT_EQ(margin.marginMs(WorkKindId(2)), 0);
    }

}
}
