#include "sched/FirstTokenModel.h"

#include <gtest/gtest.h>
#include <random>

namespace briarhitch {
namespace {

    constexpr double fixedMs = 50;
    constexpr double tokenMs = 0.007;

    struct Load {
        explicit Load(std::vector<double> speedsOfTargets)
            : speeds(std::move(speedsOfTargets))
        {
        }

        void run(int prompts)
        {
            std::lognormal_distribution<double> lengths(std::log(2500), 1.0);
            std::uniform_real_distribution<double> noise(0.9, 1.1);
            for (int i = 0; i < prompts; ++i) {
                auto target = static_cast<size_t>(i) % speeds.size();
                double tokens = std::max(512.0, lengths(random));
                model.addSample(idOf(target), tokens, (fixedMs + tokenMs * tokens) / speeds[target] * noise(random));
            }
        }
        static TargetId idOf(size_t target) { return TargetId(static_cast<uint32_t>(target + 1)); }

        std::mt19937 random { 11 };
        std::vector<double> speeds;
        FirstTokenModel model;
    };

    // Load: short and long prompts at engines whose first token takes 50 ms however short the prompt is. Guards against the time of
    // short prompts being taken for that of long ones, which then wait for slots that they do not need.
    TEST(FirstTokenModelTest, SeparatesTheFixedPartFromTheTimeOfAToken)
    {
        Load load({ 1.0 });
        load.run(400);
        ASSERT_TRUE(load.model.isLearned());
        EXPECT_NEAR(load.model.firstTokenMs(TargetId(1), 0), fixedMs, 10);
        EXPECT_NEAR(load.model.firstTokenMs(TargetId(1), 20000), fixedMs + 20000 * tokenMs, 25);
    }

    // Load: engines of 0.55, 1.0 and 2.8 times the speed in one pool.
    TEST(FirstTokenModelTest, LearnsEnginesOfUnlikeSpeed)
    {
        Load load({ 0.55, 1.0, 2.8 });
        load.run(1500);
        double slow = load.model.firstTokenMs(TargetId(1), 6600);
        double usual = load.model.firstTokenMs(TargetId(2), 6600);
        double fast = load.model.firstTokenMs(TargetId(3), 6600);
        EXPECT_NEAR(slow / usual, 1 / 0.55, 0.25);
        EXPECT_NEAR(usual / fast, 2.8, 0.5);
    }

    // Guards against a fit to prompts of one length, which tells nothing about the two parts.
    TEST(FirstTokenModelTest, PromptsOfOneLengthTeachNothing)
    {
        FirstTokenModel model;
        for (int i = 0; i < 200; ++i)
            model.addSample(TargetId(1), 1000, 57);
        EXPECT_FALSE(model.isLearned());
    }

}
}
