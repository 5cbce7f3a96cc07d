#include "briarhitch/control/PoolAssigner.h"

#include "support/ControlFixtures.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** A fleet whose only pool is owned by node 1 in its first incarnation, right after a new leader was elected. */
    struct Fleet {
        Fleet()
        {
            config.version = Version(1);
            for (uint32_t id = 1; id <= 3; ++id)
                config.nodes[NodeId(id)] = nodeRecord(id, 1);
            PoolAssignment pool;
            pool.id = PoolId(10);
            pool.name = "model:large@north";
            pool.scope = "north";
            pool.epoch = Epoch(1);
            pool.owner = NodeId(1);
            pool.ownerIncarnation = Incarnation(1);
            config.pools[pool.id] = pool;
            Target target;
            target.pool = pool.id;
            target.region = "north";
            config.targets[TargetId(1)] = target;
            leases.becomeLeader(now);
        }

        void heartbeat(uint32_t node) { leases.grant(NodeId(node), config.nodes.at(NodeId(node)).incarnation, now); }

        std::vector<PoolMove> decide()
        {
            return assigner.decide(
                config, leases, [](NodeId) { return Version(1); }, now);
        }

        Instant now { 1h };
        ClusterConfig config;
        LeaseTable leases { LeaseSettings {} };
        PoolAssigner assigner;
    };

    // Pattern: all processes are killed at once and come back. Guards against pools without owners for a whole lease, although
    // the processes that held the leases have certainly ended.
    TEST(PoolAssignerTest, RestartedOwnerIsReplacedAtOnce)
    {
        Fleet fleet;
        fleet.config.nodes[NodeId(1)].incarnation = Incarnation(2);
        for (uint32_t id = 1; id <= 3; ++id)
            fleet.heartbeat(id);
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_FALSE(moves[0].previousOwner.isValid());
    }

    // Guards against a second owner beside one whose lease may still hold.
    TEST(PoolAssignerTest, SilentOwnerKeepsItsPoolUntilItsLeaseHasEnded)
    {
        Fleet fleet;
        fleet.heartbeat(2);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.config.nodes[NodeId(1)].lost = true;
        EXPECT_TRUE(fleet.decide().empty()) << "an earlier leader may have renewed its lease";
        fleet.now += 4s;
        fleet.heartbeat(2);
        EXPECT_EQ(fleet.decide().size(), 1u);
    }

    // Guards against pools that stay on a node that serves callers while nodes for pools are there.
    TEST(PoolAssignerTest, PoolsGoToNodesThatPreferThem)
    {
        Fleet fleet;
        for (uint32_t id = 1; id <= 3; ++id)
            fleet.heartbeat(id);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.config.nodes[NodeId(3)].prefersPools = true;
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].owner, NodeId(3));
        EXPECT_EQ(moves[0].previousOwner, NodeId(1)) << "the present owner hands over";
    }

    /** The fleet under an assigner that moves pools of owners that are silent for 800 ms. */
    struct ImpatientFleet : Fleet {
        ImpatientFleet()
        {
            assigner = PoolAssigner(800ms);
            for (uint32_t id = 1; id <= 3; ++id)
                heartbeat(id);
        }

        /** Lets time pass while nodes 2 and 3 send heartbeats and node 1, the owner, does not. */
        void pass(Duration time)
        {
            for (auto end = now + time; now < end; now += 100ms) {
                heartbeat(2);
                heartbeat(3);
            }
        }
    };

    // Pattern: the VM of a pool's owner freezes in a burst. Guards against entries that choose by themselves, each with its part
    // of the places, for a whole lease.
    TEST(PoolAssignerTest, SilentOwnerIsReplacedBeforeItsLeaseHasEndedWhereEntriesChooseAlone)
    {
        ImpatientFleet fleet;
        fleet.pass(700ms);
        EXPECT_TRUE(fleet.decide().empty()) << "two lost heartbeats are no outage";
        fleet.pass(200ms);
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_NE(moves[0].owner, NodeId(1));
        EXPECT_FALSE(moves[0].previousOwner.isValid()) << "the new owner waits for nobody";
    }

    // Guards against a ceiling that two nodes grant portions of at once.
    TEST(PoolAssignerTest, CeilingOfASilentOwnerStaysUntilItsLeaseHasEnded)
    {
        ImpatientFleet fleet;
        fleet.config.pools[PoolId(10)].kind = PoolKind::Ceiling;
        fleet.pass(3000ms);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.config.nodes[NodeId(1)].lost = true;
        fleet.pass(300ms);
        EXPECT_EQ(fleet.decide().size(), 1u);
    }

    // Guards against a new leader that takes nodes for silent which have not found it yet.
    TEST(PoolAssignerTest, NewLeaderGivesOwnersTimeToBeHeard)
    {
        ImpatientFleet fleet;
        fleet.pass(5s);
        fleet.leases.becomeLeader(fleet.now);
        fleet.pass(700ms);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.pass(200ms);
        EXPECT_EQ(fleet.decide().size(), 1u);
    }

    // Guards against pools that move from one silent node to another, as after a zone was cut off.
    TEST(PoolAssignerTest, SilentNodeGetsNoPool)
    {
        ImpatientFleet fleet;
        for (fleet.now += 900ms; fleet.now < Instant(1h) + 2s; fleet.now += 100ms)
            fleet.heartbeat(3);
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].owner, NodeId(3));
    }

    // Pattern: all processes are killed at once and come back. Guards against all pools on the node that comes back first.
    TEST(PoolAssignerTest, RestartedOwnerKeepsItsPool)
    {
        Fleet fleet;
        fleet.config.nodes[NodeId(1)].incarnation = Incarnation(2);
        for (uint32_t id = 1; id <= 3; ++id)
            fleet.heartbeat(id);
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].owner, NodeId(1));
        EXPECT_EQ(moves[0].ownerIncarnation, Incarnation(2));
    }

}
}
