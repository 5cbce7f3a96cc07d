#include "support/RaftSimulation.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using Options = RaftSimulationOptions;
    using Reached = RaftSimulation::Reached;

    /** Runs schedules with seeds from `first` on and expects that none violates anything. */
    Reached expectSafe(Options options, uint64_t first, uint64_t schedules)
    {
        Reached totals;
        for (uint64_t seed = first; seed < first + schedules; ++seed) {
            options.seed = seed;
            RaftSimulation simulation(options);
            auto violation = simulation.run();
            EXPECT_EQ(violation, "");
            if (!violation.empty())
                break;
            for (const auto& [situation, count] : simulation.reached())
                totals[situation] += count;
        }
        return totals;
    }

    /** True if this check finds something within so many schedules. */
    bool isFound(Options options, const std::string& check, uint64_t schedules)
    {
        for (options.seed = 1; options.seed <= schedules; ++options.seed) {
            if (RaftSimulation(options).run().find(check) != std::string::npos)
                return true;
        }
        return false;
    }

    /** Many elections in which votes arrive late and voters restart at once. */
    Options electionOptions()
    {
        Options options;
        options.lostDisks = options.membershipChanges = options.diskFailures = 0;
        options.crashes = 10;
        options.crashOnElection = 0.8;
        options.longestDown = 30ms;
        options.meanFaultInterval = 200ms;
        options.longDelayChance = 0.5;
        options.dropChance = 0.1;
        return options;
    }

    /** Leaders that crash when they are elected or have just committed, so that entries of many terms pile up. */
    Options overwriteOptions()
    {
        Options options;
        options.voters = 5;
        options.lostDisks = options.membershipChanges = 0;
        options.partitions = options.crashes = 1;
        options.crashOnElection = options.crashOnCommit = 0.5;
        options.maxBatchEntries = 1;
        options.dropChance = 0.3;
        options.length = 10s;
        return options;
    }

    /** A voter that cannot reach the leader asks one that can, and that has just been restarted. */
    Options restartOptions()
    {
        Options options;
        options.diskFailures = options.lostDisks = options.pauses = options.membershipChanges = 0;
        options.partitions = 4;
        options.crashes = 4;
        options.singleLinkChance = 1;
        options.longestDown = 50ms;
        // Long enough for the voter that is cut off to start an election.
        options.meanFaultInterval = 400ms;
        options.longestProposalGapMs = 2000;
        return options;
    }

    /** A leader that is cut off with its lease, while the others are ready to elect another one. */
    Options isolationOptions()
    {
        Options options = restartOptions();
        options.singleLinkChance = 0;
        return options;
    }

    // Each case guards against lost or reordered commands, two leaders, and leases held by two, under mixed faults.
    class MixedFaults : public testing::TestWithParam<uint64_t> {
    };

    TEST_P(MixedFaults, ThreeVotersStaySafe)
    {
        constexpr uint64_t schedules = 2500;
        auto reached = expectSafe({}, GetParam() * schedules, schedules);
        // Schedules that do not reach these situations would not guard against anything.
        EXPECT_GT(reached["commits"], 20 * schedules);
        EXPECT_GT(reached["elections"], 2 * schedules);
        EXPECT_GT(reached["installed snapshots"], schedules / 2);
        EXPECT_GT(reached["membership changes"], schedules / 2);
        EXPECT_GT(reached["lost disks"], schedules / 10);
        EXPECT_GT(reached["lost proposals"], schedules / 10);
        EXPECT_GT(reached["leases"], 100 * schedules);
    }
    INSTANTIATE_TEST_SUITE_P(RaftScheduleTest, MixedFaults, testing::Range<uint64_t>(1, 5));

    TEST(RaftScheduleTest, FiveVotersStaySafe)
    {
        Options options;
        options.voters = 5;
        expectSafe(options, 100000, 1500);
    }

    // Pattern: a fleet that forms itself from three seeds, whose nodes crash, stay away, lose their disks, two at once, and
    // come back. Guards against a second group, a voter that forgets, and a removed voter that still counts.
    class SelfFormedGroup : public testing::TestWithParam<uint64_t> {
    };

    TEST_P(SelfFormedGroup, StaysOneGroup)
    {
        constexpr uint64_t schedules = 2600;
        Options options;
        options.targetVoters = 5;
        options.spares = 3;
        options.membershipChanges = 0;
        options.disksLostAtOnce = 2;
        options.longestDown = 3500ms;
        options.length = 8s;
        auto reached = expectSafe(options, 1000000 + GetParam() * schedules, schedules);
        EXPECT_GT(reached["membership changes"], 4 * schedules);
        EXPECT_GT(reached["lost disks"], schedules / 20);
        EXPECT_GT(reached["elections"], schedules);
    }
    INSTANTIATE_TEST_SUITE_P(RaftScheduleTest, SelfFormedGroup, testing::Range<uint64_t>(1, 5));

    TEST(RaftScheduleTest, OneAndTwoVotersStaySafe)
    {
        Options options;
        options.voters = 1;
        expectSafe(options, 200000, 500);
        options.voters = 2;
        expectSafe(options, 210000, 1000);
    }

    TEST(RaftScheduleTest, RepeatedElectionsStaySafe)
    {
        expectSafe(electionOptions(), 300000, 1500);
    }

    TEST(RaftScheduleTest, OverwrittenEntriesStaySafe)
    {
        expectSafe(overwriteOptions(), 400000, 1000);
    }

    TEST(RaftScheduleTest, QuickRestartsStaySafe)
    {
        expectSafe(restartOptions(), 500000, 1500);
        expectSafe(isolationOptions(), 510000, 1500);
    }

    struct Variant {
        const char* name;
        Options options;
        /** The fault that is put in. */
        std::function<void(Options&)> breakIt;
        /** The check that must find it, within so many schedules. */
        const char* check;
        uint64_t schedules;

        friend void PrintTo(const Variant& variant, std::ostream* out) { *out << variant.name; } // NOLINT(readability-identifier-naming)
    };

    // Each case shows that a check finds the fault it is made for.
    class BrokenVariant : public testing::TestWithParam<Variant> {
    };

    TEST_P(BrokenVariant, IsFound)
    {
        Options options = GetParam().options;
        GetParam().breakIt(options);
        EXPECT_TRUE(isFound(options, GetParam().check, GetParam().schedules));
    }

    const std::vector<Variant> variants {
        { "UnstoredVote", electionOptions(), [](Options& options) { options.faults.forgetVote = true; }, "election safety", 5000 },
        { "VoteDespiteLeader", restartOptions(), [](Options& options) { options.faults.voteDespiteLeader = true; }, "lease", 2000 },
        { "VoteRightAfterRestart", restartOptions(), [](Options& options) { options.faults.forgetPromise = true; }, "lease", 3000 },
        { "ClocksBeyondTheBound", isolationOptions(), [](Options& options) { options.clockSpread = 0.4; }, "lease", 5000 },
        { "UnsyncedAcknowledgement", {}, [](Options& options) { options.faults.acknowledgeUnsynced = true; }, "leader completeness", 2000 },
        { "VoteOfALostDisk", {}, [](Options& options) { options.faults.ignoreIncarnations = true; }, "leader completeness", 2000 },
    };
    INSTANTIATE_TEST_SUITE_P(RaftScheduleTest, BrokenVariant, testing::ValuesIn(variants),
        [](const auto& info) { return std::string(info.param.name); });

}
}
