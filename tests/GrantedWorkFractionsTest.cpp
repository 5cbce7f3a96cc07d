#include "sched/GrantedWorkFractions.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };

    // Guards against predicted waits that ignore later arrivals which are granted first.
    TEST(GrantedWorkFractionsTest, ReportsFractionGrantedAhead)
    {
        GrantedWorkFractions fractions;
        fractions.tick(start, false);
        for (int i = 1; i <= 100; ++i) {
            fractions.recordGrant(Tier(0), false, 60);
            fractions.recordGrant(Tier(1), false, 30);
            fractions.recordGrant(Tier(1), true, 10);
            fractions.tick(start + i * 100ms, true);
        }
        EXPECT_DOUBLE_EQ(fractions.fractionAhead(Tier(0), false), 0);
        EXPECT_NEAR(fractions.fractionAhead(Tier(1), false), 0.6, 0.01);
        EXPECT_NEAR(fractions.fractionAhead(Tier(0), true), 0.9, 0.01);
        EXPECT_NEAR(fractions.fractionAhead(Tier(2), true), 1.0, 0.01);
    }

    // Guards against refusals caused by a burst that has ended.
    TEST(GrantedWorkFractionsTest, FractionsDecayWhilePoolHasFreeSlots)
    {
        GrantedWorkFractions fractions;
        fractions.tick(start, false);
        for (int i = 1; i <= 30; ++i) {
            fractions.recordGrant(Tier(0), false, 60);
            fractions.tick(start + i * 100ms, true);
        }
        EXPECT_GT(fractions.fractionAhead(Tier(1), false), 0.9);
        fractions.tick(start + 6s, false);
        EXPECT_LT(fractions.fractionAhead(Tier(1), false), 0.1);
    }

}
}
