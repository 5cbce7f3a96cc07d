#include "briarhitch/sched/TargetRestrictions.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    // Pattern: targets that shed load or shut down by themselves under a burst, before the list of targets shows it.
    class TargetRestrictionsTest : public testing::Test {
    protected:
        TargetRestrictionsTest()
        {
            target_.id = TargetId(7);
            target_.incarnationStartMs = 100;
        }

        bool isRestricted(uint32_t node) const { return restrictions_.isRestricted(target_.id, NodeId(node), now_); }

        Target target_;
        Instant now_ { 1h };
        TargetRestrictions restrictions_;
    };

    // Guards against a target that leaves and is used by nodes which it did not tell.
    TEST_F(TargetRestrictionsTest, LeavingBindsAllNodes)
    {
        restrictions_.noteLeaving(target_, now_);
        EXPECT_TRUE(isRestricted(1));
        EXPECT_TRUE(isRestricted(2));
        EXPECT_TRUE(restrictions_.isRestrictedForAll(target_.id, now_));
        now_ += 30s;
        restrictions_.onTargets({ { target_.id, target_ } });
        restrictions_.tick(now_);
        EXPECT_TRUE(isRestricted(1)) << "the list lags";
    }

    // Guards against a target that started anew under the same name and is never used again.
    TEST_F(TargetRestrictionsTest, NewIncarnationIsNotLeaving)
    {
        restrictions_.noteLeaving(target_, now_);
        target_.incarnationStartMs = 200;
        restrictions_.onTargets({ { target_.id, target_ } });
        EXPECT_FALSE(isRestricted(1));
        restrictions_.noteLeaving(target_, now_);
        restrictions_.onTargets({});
        EXPECT_FALSE(isRestricted(1));
    }

    // Guards against work within a pause, and a pause that goes on after its time or binds other nodes.
    TEST_F(TargetRestrictionsTest, PauseBindsOneNodeUntilItsEnd)
    {
        restrictions_.notePause(target_.id, NodeId(1), 1500ms, now_);
        restrictions_.notePause(target_.id, NodeId(1), 500ms, now_);
        EXPECT_FALSE(isRestricted(2));
        EXPECT_EQ(restrictions_.shortestPause({ target_.id }, NodeId(1), now_), 1500ms) << "a shorter one does not end it";
        now_ += 1499ms;
        EXPECT_TRUE(isRestricted(1));
        now_ += 1ms;
        EXPECT_FALSE(isRestricted(1));
        restrictions_.tick(now_);
        EXPECT_TRUE(restrictions_.isEmpty());
    }

    // Guards against a target that asks for a pause of years, and one that asks for none.
    TEST_F(TargetRestrictionsTest, PausesAreBounded)
    {
        restrictions_.notePause(target_.id, NodeId(1), 0ms, now_);
        restrictions_.notePause(target_.id, NodeId(1), -5s, now_);
        EXPECT_TRUE(restrictions_.isEmpty());
        restrictions_.notePause(target_.id, NodeId(1), 1000000s, now_);
        now_ += 60s;
        EXPECT_FALSE(isRestricted(1));
    }

    // Guards against node after node being sent to a target that turns each of them away.
    TEST_F(TargetRestrictionsTest, SeveralPausedNodesSpeakForAll)
    {
        for (uint32_t node : { 1, 2 })
            restrictions_.notePause(target_.id, NodeId(node), 1s, now_);
        EXPECT_FALSE(restrictions_.isRestrictedForAll(target_.id, now_));
        restrictions_.notePause(target_.id, NodeId(3), 2s, now_);
        EXPECT_TRUE(restrictions_.isRestrictedForAll(target_.id, now_));
        now_ += 1s;
        EXPECT_FALSE(restrictions_.isRestrictedForAll(target_.id, now_));
    }

}
}
