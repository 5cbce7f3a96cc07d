#include "sched/SlotTurnaround.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    // Load: calls of 30 ms at targets some milliseconds away, more than the slots can run. Guards against targets that idle while the
    // end of a call travels to the owner and the next grant back.
    TEST(SlotTurnaroundTest, ShortCallsOverlapTheWayOfTheGrant)
    {
        SlotTurnaround turnaround;
        for (int i = 0; i < 500; ++i)
            turnaround.addSample(42, 30);
        EXPECT_NEAR(turnaround.meanMs(), 12, 0.1);
        EXPECT_EQ(turnaround.extraRequests(6, 30), 2u);
        EXPECT_EQ(turnaround.extraRequests(6, 11), 6u) << "never more than twice the slots";
    }

    // Guards against requests that wait at an engine, where they can be neither reordered nor cancelled.
    TEST(SlotTurnaroundTest, LongCallsGetNoMoreThanTheSlots)
    {
        SlotTurnaround turnaround;
        for (int i = 0; i < 500; ++i)
            turnaround.addSample(1012, 1000);
        EXPECT_EQ(turnaround.extraRequests(9, 1000), 0u);
    }

    // Guards against an entry that was suspended, whose reports come seconds late.
    TEST(SlotTurnaroundTest, LateReportsCountOnlyUpToABound)
    {
        SlotTurnaround turnaround;
        for (int i = 0; i < 500; ++i)
            turnaround.addSample(i % 50 == 0 ? 5000 : 34, 30);
        EXPECT_LT(turnaround.meanMs(), 12);
    }

}
}
