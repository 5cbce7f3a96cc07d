#include "sched/GrantedWorkFractions.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };

    // Guards against waits predicted as if nobody arrived after a request and went before it.
    TEST(GrantPartsTest, TellsWhatOvertakes)
    {
        GrantedWorkFractions parts;
        parts.tick(start, false);
        for (int i = 1; i <= 100; ++i) {
            parts.recordGrant(Tier(0), false, 60);
            parts.recordGrant(Tier(1), false, 30);
            parts.recordGrant(Tier(1), true, 10);
            parts.tick(start + i * 100ms, true);
        }
        EXPECT_DOUBLE_EQ(parts.fractionAhead(Tier(0), false), 0);
        EXPECT_NEAR(parts.fractionAhead(Tier(1), false), 0.6, 0.01);
        EXPECT_NEAR(parts.fractionAhead(Tier(0), true), 0.9, 0.01);
        EXPECT_NEAR(parts.fractionAhead(Tier(2), true), 1.0, 0.01);
    }

    // Guards against refusals for a burst that is over.
    TEST(GrantPartsTest, PoolWithFreePlacesForgets)
    {
        GrantedWorkFractions parts;
        parts.tick(start, false);
        for (int i = 1; i <= 30; ++i) {
            parts.recordGrant(Tier(0), false, 60);
            parts.tick(start + i * 100ms, true);
        }
        EXPECT_GT(parts.fractionAhead(Tier(1), false), 0.9);
        parts.tick(start + 6s, false);
        EXPECT_LT(parts.fractionAhead(Tier(1), false), 0.1);
    }

}
}
