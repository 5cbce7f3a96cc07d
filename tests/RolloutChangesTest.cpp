#include "rollout/RolloutChanges.h"

#include "support/ControlFixtures.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    constexpr int64_t orderedAt = 1'000'000;

    StartRolloutCommand order(const std::string& target = "v2", uint32_t durationMs = 12000, const std::string& service = "shop")
    {
        return { service, target, durationMs, 60 };
    }

    struct RoutedState : TestState {
        RoutedState()
        {
            PutRoutingCommand routing;
            routing.routing.version = Version(1);
            routing.routing.services.push_back({ .name = "shop", .healthPath = "/" });
            EXPECT_TRUE(apply(routing).accepted);
        }

        const Rollout& record() { return machine.config().rollouts.at("shop"); }

        CommandResult end(RolloutState state)
        {
            return apply(AdvanceRolloutCommand { record(), state, RolloutStage::Trial, 0 });
        }
    };

    // Guards against an order that is refused or starts anew when it is sent again because its answer was lost.
    TEST(RolloutChangesTest, ARepeatedOrderIsAcceptedWithoutAChange)
    {
        RoutedState state;
        auto first = state.apply(order(), orderedAt);
        ASSERT_TRUE(first.accepted);
        EXPECT_EQ(state.record(), (Rollout { RolloutId(1), "shop", "v2", 12000, orderedAt, RolloutState::Running, RolloutStage::Trial, 60 }));
        EXPECT_EQ(state.apply(order(), orderedAt + 60000), first) << "while it runs, at any time";
        ASSERT_TRUE(state.end(RolloutState::RolledBack).accepted);
        auto resent = state.apply(order(), orderedAt + 10000);
        EXPECT_TRUE(resent.accepted);
        EXPECT_EQ(state.record().state, RolloutState::RolledBack) << "a late copy of the first order must not start a second rollout";
        EXPECT_TRUE(state.apply(order(), orderedAt + 10001).accepted);
        EXPECT_EQ(state.record().id, RolloutId(2)) << "an ended rollout may be ordered again";
        EXPECT_EQ(state.record().state, RolloutState::Running);
    }

    // Guards against two operators who move a service to two versions at the same time.
    TEST(RolloutChangesTest, AnotherOrderConflictsOnlyWhileOneRuns)
    {
        RoutedState state;
        ASSERT_TRUE(state.apply(order(), orderedAt).accepted);
        EXPECT_EQ(state.apply(order("v3"), orderedAt + 1).kind, ErrorKind::VersionConflict);
        EXPECT_EQ(state.apply(order("v2", 13000), orderedAt + 1).kind, ErrorKind::VersionConflict);
        ASSERT_TRUE(state.end(RolloutState::Completed).accepted);
        EXPECT_TRUE(state.apply(order("v3"), orderedAt + 2).accepted);
        EXPECT_EQ(state.record().targetVersion, "v3");
    }

    // Guards against an order that ends an operator's call with 404 although the routing document is only late.
    TEST(RolloutChangesTest, UnknownServicesAreReportedOnlyWithARoutingDocument)
    {
        EXPECT_EQ(TestState().apply(order(), orderedAt).kind, ErrorKind::Unavailable);
        RoutedState state;
        EXPECT_EQ(state.apply(order("v2", 12000, "gone"), orderedAt).kind, ErrorKind::NotFound);
        EXPECT_EQ(state.apply(order(""), orderedAt).kind, ErrorKind::BadRequest);
        EXPECT_EQ(state.apply(order("v2\"\n"), orderedAt).kind, ErrorKind::BadRequest) << "it would break log lines and metrics";
        EXPECT_EQ(state.apply(order("v2", 0), orderedAt).kind, ErrorKind::BadRequest);
    }

    // Guards against a step of a deposed leader that is applied after one of its successor, and against one that revives an ended rollout.
    TEST(RolloutChangesTest, AStepAppliesOnlyToTheRecordItWasDecidedOn)
    {
        RoutedState state;
        ASSERT_TRUE(state.apply(order(), orderedAt).accepted);
        AdvanceRolloutCommand step { state.record(), RolloutState::Running, RolloutStage::Shift, 250 };
        ASSERT_TRUE(state.end(RolloutState::RolledBack).accepted);
        auto version = state.machine.config().version;
        EXPECT_EQ(state.apply(step).kind, ErrorKind::VersionConflict);
        step.expected = state.record();
        EXPECT_EQ(state.apply(step).kind, ErrorKind::BadRequest);
        EXPECT_EQ(state.machine.config().version, version);
    }

    // Guards against a rollout that is lost with a leader, differs after a replay, or does not reach the nodes.
    TEST(RolloutChangesTest, RecordsSurviveSnapshotsAndReplayAndReachTheNodes)
    {
        RoutedState state;
        RoutedState replayed;
        auto known = state.machine.config().version;
        for (auto* each : { &state, &replayed }) {
            ASSERT_TRUE(each->apply(order(), orderedAt).accepted);
            ASSERT_TRUE(each->apply(AdvanceRolloutCommand { each->record(), RolloutState::Running, RolloutStage::Shift, 250 }).accepted);
        }
        EXPECT_EQ(state.machine.takeSnapshot(), replayed.machine.takeSnapshot());
        auto record = state.record();
        HeartbeatReply reply;
        state.machine.addChangesSince(known, reply);
        ClusterConfig node;
        if (reply.snapshot)
            node = *reply.snapshot->decoded();
        for (const auto& delta : reply.deltas)
            applyDelta(node, delta);
        EXPECT_EQ(node.rollouts["shop"], record);
        state.restart();
        EXPECT_EQ(state.record(), record);
        // The next changes must give equal sizes and snapshots on a voter that loaded a snapshot and on one that did not.
        ASSERT_TRUE(state.end(RolloutState::Completed).accepted);
        ASSERT_TRUE(replayed.end(RolloutState::Completed).accepted);
        EXPECT_EQ(state.machine.takeSnapshot(), replayed.machine.takeSnapshot());
    }

}
}
