#include "support/PoolFleet.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration stabilityWindow = 3s;
    constexpr size_t freeCrashes = 5;

    PoolFleetOptions modelFleet()
    {
        PoolFleetOptions options;
        options.kind = PoolKind::Model;
        options.targets = 18;
        options.slots = 9;
        options.serviceTime = 400ms;
        options.requestsPerSecond = 100;
        options.subjects = 60;
        return options;
    }

    /** Requests with the deadly part that reached targets later than the stability window after the fifth crash. */
    size_t lateDeadlyArrivals(const PoolFleet& fleet)
    {
        return fleet.deadlyCrashes.size() < freeCrashes ? 0 : fleet.deadlyArrivals(fleet.deadlyCrashes[freeCrashes - 1] + stabilityWindow);
    }

    // Guards against requests with one prompt part that crash one target after the other.
    TEST(SuspectPartsFleetTest, DeadlyPartStopsReachingTargets)
    {
        runInFiber([](Loop& loop) {
            PoolFleet fleet(loop, modelFleet());
            fleet.run(3s);
            fleet.setDeadlyFraction(0.01);
            fleet.run(22s);
            EXPECT_LE(lateDeadlyArrivals(fleet), 3u);
            EXPECT_GE(fleet.deadlyCrashes.size(), 1u);
            EXPECT_GE(static_cast<double>(fleet.soundStartedFirst), 0.95 * static_cast<double>(fleet.soundRequests));
        });
    }

}
}
