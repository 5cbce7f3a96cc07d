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

}
}
