#include "support/PoolFleet.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration stabilityWindow = 3s;
    constexpr size_t freeCrashes = 3;
    constexpr size_t allowedRetries = 3;

    PoolFleetOptions serviceFleet()
    {
        PoolFleetOptions options;
        options.serviceTime = 60ms;
        options.requestsPerSecond = 60;
        return options;
    }

    /** The more subjects, the fewer sound requests share a part with the deadly one. */
    PoolFleetOptions modelFleet(uint32_t subjects)
    {
        PoolFleetOptions options;
        options.kind = PoolKind::Model;
        options.targets = 18;
        options.slots = 9;
        options.serviceTime = 400ms;
        options.requestsPerSecond = 100;
        options.subjects = subjects;
        return options;
    }

    /** Arrivals of the deadly request at targets later than the stability window after the third crash. */
    size_t lateDeadlyArrivals(const PoolFleet& fleet)
    {
        return fleet.deadlyCrashes.size() < freeCrashes ? 0 : fleet.deadlyArrivals(fleet.deadlyCrashes[freeCrashes - 1] + stabilityWindow);
    }

    // Guards against a request to a plain service that comes again and again and crashes one target after the other.
    TEST(SuspectRequestsFleetTest, DeadlyRequestStopsReachingAPlainService)
    {
        runInFiber([](Loop& loop) {
            PoolFleet fleet(loop, serviceFleet());
            fleet.run(3s);
            fleet.setDeadlyRequestFraction(0.01);
            fleet.run(30s);
            EXPECT_LE(lateDeadlyArrivals(fleet), allowedRetries);
            EXPECT_GE(fleet.deadlyCrashes.size(), 1u);
            EXPECT_EQ(fleet.soundRefusedAsSuspect, 0u);
        });
    }

    // Guards against sound requests that are refused because they share a prompt part with a deadly request.
    TEST(SuspectRequestsFleetTest, SoundRequestsThatShareAPartWithADeadlyOneAreServed)
    {
        for (uint32_t subjects : { 20U, 100U, 500U }) {
            SCOPED_TRACE(subjects);
            runInFiber([&](Loop& loop) {
                PoolFleet fleet(loop, modelFleet(subjects));
                fleet.run(3s);
                fleet.setDeadlyRequestFraction(0.01);
                fleet.run(30s);
                EXPECT_LE(lateDeadlyArrivals(fleet), allowedRetries);
                EXPECT_GE(fleet.deadlyCrashes.size(), 1u);
                EXPECT_EQ(fleet.soundRefusedAsSuspect, 0u);
            });
        }
    }

}
}
