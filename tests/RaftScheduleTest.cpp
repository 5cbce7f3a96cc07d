#include "support/RaftSimulation.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using Options = RaftSimulationOptions;
    using Reached = RaftSimulation::Reached;

    /** Runs schedules with seeds from `first` on and expects that none violates anything. */
    Reached expectSafe(Options options, uint64_t first, uint64_t count)
    {
        Reached totals;
        for (uint64_t seed = first; seed < first + count; ++seed) {
            options.seed = seed;
            RaftSimulation simulation(options);
            auto violation = simulation.run();
            EXPECT_EQ(violation, "");
            if (!violation.empty())
                break;
            const auto& reached = simulation.reached();
            totals.commits += reached.commits;
            totals.elections += reached.elections;
            totals.membershipChanges += reached.membershipChanges;
            totals.installedSnapshots += reached.installedSnapshots;
            totals.crashes += reached.crashes;
            totals.lostDisks += reached.lostDisks;
            totals.lostProposals += reached.lostProposals;
            totals.leaseChecks += reached.leaseChecks;
        }
        return totals;
    }

    /** The first violation found within some schedules; empty if there is none. */
    std::string findViolation(Options options, uint64_t count)
    {
        for (uint64_t seed = 1; seed <= count; ++seed) {
            options.seed = seed;
            auto violation = RaftSimulation(options).run();
            if (!violation.empty())
                return violation;
        }
        return {};
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
        options.crashes = 9;
        options.singleLinkChance = 1;
        options.longestDown = 50ms;
        options.meanFaultInterval = 150ms;
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
        EXPECT_GT(reached.commits, 20 * schedules);
        EXPECT_GT(reached.elections, 2 * schedules);
        EXPECT_GT(reached.installedSnapshots, schedules / 2);
        EXPECT_GT(reached.membershipChanges, schedules / 2);
        EXPECT_GT(reached.lostDisks, schedules / 10);
        EXPECT_GT(reached.lostProposals, schedules / 10);
        EXPECT_GT(reached.leaseChecks, 100 * schedules);
    }
    INSTANTIATE_TEST_SUITE_P(RaftScheduleTest, MixedFaults, testing::Range<uint64_t>(1, 5));

    TEST(RaftScheduleTest, FiveVotersStaySafe)
    {
        Options options;
        options.voters = 5;
        expectSafe(options, 100000, 1500);
    }

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
    }

    // The cases below show that the checks find the faults they are made for.

    TEST(RaftScheduleTest, ForgottenVoteIsFound)
    {
        Options options = electionOptions();
        options.faults.forgetVote = true;
        EXPECT_NE(findViolation(options, 5000).find("election safety"), std::string::npos);
    }

    TEST(RaftScheduleTest, VoteInSpiteOfALeaderIsFound)
    {
        Options options;
        options.faults.voteDespiteLeader = true;
        EXPECT_NE(findViolation(options, 2000).find("lease"), std::string::npos);
    }

    TEST(RaftScheduleTest, ForgottenPromiseIsFound)
    {
        Options options = restartOptions();
        options.faults.forgetPromise = true;
        EXPECT_NE(findViolation(options, 3000).find("lease"), std::string::npos);
    }

    TEST(RaftScheduleTest, ClocksBeyondTheDriftBoundAreFound)
    {
        Options options;
        options.clockSpread = 0.4;
        EXPECT_NE(findViolation(options, 5000).find("lease"), std::string::npos);
    }

    TEST(RaftScheduleTest, AcknowledgedButUnsyncedEntryIsFound)
    {
        Options options;
        options.faults.acknowledgeUnsynced = true;
        EXPECT_NE(findViolation(options, 1000), "");
    }

    TEST(RaftScheduleTest, VoteOfALostDiskIsFound)
    {
        Options options;
        options.faults.ignoreIncarnations = true;
        EXPECT_NE(findViolation(options, 2000).find("leader completeness"), std::string::npos);
    }

}
}
