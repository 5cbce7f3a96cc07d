#include "support/PoolFleet.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration window = 4s;
    /** From the first response that names a limit until it must be kept. */
    constexpr Duration noticeTime = 500ms;

    /** Most requests that the users accept in a window, for all nodes together. */
    size_t allowedInWindow(double limit)
    {
        constexpr double excessFactor = 1.5;
        constexpr double slack = 5;
        return static_cast<size_t>(excessFactor * limit * toSeconds(window) + slack);
    }

    /** Requests that a busy pool sends a target in this time if it uses most of the limit. */
    size_t wellUsed(double limit, Duration time)
    {
        constexpr double usedFraction = 0.8;
        return static_cast<size_t>(usedFraction * limit * toSeconds(time));
    }

    // Guards against a target that gets more requests than the limit it names, summed over all entries, and against a limit
    // that is kept by hardly using the target.
    TEST(TargetRateLimitTest, SumOverAllEntriesStaysWithinTheLimit)
    {
        runInFiber([](Loop& loop) {
            PoolFleet fleet(loop, {});
            fleet.run(2s);
            fleet.nameLimit(1, 3.2);
            fleet.nameLimit(2, 1);
            auto from = fleet.now() + noticeTime;
            fleet.run(20s);
            EXPECT_LE(fleet.mostInWindow(1, window, from), allowedInWindow(3.2));
            EXPECT_LE(fleet.mostInWindow(2, window, from), allowedInWindow(1));
            EXPECT_GE(fleet.arrivals(1, from), wellUsed(3.2, fleet.now() - from));
            EXPECT_GE(fleet.arrivals(2, from), wellUsed(1, fleet.now() - from));
            EXPECT_GE(fleet.answered, 60u * 20u) << "the target without a limit takes the rest";
        });
    }

}
}
