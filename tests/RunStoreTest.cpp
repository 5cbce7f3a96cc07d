#include "briarhitch/control/RunStore.h"

#include "support/ControlFixtures.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    struct RunStoreTest : testing::Test {
        RunStoreTest()
        {
            state.apply(customerChange("create", 0, "pincel"));
            state.join(nodeRecord(1, 1));
            state.join(nodeRecord(2, 1));
        }

        RunState stateOf(const ClaimRun& claim) { return state.machine.runs().find(claim.key)->record.state; }

        TestState state;
    };

    // Guards against a charge that is executed twice because two nodes claimed it at the same time.
    TEST_F(RunStoreTest, OneOfTwoRacingClaimsIsGranted)
    {
        auto first = claimOf("key", 1, 1);
        auto second = claimOf("key", 2, 2);
        EXPECT_EQ(state.outcome(first), ClaimOutcome::Granted);
        EXPECT_EQ(state.outcome(second), ClaimOutcome::InProgress);
        EXPECT_EQ(state.outcome(first), ClaimOutcome::Granted) << "the reply to the first claim may have been lost";
        state.finish(finishOf(second, RunState::NotRun));
        EXPECT_EQ(stateOf(first), RunState::Claimed) << "only the attempt that holds the claim can finish the run";
        state.finish(finishOf(first, RunState::Done));
        state.restart();
        auto duplicate = state.claim(second);
        EXPECT_EQ(duplicate.reply.outcome, ClaimOutcome::Finished);
        ASSERT_TRUE(duplicate.reply.response);
        EXPECT_EQ(duplicate.reply.response->body, "paid");
        auto other = second;
        other.digest = 78;
        EXPECT_EQ(state.outcome(other), ClaimOutcome::Conflict);
    }

    // Guards against a request that is executed twice because the node that claimed it was lost or restarted.
    TEST_F(RunStoreTest, RunsOfAnEndedIncarnationAreUnknown)
    {
        auto lost = claimOf("lost", 1, 1);
        auto restarted = claimOf("restarted", 2, 2);
        ASSERT_EQ(state.outcome(lost), ClaimOutcome::Granted);
        ASSERT_EQ(state.outcome(restarted), ClaimOutcome::Granted);
        ASSERT_TRUE(state.apply(MarkNodeLostCommand { NodeId(1), Incarnation(1) }, int64_t(5)).accepted);
        ASSERT_TRUE(state.join(nodeRecord(2, 2)).accepted);
        EXPECT_FALSE(state.join(nodeRecord(2, 1)).accepted) << "an earlier incarnation must not be registered again";
        EXPECT_EQ(state.outcome(claimOf("lost", 3, 2, 2)), ClaimOutcome::Unknown);
        EXPECT_EQ(state.outcome(claimOf("restarted", 4, 2, 2)), ClaimOutcome::Unknown);
        EXPECT_EQ(state.claim(claimOf("new", 5, 1)).kind, ErrorKind::NoLease);
        EXPECT_EQ(state.claim(claimOf("new", 6, 2, 1)).kind, ErrorKind::NoLease);
        EXPECT_EQ(state.machine.runs().claimedCount(CustomerId(1)), 0);
    }

    // Guards against a request that is executed again after its caller was told that the outcome is unknown.
    TEST_F(RunStoreTest, ALateOutcomeAfterUnknownNeverReleasesTheKey)
    {
        auto done = claimOf("done", 1);
        auto notRun = claimOf("not run", 2);
        state.outcome(done);
        state.outcome(notRun);
        state.apply(MarkNodeLostCommand { NodeId(1), Incarnation(1) }, int64_t(5));
        state.finish(finishOf(done, RunState::Done), 6);
        state.finish(finishOf(notRun, RunState::NotRun), 6);
        EXPECT_EQ(state.outcome(claimOf("done", 3, 2)), ClaimOutcome::Finished);
        EXPECT_EQ(state.outcome(claimOf("not run", 4, 2)), ClaimOutcome::Unknown);
        state.finish(finishOf(done, RunState::Unknown), 7);
        EXPECT_EQ(stateOf(done), RunState::Done);
    }

    // Guards against a claim that is committed after its attempt has ended and then blocks the key permanently.
    TEST_F(RunStoreTest, ADelayedClaimOfAnEndedAttemptIsNotGranted)
    {
        auto claim = claimOf("key", 1);
        state.finish(finishOf(claim, RunState::NotRun));
        EXPECT_EQ(state.outcome(claim), ClaimOutcome::InProgress);
        auto next = claim;
        next.attempt.number = 2;
        EXPECT_EQ(state.outcome(next), ClaimOutcome::Granted);
        state.finish(finishOf(next, RunState::NotRun));
        EXPECT_EQ(state.outcome(next), ClaimOutcome::InProgress);
        EXPECT_EQ(state.outcome(claimOf("key", 9, 2)), ClaimOutcome::Granted);
    }

    // Guards against a request that is executed again after its recorded response was dropped.
    TEST_F(RunStoreTest, ARetiredRecordKeepsItsKey)
    {
        auto done = claimOf("done", 1);
        auto unknown = claimOf("unknown", 2);
        auto notRun = claimOf("not run", 3);
        for (const auto& claim : { done, unknown, notRun })
            ASSERT_EQ(state.outcome(claim), ClaimOutcome::Granted);
        state.finish(finishOf(done, RunState::Done), 100);
        state.finish(finishOf(unknown, RunState::Unknown), 100);
        state.finish(finishOf(notRun, RunState::NotRun), 100);
        state.apply(RetireRunsCommand { 100, 10 });
        EXPECT_NE(state.machine.runs().find(done.key), nullptr);
        state.apply(RetireRunsCommand { 101, 2 });
        state.apply(RetireRunsCommand { 101, 2 });
        state.restart();
        EXPECT_EQ(state.machine.runs().retiredCount(), 2);
        EXPECT_EQ(state.machine.runs().responseBytes(), 0);
        auto again = state.claim(claimOf("done", 4, 2));
        EXPECT_EQ(again.reply.outcome, ClaimOutcome::Finished);
        EXPECT_FALSE(again.reply.response);
        EXPECT_EQ(state.outcome(claimOf("unknown", 5, 2)), ClaimOutcome::Unknown);
        EXPECT_EQ(state.outcome(claimOf("not run", 6, 2)), ClaimOutcome::Granted);
        state.finish(finishOf(done, RunState::NotRun), 200);
        EXPECT_EQ(state.outcome(claimOf("done", 7, 2)), ClaimOutcome::Finished);
    }

    // Guards against unbounded memory, and against capacity that is never released.
    TEST_F(RunStoreTest, TheStoreIsBounded)
    {
        EXPECT_EQ(state.outcome(claimOf("a", 1), 2), ClaimOutcome::Granted);
        EXPECT_EQ(state.outcome(claimOf("b", 2), 2), ClaimOutcome::Granted);
        EXPECT_EQ(state.outcome(claimOf("c", 3), 2), ClaimOutcome::StoreFull);
        EXPECT_EQ(state.outcome(claimOf("a", 1), 2), ClaimOutcome::Granted);
        state.finish(finishOf(claimOf("a", 1), RunState::Done, std::string(100, 'x')), 1, 50);
        EXPECT_EQ(state.machine.runs().responseBytes(), 0);
        state.finish(finishOf(claimOf("b", 2), RunState::Done, std::string(maxRecordedBodyBytes + 1, 'x')), 1);
        auto large = state.claim(claimOf("b", 4));
        EXPECT_EQ(large.reply.outcome, ClaimOutcome::Finished);
        EXPECT_FALSE(large.reply.response);
        state.apply(RetireRunsCommand { 10, 10 });
        EXPECT_EQ(state.outcome(claimOf("c", 3), 2), ClaimOutcome::StoreFull) << "retired keys count towards the limit";
        EXPECT_EQ(state.claim(claimOf(std::string(256, 'k'), 5)).kind, ErrorKind::BadRequest);
    }

}
}
