#include "support/CeilingFleet.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    // Guards against a customer that gets more than its ceiling and tolerance in a window, because entries that lose the
    // ceiling's owner admit requests beside what the owner has admitted and still admits for others.
    TEST(CeilingFleetTest, SumOfOwnersAndEntriesStaysWithinTheCeiling)
    {
        runInFiber([](Loop& loop) {
            CeilingFleet fleet(loop, {});
            fleet.setDemand(0);
            fleet.run(3s);
            fleet.setDemand(3);
            fleet.run(3s);
            for (uint32_t entry = 1; entry <= 7; ++entry)
                fleet.setLinkCut(entry, CeilingFleet::firstOwner, true);
            fleet.run(4500ms);
            fleet.assignCeiling(CeilingFleet::secondOwner);
            fleet.run(6s);
            EXPECT_LE(fleet.mostInWindow(), fleet.allowedInWindow());
            EXPECT_GE(fleet.admittedSince(fleet.now() - 13s), 258000 * 13 * 9 / 10);
        });
    }

}
}
