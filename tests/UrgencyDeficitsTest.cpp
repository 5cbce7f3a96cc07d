#include "sched/UrgencyDeficits.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };
    constexpr Tier urgent { 0 };
    constexpr Tier leastUrgent { 2 };

    void addRequests(UrgencyDeficits& deficits, Tier urgency, int submitted, int granted, double cost)
    {
        for (int i = 0; i < submitted; ++i)
            deficits.recordSubmission(urgency);
        for (int i = 0; i < granted; ++i)
            deficits.recordGrant(urgency, cost, false);
    }

    // Guards against a kind that gets no slots while most requests of more urgent kinds are granted.
    TEST(UrgencyDeficitsTest, StarvedUrgencyHasDeficit)
    {
        UrgencyDeficits deficits;
        deficits.tick(start);
        addRequests(deficits, urgent, 100, 80, 100);
        addRequests(deficits, leastUrgent, 100, 10, 5);
        EXPECT_TRUE(deficits.hasDeficit(leastUrgent));
        EXPECT_FALSE(deficits.hasDeficit(urgent)) << "no other kind is more urgent";
    }

    // Guards against less urgent work that takes slots although nearly as many of its requests are granted.
    TEST(UrgencyDeficitsTest, ServedUrgencyHasNoDeficit)
    {
        UrgencyDeficits deficits;
        deficits.tick(start);
        addRequests(deficits, urgent, 100, 80, 100);
        addRequests(deficits, leastUrgent, 100, 41, 5);
        EXPECT_FALSE(deficits.hasDeficit(leastUrgent));
    }

    // Guards against expensive less urgent work that displaces more than a small fraction of urgent work.
    TEST(UrgencyDeficitsTest, DeficitGrantsStaySmallFractionOfWork)
    {
        UrgencyDeficits deficits;
        deficits.tick(start);
        addRequests(deficits, urgent, 100, 80, 10);
        addRequests(deficits, leastUrgent, 100, 0, 10);
        int grantedForDeficit = 0;
        for (; deficits.hasDeficit(leastUrgent) && grantedForDeficit < 100; ++grantedForDeficit)
            deficits.recordGrant(leastUrgent, 10, true);
        // A twentieth of the work of 80 urgent requests equals that of 4.
        EXPECT_GE(grantedForDeficit, 4);
        EXPECT_LE(grantedForDeficit, 5);
    }

    // Guards against decisions based on a burst that has ended.
    TEST(UrgencyDeficitsTest, OldCountsDecay)
    {
        UrgencyDeficits deficits;
        deficits.tick(start);
        addRequests(deficits, urgent, 100, 80, 100);
        addRequests(deficits, leastUrgent, 100, 10, 5);
        deficits.tick(start + 20s);
        EXPECT_FALSE(deficits.hasDeficit(leastUrgent));
    }

}
}
