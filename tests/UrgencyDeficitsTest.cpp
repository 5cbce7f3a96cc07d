#include "sched/UrgencyDeficits.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };
    constexpr Tier urgent { 0 };
    constexpr Tier least { 2 };

    void ask(UrgencyDeficits& shares, Tier urgency, int asked, int granted, double cost)
    {
        for (int i = 0; i < asked; ++i)
            shares.recordSubmission(urgency);
        for (int i = 0; i < granted; ++i)
            shares.recordGrant(urgency, cost, false);
    }

    // Guards against a kind that gets nothing while more urgent ones get most of what they ask for.
    TEST(UrgencySharesTest, StarvedUrgencyIsOwedAPlace)
    {
        UrgencyDeficits shares;
        shares.tick(start);
        ask(shares, urgent, 100, 80, 100);
        ask(shares, least, 100, 10, 5);
        EXPECT_TRUE(shares.hasDeficit(least));
        EXPECT_FALSE(shares.hasDeficit(urgent)) << "nothing is more urgent";
    }

    // Guards against less urgent work that takes places although it is served nearly as often.
    TEST(UrgencySharesTest, ServedUrgencyIsOwedNothing)
    {
        UrgencyDeficits shares;
        shares.tick(start);
        ask(shares, urgent, 100, 80, 100);
        ask(shares, least, 100, 41, 5);
        EXPECT_FALSE(shares.hasDeficit(least));
    }

    // Guards against expensive less urgent work that displaces more than a small part of the urgent.
    TEST(UrgencySharesTest, WhatOvertakesStaysASmallPartOfTheWork)
    {
        UrgencyDeficits shares;
        shares.tick(start);
        ask(shares, urgent, 100, 80, 10);
        ask(shares, least, 100, 0, 10);
        int given = 0;
        for (; shares.hasDeficit(least) && given < 100; ++given)
            shares.recordGrant(least, 10, true);
        // A twentieth of the work of 80 urgent requests is that of 4.
        EXPECT_GE(given, 4);
        EXPECT_LE(given, 5);
    }

    // Guards against a burst that is over and still decides.
    TEST(UrgencySharesTest, OldCountsAreForgotten)
    {
        UrgencyDeficits shares;
        shares.tick(start);
        ask(shares, urgent, 100, 80, 100);
        ask(shares, least, 100, 10, 5);
        shares.tick(start + 20s);
        EXPECT_FALSE(shares.hasDeficit(least));
    }

}
}
