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

    /** One random failure of the fleet; `isFirstOwner`: which owner has the pool. */
    void fail(PoolFleet& fleet, Random& random, uint32_t targets, bool& isFirstOwner)
    {
        auto owner = isFirstOwner ? PoolFleet::firstOwner : PoolFleet::secondOwner;
        switch (random.below(6)) {
        case 0:
            isFirstOwner = !isFirstOwner;
            fleet.assignPool(isFirstOwner ? PoolFleet::firstOwner : PoolFleet::secondOwner);
            break;
        case 1:
            fleet.restartOwner(owner);
            fleet.assignPool(owner);
            break;
        case 2:
            fleet.setOwnerCut(owner, true);
            fleet.run(std::chrono::milliseconds(200 + random.below(1500)));
            fleet.setOwnerCut(owner, false);
            break;
        case 3:
            for (uint32_t entry = 1; entry <= 9; ++entry) {
                if (random.chance(0.5))
                    fleet.restartEntry(entry);
            }
            break;
        case 4:
            fleet.restartAll();
            break;
        default:
            fleet.crashTarget(static_cast<uint32_t>(1 + random.below(targets)));
            fleet.crashTarget(static_cast<uint32_t>(1 + random.below(targets)));
            break;
        }
    }

    // Guards against evidence that is lost with owners, entries or the power of all nodes, and collected again by crashes.
    TEST(SuspectRequestsFleetTest, BoundHoldsUnderFailures)
    {
        for (uint64_t seed = 1; seed <= 16; ++seed) {
            SCOPED_TRACE(seed);
            runInFiber([&](Loop& loop) {
                Random random(seed);
                auto options = seed % 2 == 0 ? serviceFleet() : modelFleet(100);
                options.seed = seed;
                PoolFleet fleet(loop, options);
                fleet.run(3s);
                fleet.setDeadlyRequestFraction(0.003 + 0.03 * random.unit());
                bool isFirstOwner = true;
                for (int i = 0; i < 10; ++i) {
                    fleet.run(std::chrono::milliseconds(300 + random.below(3500)));
                    fail(fleet, random, options.targets, isFirstOwner);
                }
                fleet.run(10s);
                EXPECT_LE(lateDeadlyArrivals(fleet), allowedRetries);
                EXPECT_GE(fleet.deadlyCrashes.size(), 1u);
            });
        }
    }

    // Guards against trials that go on for as long as the request comes.
    TEST(SuspectRequestsFleetTest, BoundHoldsForHours)
    {
        runInFiber([](Loop& loop) {
            auto options = serviceFleet();
            options.requestsPerSecond = 2;
            PoolFleet fleet(loop, options);
            fleet.setDeadlyRequestFraction(0.2);
            fleet.run(30min);
            EXPECT_LE(lateDeadlyArrivals(fleet), allowedRetries);
            EXPECT_LE(fleet.deadlyCrashes.size(), freeCrashes + allowedRetries);
        });
    }

}
}
