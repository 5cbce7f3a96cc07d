#include "briarhitch/control/LeaseTable.h"
#include "briarhitch/control/PoolAssigner.h"

#include "briarhitch/core/Random.h"
#include "briarhitch/entry/ClusterView.h"
#include "support/ControlFixtures.h"

#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration lease = 3s;
    const Duration maxHoldTime = LeaseSettings {}.maxHoldTime();

    /** A clock that runs at its own rate. */
    struct DriftingClock {
        double rate { 1 };
        Duration offset {};

        [[nodiscard]] Instant at(Duration time) const { return Instant(offset + Duration(static_cast<int64_t>(static_cast<double>(time.count()) * rate))); }
    };

    /** The part of an entry that decides whether it owns a pool. */
    struct SimNode {
        NodeRecord self;
        DriftingClock clock;
        Duration suspendedUntil {};
        /** Until then it runs, but its messages to and from the leader are lost. */
        Duration isolatedUntil {};
        ClusterView view;
        Instant leaseEnd {};
        /** When this node learned of each pool's epochs, and the epochs that the previous owner has released. */
        std::map<std::pair<PoolId, Epoch>, Instant> learnedAt;
        std::set<std::pair<PoolId, Epoch>> released;

        [[nodiscard]] bool considersItselfOwner(const PoolAssignment& pool, Instant now) const
        {
            if (now >= leaseEnd || pool.owner != self.id || pool.ownerIncarnation != self.incarnation)
                return false;
            std::pair key(pool.id, pool.epoch);
            return !pool.previousOwner.isValid() || released.contains(key) || now >= learnedAt.at(key) + maxHoldTime;
        }
    };

    /**
     * Simulates entries and a succession of leaders that use LeaseTable, PoolAssigner and StateMachine as ControlServer
     * does. Messages and commits are delayed, lost and reordered.
     */
    class Simulation {
    public:
        explicit Simulation(uint64_t seed)
            : random_(seed)
        {
            state_.apply(targetChange("t1", 0, "engine-1"));
            state_.apply(targetChange("t2", 0, "engine-2", "south", "south-a"));
            for (uint32_t i = 1; i <= nodeCount; ++i) {
                auto& node = nodes_[i];
                node.self = nodeRecord(i, 1, i % 2 ? "north-a" : "north-b", i <= 4 ? "north" : "south");
                node.clock = randomClock();
                scheduleHeartbeat(i);
            }
            startLeader();
            at(100ms, [this] { tick(); });
            at(20ms, [this] { check(); });
        }

        void run(Duration until, bool faultsEnabled)
        {
            faultsEnabled_ = faultsEnabled;
            while (!events_.empty() && events_.begin()->first <= until) {
                auto event = events_.extract(events_.begin());
                now_ = event.key();
                event.mapped()();
            }
        }

        /** Number of pools that exactly one node currently considers its own. */
        size_t poolsWithOneOwner()
        {
            size_t count = 0;
            for (const auto& [id, pool] : state_.machine.config().pools)
                count += nodesThatConsiderThemselvesOwner(id).size() == 1 ? 1 : 0;
            return count;
        }

        [[nodiscard]] size_t poolCount() const { return state_.machine.config().pools.size(); }
        uint64_t handovers { 0 };
        uint64_t takeovers { 0 };
        uint64_t terms { 0 };

    private:
        static constexpr uint32_t nodeCount = 6;
        /** Two clocks then differ in rate by less than 5%. */
        static constexpr double maxRateError = 0.0243;

        void at(Duration delay, std::function<void()> event) { events_.emplace(now_ + delay, std::move(event)); }
        Duration delayUpTo(Duration limit) { return Duration(static_cast<int64_t>(random_.below(static_cast<uint64_t>(limit.count())))); }
        bool drawFault(double probability) { return faultsEnabled_ && random_.chance(probability); }
        Duration messageDelay() { return drawFault(0.1) ? delayUpTo(2s) : delayUpTo(20ms); }

        DriftingClock randomClock()
        {
            // Extreme rates are the most likely to violate an invariant.
            double error = random_.chance(0.7) ? maxRateError : maxRateError * random_.unit();
            return { 1 + (random_.chance(0.5) ? error : -error), delayUpTo(1000s) };
        }

        void startLeader()
        {
            ++terms;
            leaderClock_ = randomClock();
            leases_.becomeLeader(leaderClock_.at(now_));
            assigner_ = PoolAssigner();
            isLeading_ = true;
            isTickBusy_ = false;
        }

        void changeLeader()
        {
            isLeading_ = false;
            ++term_;
            at(delayUpTo(1s), [this] {
                // The new leader may commit some of the old leader's proposals before it starts.
                size_t kept = random_.below(proposals_.size() + 1);
                for (size_t i = 0; i < kept; ++i)
                    state_.machine.apply(proposals_[i].command);
                proposals_.clear();
                startLeader();
            });
        }

        void propose(std::string command, std::function<void()> then)
        {
            Duration delay = drawFault(0.15) ? delayUpTo(1s) : delayUpTo(20ms);
            lastCommit_ = std::max(lastCommit_, now_ + delay);
            proposals_.push_back({ std::move(command), std::move(then) });
            at(lastCommit_ - now_, [this, term = term_] { commitNext(term); });
        }

        void commitNext(uint64_t term)
        {
            if (term != term_)
                return;
            auto proposal = std::move(proposals_.front());
            proposals_.pop_front();
            state_.machine.apply(proposal.command);
            proposal.then();
        }

        void tick()
        {
            at(100ms, [this] { tick(); });
            if (drawFault(0.003) && isLeading_)
                changeLeader();
            managePools();
        }

        void managePools()
        {
            if (!isLeading_ || isTickBusy_)
                return;
            for (const auto& [id, node] : state_.machine.config().nodes) {
                if (!node.lost && !leases_.mayHoldLease(id, node.incarnation, leaderClock_.at(now_))) {
                    proposeFromTick(encodeCommand(MarkNodeLostCommand { id, node.incarnation }, 0));
                    return;
                }
            }
            auto moves = assigner_.decide(
                state_.machine.config(), leases_, [this](NodeId id) { return state_.machine.nodeRecordVersion(id); }, leaderClock_.at(now_));
            for (const auto& move : moves)
                ++(move.previousOwner.isValid() ? handovers : takeovers);
            if (!moves.empty())
                proposeFromTick(encodeCommand(AssignPoolsCommand { moves }));
        }

        void proposeFromTick(std::string command)
        {
            // Sometimes the wait for the commit times out while the command is still in transit.
            isTickBusy_ = !drawFault(0.1);
            propose(std::move(command), [this] {
                isTickBusy_ = false;
                managePools();
            });
        }

        void scheduleHeartbeat(uint32_t id)
        {
            at(1s, [this, id] {
                scheduleHeartbeat(id);
                auto& node = nodes_[id];
                injectFaults(node);
                if (now_ < node.suspendedUntil)
                    return;
                Heartbeat heartbeat { node.self, node.view.config().version, {} };
                Instant sentAt = node.clock.at(now_);
                if (now_ >= node.isolatedUntil && !drawFault(0.1))
                    at(messageDelay(), [this, heartbeat, sentAt] { onHeartbeat(heartbeat, sentAt); });
            });
        }

        void injectFaults(SimNode& node)
        {
            if (drawFault(0.04))
                node.suspendedUntil = now_ + delayUpTo(8s);
            if (drawFault(0.06))
                node.isolatedUntil = now_ + delayUpTo(5s);
            if (drawFault(0.04))
                node.self.draining = true;
            if (drawFault(0.03) || (!faultsEnabled_ && node.self.draining)) {
                auto self = node.self;
                self.incarnation = Incarnation(self.incarnation.value() + 1);
                self.draining = false;
                node = SimNode { self, node.clock, now_ + delayUpTo(1s), {}, {}, {}, {}, {} };
            }
        }

        void onHeartbeat(const Heartbeat& heartbeat, Instant sentAt)
        {
            if (!isLeading_)
                return;
            auto it = state_.machine.config().nodes.find(heartbeat.node.id);
            if (it != state_.machine.config().nodes.end() && it->second == heartbeat.node)
                sendReply(heartbeat, sentAt);
            else
                propose(encodeCommand(RegisterNodeCommand { heartbeat.node }, 0), [this, heartbeat, sentAt] { sendReply(heartbeat, sentAt); });
        }

        void sendReply(const Heartbeat& heartbeat, Instant sentAt)
        {
            const auto& record = state_.machine.config().nodes.at(heartbeat.node.id);
            if (!isLeading_ || record != heartbeat.node)
                return;
            leases_.grant(record.id, record.incarnation, leaderClock_.at(now_));
            HeartbeatReply reply;
            state_.machine.addChangesSince(heartbeat.appliedVersion, reply);
            if (!drawFault(0.1))
                at(messageDelay(), [this, id = record.id.value(), incarnation = record.incarnation, reply, sentAt] { onReply(id, incarnation, reply, sentAt); });
        }

        void onReply(uint32_t id, Incarnation incarnation, const HeartbeatReply& reply, Instant sentAt)
        {
            auto& node = nodes_[id];
            if (node.self.incarnation != incarnation || now_ < node.isolatedUntil)
                return;
            if (now_ < node.suspendedUntil) {
                // The reply stays in the socket buffer while the node is suspended.
                at(node.suspendedUntil - now_, [this, id, incarnation, reply, sentAt] { onReply(id, incarnation, reply, sentAt); });
                return;
            }
            node.view.apply(reply);
            node.leaseEnd = std::max(node.leaseEnd, sentAt + lease);
            for (const auto& [poolId, pool] : node.view.config().pools)
                learn(node, pool);
        }

        void learn(SimNode& node, const PoolAssignment& pool)
        {
            bool isNew = node.learnedAt.emplace(std::pair(pool.id, pool.epoch), node.clock.at(now_)).second;
            bool releases = isNew && pool.previousOwner == node.self.id && pool.owner != node.self.id;
            if (releases && !drawFault(0.2))
                at(messageDelay(), [this, pool] { nodes_[pool.owner.value()].released.insert({ pool.id, pool.epoch }); });
        }

        std::vector<uint32_t> nodesThatConsiderThemselvesOwner(PoolId pool)
        {
            std::vector<uint32_t> result;
            for (auto& [id, node] : nodes_) {
                auto it = node.view.config().pools.find(pool);
                bool isRunning = now_ >= node.suspendedUntil;
                if (isRunning && it != node.view.config().pools.end() && node.considersItselfOwner(it->second, node.clock.at(now_)))
                    result.push_back(id);
            }
            return result;
        }

        void check()
        {
            at(20ms, [this] { check(); });
            for (const auto& [id, pool] : state_.machine.config().pools)
                ASSERT_LE(nodesThatConsiderThemselvesOwner(id).size(), 1) << pool.name << " at " << toSeconds(now_) << " s, epoch " << pool.epoch.value();
        }

        struct Proposal {
            std::string command;
            std::function<void()> then;
        };

        Random random_;
        TestState state_;
        std::map<uint32_t, SimNode> nodes_;
        std::multimap<Duration, std::function<void()>> events_;
        Duration now_ {};
        bool faultsEnabled_ { true };
        bool isLeading_ { false };
        bool isTickBusy_ { false };
        uint64_t term_ { 0 };
        DriftingClock leaderClock_;
        LeaseTable leases_ { LeaseSettings {} };
        PoolAssigner assigner_;
        std::deque<Proposal> proposals_;
        Duration lastCommit_ {};
    };

    // Guards against two concurrent owners of a pool under any delays, losses and suspensions, and against a pool that gets no owner.
    TEST(LeaseTakeoverTest, TwoNodesNeverOwnAPoolAndEachPoolGetsAnOwner)
    {
        uint64_t handovers = 0;
        uint64_t takeovers = 0;
        uint64_t terms = 0;
        for (uint64_t seed = 1; seed <= 100; ++seed) {
            SCOPED_TRACE(seed);
            Simulation simulation(seed);
            simulation.run(200s, true);
            if (HasFatalFailure())
                return;
            simulation.run(230s, false);
            EXPECT_EQ(simulation.poolsWithOneOwner(), simulation.poolCount());
            handovers += simulation.handovers;
            takeovers += simulation.takeovers;
            terms += simulation.terms;
        }
        // The random schedules must cause enough of the events that they check.
        EXPECT_GT(handovers, 1000);
        EXPECT_GT(takeovers, 1000);
        EXPECT_GT(terms, 100);
    }

    // Guards against a new leader that reassigns a pool while a lease granted by the previous leader is still valid.
    TEST(LeaseTableTest, ANewLeaderWaitsForLeasesOfThePreviousLeader)
    {
        LeaseTable table { LeaseSettings {} };
        Instant start(1000s);
        table.becomeLeader(start);
        EXPECT_TRUE(table.mayHoldLease(NodeId(1), Incarnation(1), start + 3149ms));
        EXPECT_FALSE(table.hasRecentHeartbeat(NodeId(1), Incarnation(1), start));
        EXPECT_FALSE(table.mayHoldLease(NodeId(1), Incarnation(1), start + 3150ms));
        table.grant(NodeId(1), Incarnation(2), start + 4s);
        EXPECT_TRUE(table.hasRecentHeartbeat(NodeId(1), Incarnation(2), start + 7149ms));
        EXPECT_FALSE(table.mayHoldLease(NodeId(1), Incarnation(1), start + 4s));
        EXPECT_FALSE(table.mayHoldLease(NodeId(1), Incarnation(2), start + 7150ms));
    }

    struct AssignerTest : testing::Test {
        AssignerTest() { leases.becomeLeader(now - 10s); }

        void join(const NodeRecord& node)
        {
            ASSERT_TRUE(state.join(node).accepted);
            leases.grant(node.id, node.incarnation, now);
        }

        std::vector<PoolMove> assign()
        {
            auto moves = assigner.decide(
                state.machine.config(), leases, [&](NodeId id) { return state.machine.nodeRecordVersion(id); }, now);
            EXPECT_TRUE(moves.empty() || state.apply(AssignPoolsCommand { moves }).accepted);
            return moves;
        }

        std::map<NodeId, int> poolsByNode()
        {
            std::map<NodeId, int> counts;
            for (const auto& [id, pool] : state.machine.config().pools)
                ++counts[pool.owner];
            return counts;
        }

        TestState state;
        Instant now { 1000s };
        LeaseTable leases { LeaseSettings {} };
        PoolAssigner assigner;
    };

    // Guards against pools that concentrate on one node or zone, and against unnecessary reassignments.
    TEST_F(AssignerTest, PoolsAreSpreadAndKeepTheirOwners)
    {
        join(nodeRecord(1, 1, "north-a"));
        join(nodeRecord(2, 1, "north-a"));
        join(nodeRecord(3, 1, "north-b"));
        join(nodeRecord(4, 1, "north-b"));
        EXPECT_EQ(assign().size(), ceilingPoolCount);
        for (auto [node, count] : poolsByNode())
            EXPECT_EQ(count, 2) << node.value();
        EXPECT_TRUE(assign().empty());
        join(nodeRecord(5, 1, "north-c"));
        EXPECT_TRUE(assign().empty()) << "a new node alone must not cause reassignments";
    }

    // Guards against owners in the wrong region, and against a zonal pool that is assigned to another zone without need.
    TEST_F(AssignerTest, OwnersAreInThePoolsRegionAndPreferablyInItsZone)
    {
        auto target = targetChange("t", 0, "engine");
        target.poolScope = "north-b";
        target.target.zone = "north-b";
        state.apply(target);
        auto pool = state.machine.findTarget("engine")->pool;
        auto owner = [&] { return state.machine.config().pools.at(pool).owner; };
        join(nodeRecord(1, 1, "south-a", "south"));
        assign();
        EXPECT_FALSE(owner().isValid()) << "a node of another region must not own the pool";
        join(nodeRecord(2, 1, "north-a"));
        assign();
        EXPECT_EQ(owner(), NodeId(2));
        join(nodeRecord(3, 1, "north-b"));
        assign();
        EXPECT_EQ(owner(), NodeId(2));
        state.apply(MarkNodeLostCommand { NodeId(2), Incarnation(1) }, int64_t(0));
        now += 4s;
        leases.grant(NodeId(1), Incarnation(1), now);
        leases.grant(NodeId(3), Incarnation(1), now);
        join(nodeRecord(4, 1, "north-a"));
        assign();
        EXPECT_EQ(owner(), NodeId(3));
    }

    // Guards against a handover by a draining node that is skipped, decided twice in a row, or applied twice.
    TEST_F(AssignerTest, ADrainingNodeHandsItsPoolsOver)
    {
        join(nodeRecord(1, 1));
        assign();
        auto draining = nodeRecord(1, 1);
        draining.draining = true;
        join(draining);
        EXPECT_TRUE(assign().empty()) << "the draining node keeps the pools while there is no other node";
        join(nodeRecord(2, 1));
        auto moves = assign();
        ASSERT_EQ(moves.size(), ceilingPoolCount);
        EXPECT_EQ(moves[0].previousOwner, NodeId(1));
        auto second = nodeRecord(2, 1);
        second.draining = true;
        join(second);
        join(nodeRecord(3, 1));
        EXPECT_TRUE(assign().empty()) << "node 1 may not have learned of the first reassignment";
        now += maxHoldTime;
        for (uint32_t id : { 1, 2, 3 })
            leases.grant(NodeId(id), Incarnation(1), now);
        EXPECT_EQ(assign().size(), ceilingPoolCount);
        EXPECT_FALSE(state.apply(AssignPoolsCommand { moves }).accepted) << "an outdated decision must not be applied";
    }

    // Guards against a takeover that is committed after the lost owner has returned and got a lease.
    TEST_F(AssignerTest, AReturnOfTheOwnerInvalidatesATakeover)
    {
        join(nodeRecord(1, 1));
        assign();
        state.apply(MarkNodeLostCommand { NodeId(1), Incarnation(1) }, int64_t(0));
        now += maxHoldTime;
        join(nodeRecord(2, 1));
        auto moves = assigner.decide(
            state.machine.config(), leases, [&](NodeId id) { return state.machine.nodeRecordVersion(id); }, now);
        ASSERT_EQ(moves.size(), ceilingPoolCount);
        EXPECT_FALSE(moves[0].previousOwner.isValid());
        join(nodeRecord(1, 1));
        EXPECT_FALSE(state.apply(AssignPoolsCommand { moves }).accepted);
    }

    // Guards against a new owner that does not wait for the draining one, which may renew its lease before the handover is committed.
    TEST_F(AssignerTest, AHandoverNamesThePreviousOwnerEvenWithoutALease)
    {
        join(nodeRecord(1, 1));
        assign();
        auto draining = nodeRecord(1, 1);
        draining.draining = true;
        join(draining);
        now += maxHoldTime;
        join(nodeRecord(2, 1));
        auto moves = assign();
        ASSERT_EQ(moves.size(), ceilingPoolCount);
        EXPECT_EQ(moves[0].previousOwner, NodeId(1));
    }

}
}
