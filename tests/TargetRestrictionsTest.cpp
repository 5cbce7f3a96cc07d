#include "briarhitch/sched/TargetRestrictions.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    // Targets shed load or shut down under a burst before the list of targets shows it.
    class TargetRestrictionsTest : public testing::Test {
    protected:
        TargetRestrictionsTest()
        {
            target_.id = TargetId(7);
            target_.bornMs = 100;
        }

        bool isRestricted(uint32_t node) const { return restrictions_.isRestricted(target_.id, NodeId(node), now_); }

        Target target_;
        Instant now_ { 1h };
        TargetRestrictions restrictions_;
    };

    // Guards against work for a leaving target from nodes that it has not informed.
    TEST_F(TargetRestrictionsTest, LeavingTargetIsRestrictedForAllNodes)
    {
        restrictions_.recordLeaving(target_, now_);
        EXPECT_TRUE(isRestricted(1));
        EXPECT_TRUE(isRestricted(2));
        EXPECT_TRUE(restrictions_.isRestrictedForAll(target_.id, now_));
        now_ += 30s;
        restrictions_.updateTargets({ { target_.id, target_ } });
        restrictions_.tick(now_);
        EXPECT_TRUE(isRestricted(1)) << "the list of targets is updated late";
    }

    // Guards against a target that restarted under the same id and is never used again.
    TEST_F(TargetRestrictionsTest, NewIncarnationIsNotLeaving)
    {
        restrictions_.recordLeaving(target_, now_);
        target_.bornMs = 200;
        restrictions_.updateTargets({ { target_.id, target_ } });
        EXPECT_FALSE(isRestricted(1));
        restrictions_.recordLeaving(target_, now_);
        restrictions_.updateTargets({});
        EXPECT_FALSE(isRestricted(1));
    }

    // Guards against work during a pause, and against a pause that lasts too long or applies to other nodes.
    TEST_F(TargetRestrictionsTest, PauseRestrictsOneNodeUntilItEnds)
    {
        restrictions_.recordPause(target_.id, NodeId(1), 1500ms, now_);
        restrictions_.recordPause(target_.id, NodeId(1), 500ms, now_);
        EXPECT_FALSE(isRestricted(2));
        EXPECT_EQ(restrictions_.shortestPause({ target_.id }, NodeId(1), now_), 1500ms) << "a shorter pause does not replace a longer one";
        now_ += 1499ms;
        EXPECT_TRUE(isRestricted(1));
        now_ += 1ms;
        EXPECT_FALSE(isRestricted(1));
        restrictions_.tick(now_);
        EXPECT_TRUE(restrictions_.isEmpty());
    }

    // Guards against excessive pauses, and against pauses of zero or less.
    TEST_F(TargetRestrictionsTest, PausesAreBounded)
    {
        restrictions_.recordPause(target_.id, NodeId(1), 0ms, now_);
        restrictions_.recordPause(target_.id, NodeId(1), -5s, now_);
        EXPECT_TRUE(restrictions_.isEmpty());
        restrictions_.recordPause(target_.id, NodeId(1), 1000000s, now_);
        now_ += 60s;
        EXPECT_FALSE(isRestricted(1));
    }

    // Guards against nodes that are sent one after another to a target which pauses each of them.
    TEST_F(TargetRestrictionsTest, PausesOfSeveralNodesRestrictAllNodes)
    {
        for (uint32_t node : { 1, 2 })
            restrictions_.recordPause(target_.id, NodeId(node), 1s, now_);
        EXPECT_FALSE(restrictions_.isRestrictedForAll(target_.id, now_));
        restrictions_.recordPause(target_.id, NodeId(3), 2s, now_);
        EXPECT_TRUE(restrictions_.isRestrictedForAll(target_.id, now_));
        now_ += 1s;
        EXPECT_FALSE(restrictions_.isRestrictedForAll(target_.id, now_));
    }

}
}
