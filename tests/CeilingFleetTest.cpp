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

    struct FaultCase {
        const char* name;
        std::function<void(CeilingFleet&)> play;
    };

    const std::vector<FaultCase>& faultCases()
    {
        static const std::vector<FaultCase> cases {
            { "no fault", [](CeilingFleet& fleet) { fleet.run(10s); } },
            { "owner cut and back", [](CeilingFleet& fleet) {
                 fleet.setOwnerCut(CeilingFleet::firstOwner, true);
                 fleet.run(3s);
                 fleet.setOwnerCut(CeilingFleet::firstOwner, false);
                 fleet.run(7s);
             } },
            { "owner suspended with its lease", [](CeilingFleet& fleet) {
                 fleet.setSuspended(CeilingFleet::firstOwner, true);
                 fleet.run(2900ms);
                 fleet.setSuspended(CeilingFleet::firstOwner, false);
                 fleet.run(7s);
             } },
            { "three takeovers", [](CeilingFleet& fleet) {
                 for (int i = 0; i < 3; ++i) {
                     fleet.assignCeiling(i % 2 == 0 ? CeilingFleet::secondOwner : CeilingFleet::firstOwner);
                     fleet.run(1500ms);
                 }
                 fleet.run(6s);
             } },
            { "owner lost for longer than its lease", [](CeilingFleet& fleet) {
                 fleet.setOwnerCut(CeilingFleet::firstOwner, true);
                 fleet.run(3500ms);
                 fleet.assignCeiling(CeilingFleet::secondOwner);
                 fleet.run(7s);
             } },
            { "one entry cut", [](CeilingFleet& fleet) {
                 fleet.setLinkCut(1, CeilingFleet::firstOwner, true);
                 fleet.run(8s);
                 fleet.setLinkCut(1, CeilingFleet::firstOwner, false);
                 fleet.run(2s);
             } },
            { "entries restart with the owner", [](CeilingFleet& fleet) {
                 fleet.restartOwner(CeilingFleet::secondOwner);
                 fleet.assignCeiling(CeilingFleet::secondOwner);
                 for (uint32_t entry = 1; entry <= 4; ++entry)
                     fleet.restartEntry(entry);
                 fleet.run(10s);
             } },
            { "power loss of all nodes", [](CeilingFleet& fleet) {
                 fleet.restartAll();
                 fleet.run(10s);
             } },
        };
        return cases;
    }

    // The deciders of one window in each order of faults. Guards against a sum beyond the ceiling, and against a ceiling that
    // is kept by refusing what it allows.
    TEST(CeilingFleetTest, EachFaultKeepsTheCeilingAndUsesIt)
    {
        for (uint32_t entries : { 6U, 9U, 30U }) {
            for (const auto& fault : faultCases()) {
                for (uint64_t seed = 1; seed <= 3; ++seed) {
                    SCOPED_TRACE(testing::Message() << fault.name << ", " << entries << " entries, seed " << seed);
                    runInFiber([&](Loop& loop) {
                        CeilingFleetOptions options;
                        options.entries = entries;
                        options.seed = seed;
                        CeilingFleet fleet(loop, options);
                        fleet.setDemand(0.3);
                        fleet.run(9s);
                        fleet.setDemand(3);
                        fleet.run(2s);
                        auto begin = fleet.now();
                        fault.play(fleet);
                        EXPECT_LE(fleet.mostInWindow(), fleet.allowedInWindow());
                        EXPECT_GE(static_cast<double>(fleet.admittedSince(begin)), 0.9 * options.tokensPerSecond * toSeconds(fleet.now() - begin));
                    });
                }
            }
        }
    }

    // Guards against a new share for each of many short periods in which entries get no reply, as on links that lose packets.
    TEST(CeilingFleetTest, SharesOfManyShortLocalPeriodsDoNotAddUp)
    {
        for (double stallsPerSecond : { 0.6, 1.2, 3.0, 6.0 }) {
            for (uint64_t seed = 1; seed <= 12; ++seed) {
                uint32_t entries = seed % 3 == 0 ? 30 : 9;
                SCOPED_TRACE(testing::Message() << entries << " entries, " << stallsPerSecond << " stalls a second, seed " << seed);
                runInFiber([&](Loop& loop) {
                    Random random(seed);
                    CeilingFleetOptions options;
                    options.entries = entries;
                    options.seed = seed;
                    options.meanRequestTokens = 3000;
                    CeilingFleet fleet(loop, options);
                    fleet.setDemand(0.3);
                    fleet.run(9s);
                    fleet.setDemand(2 + static_cast<double>(seed % 3));
                    std::vector<Instant> cutUntil(entries + 1);
                    auto begin = fleet.now();
                    while (fleet.now() < begin + 12s) {
                        for (uint32_t entry = 1; entry <= entries; ++entry) {
                            if (cutUntil[entry] != Instant() && cutUntil[entry] <= fleet.now()) {
                                fleet.stallLink(entry, CeilingFleet::firstOwner, false);
                                cutUntil[entry] = {};
                            } else if (cutUntil[entry] == Instant() && random.chance(stallsPerSecond / 100)) {
                                fleet.stallLink(entry, CeilingFleet::firstOwner, true);
                                cutUntil[entry] = fleet.now() + 250ms;
                            }
                        }
                        fleet.run(10ms);
                    }
                    EXPECT_LE(fleet.mostInWindow(), fleet.allowedInWindow());
                    EXPECT_GE(static_cast<double>(fleet.admittedSince(begin)), 0.9 * options.tokensPerSecond * toSeconds(fleet.now() - begin));
                });
            }
        }
    }

    // Guards against gain that was left to disconnected entries while the customer's account was full, and is given to it when they
    // are back, after it has spent what the account held.
    TEST(CeilingFleetTest, PartsOfDisconnectedEntriesAreNotSavedBeyondTheBurst)
    {
        for (uint32_t absent : { 1U, 3U, 9U }) {
            for (bool isOwnerReplaced : { false, true }) {
                SCOPED_TRACE(testing::Message() << absent << " entries, another owner: " << isOwnerReplaced);
                runInFiber([&](Loop& loop) {
                    CeilingFleet fleet(loop, {});
                    fleet.setDemand(0.2);
                    fleet.run(1s);
                    for (uint32_t entry = 1; entry <= absent; ++entry) {
                        fleet.setWeight(entry, 0);
                        fleet.setLinkCut(entry, CeilingFleet::firstOwner, true);
                    }
                    if (absent == 9)
                        fleet.setWeight(9, 1);
                    fleet.run(10s);
                    fleet.setDemand(4);
                    for (uint32_t entry = 1; entry <= absent; ++entry) {
                        fleet.run(300ms);
                        fleet.setWeight(entry, 1);
                        fleet.setLinkCut(entry, CeilingFleet::firstOwner, false);
                    }
                    if (isOwnerReplaced)
                        fleet.assignCeiling(CeilingFleet::secondOwner);
                    fleet.run(9s);
                    EXPECT_LE(fleet.mostInWindow(), fleet.allowedInWindow());
                });
            }
        }
    }

    // Guards against refusals of a customer below its ceiling, also while entries decide and through a change of owner.
    TEST(CeilingFleetTest, CustomerBelowItsCeilingIsNotRefused)
    {
        for (const auto& fault : faultCases()) {
            SCOPED_TRACE(fault.name);
            runInFiber([&](Loop& loop) {
                CeilingFleet fleet(loop, {});
                fleet.setDemand(0.5);
                fleet.run(9s);
                fault.play(fleet);
                EXPECT_EQ(fleet.refusals.size(), 0);
            });
        }
    }

    // Guards against shares that are smaller than a request, of which each entry admits one.
    TEST(CeilingFleetTest, HundredsOfEntriesStayWithinTheCeiling)
    {
        for (double rate : { 5000.0, 258000.0, 3e6 }) {
            SCOPED_TRACE(rate);
            runInFiber([&](Loop& loop) {
                CeilingFleetOptions options;
                options.entries = 295;
                options.tokensPerSecond = rate;
                CeilingFleet fleet(loop, options);
                fleet.run(3s);
                fleet.setOwnerCut(CeilingFleet::firstOwner, true);
                fleet.run(4s);
                fleet.assignCeiling(CeilingFleet::secondOwner);
                fleet.run(6s);
                EXPECT_LE(fleet.mostInWindow(), fleet.allowedInWindow());
            });
        }
    }

    // Random faults of all kinds, several at once, with ceilings that fall and rise.
    TEST(CeilingFleetTest, RandomFaultsKeepTheCeiling)
    {
        for (uint64_t seed = 1; seed <= 60; ++seed) {
            SCOPED_TRACE(seed);
            runInFiber([&](Loop& loop) {
                Random random(seed);
                CeilingFleetOptions options;
                options.seed = seed;
                options.meanRequestTokens = 200 + static_cast<int64_t>(random.below(9000));
                CeilingFleet fleet(loop, options);
                fleet.run(1s);
                bool isFirstOwner = true;
                for (int i = 0; i < 12; ++i) {
                    auto owner = isFirstOwner ? CeilingFleet::firstOwner : CeilingFleet::secondOwner;
                    auto length = std::chrono::milliseconds(100 + random.below(2500));
                    switch (random.below(6)) {
                    case 0:
                        fleet.setOwnerCut(owner, true);
                        fleet.run(length);
                        fleet.setOwnerCut(owner, false);
                        break;
                    case 1:
                        fleet.setSuspended(owner, true);
                        fleet.run(length);
                        fleet.setSuspended(owner, false);
                        break;
                    case 2:
                        isFirstOwner = !isFirstOwner;
                        fleet.assignCeiling(isFirstOwner ? CeilingFleet::firstOwner : CeilingFleet::secondOwner);
                        break;
                    case 3:
                        fleet.setLinkCut(1 + static_cast<uint32_t>(random.below(9)), owner, true);
                        break;
                    case 4:
                        fleet.restartEntry(1 + static_cast<uint32_t>(random.below(9)));
                        break;
                    default:
                        fleet.setCeiling(random.chance(0.5) ? 258000 : 100000, 258000);
                        break;
                    }
                    fleet.run(std::chrono::milliseconds(random.below(1500)));
                    if (random.chance(0.3))
                        fleet.setOwnerCut(owner, false);
                    fleet.setDemand(random.chance(0.3) ? 0.2 : 3);
                }
                fleet.run(4s);
                EXPECT_LE(fleet.mostInWindow(), fleet.allowedInWindow());
            });
        }
    }

}
}
