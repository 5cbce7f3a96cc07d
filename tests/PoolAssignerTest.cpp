#include "briarhitch/control/PoolAssigner.h"

#include "support/ControlFixtures.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** A fleet whose only pool is owned by the first incarnation of node 1, right after a leader election. */
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

    // Pattern: all processes are killed at once and restart. Guards against pools without owners for the duration of a lease,
    // although the restart proves that the processes with the leases have ended.
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

    // Guards against a second owner while the lease of the first one may still be valid.
    TEST(PoolAssignerTest, UnresponsiveOwnerKeepsItsPoolUntilItsLeaseHasExpired)
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

    // Guards against pools that stay on a node that serves callers although a dedicated node for pools is available.
    TEST(PoolAssignerTest, PoolsAreAssignedToPreferredNodes)
    {
        Fleet fleet;
        for (uint32_t id = 1; id <= 3; ++id)
            fleet.heartbeat(id);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.config.nodes[NodeId(3)].prefersPools = true;
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].owner, NodeId(3));
        EXPECT_EQ(moves[0].previousOwner, NodeId(1)) << "the current owner must hand the pool over";
    }

    /** The same fleet with a takeover timeout of 800 ms. */
    struct EarlyTakeoverFleet : Fleet {
        EarlyTakeoverFleet()
        {
            assigner = PoolAssigner(800ms);
            for (uint32_t id = 1; id <= 3; ++id)
                heartbeat(id);
        }

        /** Advances the time while nodes 2 and 3 send heartbeats and node 1, the owner, does not. */
        void advance(Duration time)
        {
            for (auto end = now + time; now < end; now += 100ms) {
                heartbeat(2);
                heartbeat(3);
            }
        }
    };

    // Pattern: the VM of a pool's owner is suspended during a burst. Guards against entries that select targets locally, each
    // with its fraction of the slots, for the duration of a lease.
    TEST(PoolAssignerTest, UnresponsiveOwnerIsReplacedBeforeItsLeaseHasExpiredWithTakeoverTimeout)
    {
        EarlyTakeoverFleet fleet;
        fleet.advance(700ms);
        EXPECT_TRUE(fleet.decide().empty()) << "two lost heartbeats must not cause a takeover";
        fleet.advance(200ms);
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_NE(moves[0].owner, NodeId(1));
        EXPECT_FALSE(moves[0].previousOwner.isValid()) << "the new owner must not wait for the unresponsive one";
    }

    // Guards against two nodes that allocate the same ceiling at the same time.
    TEST(PoolAssignerTest, CeilingPoolOfAnUnresponsiveOwnerStaysUntilItsLeaseHasExpired)
    {
        EarlyTakeoverFleet fleet;
        fleet.config.pools[PoolId(10)].kind = PoolKind::Ceiling;
        fleet.advance(3000ms);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.config.nodes[NodeId(1)].lost = true;
        fleet.advance(300ms);
        EXPECT_EQ(fleet.decide().size(), 1u);
    }

    // Guards against a new leader that considers nodes unresponsive which have not connected to it yet.
    TEST(PoolAssignerTest, NewLeaderWaitsBeforeItConsidersOwnersUnresponsive)
    {
        EarlyTakeoverFleet fleet;
        fleet.advance(5s);
        fleet.leases.becomeLeader(fleet.now);
        fleet.advance(700ms);
        EXPECT_TRUE(fleet.decide().empty());
        fleet.advance(200ms);
        EXPECT_EQ(fleet.decide().size(), 1u);
    }

    // Guards against pools that are reassigned from one unresponsive node to another, as after a zone was isolated.
    TEST(PoolAssignerTest, UnresponsiveNodeGetsNoPool)
    {
        EarlyTakeoverFleet fleet;
        for (fleet.now += 900ms; fleet.now < Instant(1h) + 2s; fleet.now += 100ms)
            fleet.heartbeat(3);
        auto moves = fleet.decide();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].owner, NodeId(3));
    }

    // Pattern: all processes are killed at once and restart. Guards against all pools being assigned to the node that returns first.
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
