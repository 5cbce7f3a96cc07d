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
    const Duration longestHold = LeaseSettings {}.maxHoldTime();

    /** A clock that runs at its own rate. */
    struct DriftingClock {
        double rate { 1 };
        Duration offset {};

        [[nodiscard]] Instant at(Duration time) const { return Instant(offset + Duration(static_cast<int64_t>(static_cast<double>(time.count()) * rate))); }
    };

    /** An entry, as far as it decides whether it owns a pool. */
    struct SimNode {
        NodeRecord self;
        DriftingClock clock;
        Duration suspendedUntil {};
        /** Runs, but its messages to and from the leader are lost. */
        Duration isolatedUntil {};
        ClusterView view;
        Instant leaseEnd {};
        /** When this node learned of each of its epochs, and whether the earlier owner released it. */
        std::map<std::pair<PoolId, Epoch>, Instant> learnedAt;
        std::set<std::pair<PoolId, Epoch>> released;

        [[nodiscard]] bool believesToOwn(const PoolAssignment& pool, Instant now) const
        {
            if (now >= leaseEnd || pool.owner != self.id || pool.ownerIncarnation != self.incarnation)
                return false;
            std::pair key(pool.id, pool.epoch);
            return !pool.previousOwner.isValid() || released.contains(key) || now >= learnedAt.at(key) + longestHold;
        }
    };

    /**
     * Entries and a succession of leaders that use the pure parts as ControlServer does, with messages and
     * commits that are delayed, lost and overtaken.
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

        void run(Duration until, bool isTroubled)
        {
            isTroubled_ = isTroubled;
            while (!events_.empty() && events_.begin()->first <= until) {
                auto event = events_.extract(events_.begin());
                now_ = event.key();
                event.mapped()();
            }
        }

        /** Pools that have exactly one owner now. */
        size_t ownedPools()
        {
            size_t count = 0;
            for (const auto& [id, pool] : state_.machine.config().pools)
                count += believers(id).size() == 1 ? 1 : 0;
            return count;
        }

        [[nodiscard]] size_t poolCount() const { return state_.machine.config().pools.size(); }
        uint64_t handovers { 0 };
        uint64_t takeovers { 0 };
        uint64_t terms { 0 };

    private:
        static constexpr uint32_t nodeCount = 6;
        /** Rates of two clocks then differ by less than 5%. */
        static constexpr double maxRateError = 0.0243;

        void at(Duration delay, std::function<void()> event) { events_.emplace(now_ + delay, std::move(event)); }
        Duration delayUpTo(Duration limit) { return Duration(static_cast<int64_t>(random_.below(static_cast<uint64_t>(limit.count())))); }
        bool isTroubled(double probability) { return isTroubled_ && random_.chance(probability); }
        Duration messageDelay() { return isTroubled(0.1) ? delayUpTo(2s) : delayUpTo(20ms); }

        DriftingClock randomClock()
        {
            // The extremes are the most likely to break a rule.
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
                // Some of what the old leader proposed is committed by the new one before it starts.
                size_t kept = random_.below(proposals_.size() + 1);
                for (size_t i = 0; i < kept; ++i)
                    state_.machine.apply(proposals_[i].command);
                proposals_.clear();
                startLeader();
            });
        }

        void propose(std::string command, std::function<void()> then)
        {
            Duration delay = isTroubled(0.15) ? delayUpTo(1s) : delayUpTo(20ms);
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
            if (isTroubled(0.003) && isLeading_)
                changeLeader();
            lookAfterPools();
        }

        void lookAfterPools()
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
            // Sometimes the wait for the commit runs out while the command is still under way.
            isTickBusy_ = !isTroubled(0.1);
            propose(std::move(command), [this] {
                isTickBusy_ = false;
                lookAfterPools();
            });
        }

        void scheduleHeartbeat(uint32_t id)
        {
            at(1s, [this, id] {
                scheduleHeartbeat(id);
                auto& node = nodes_[id];
                disturb(node);
                if (now_ < node.suspendedUntil)
                    return;
                Heartbeat heartbeat { node.self, node.view.config().version, {} };
                Instant sentAt = node.clock.at(now_);
                if (now_ >= node.isolatedUntil && !isTroubled(0.1))
                    at(messageDelay(), [this, heartbeat, sentAt] { onHeartbeat(heartbeat, sentAt); });
            });
        }

        void disturb(SimNode& node)
        {
            if (isTroubled(0.04))
                node.suspendedUntil = now_ + delayUpTo(8s);
            if (isTroubled(0.06))
                node.isolatedUntil = now_ + delayUpTo(5s);
            if (isTroubled(0.04))
                node.self.draining = true;
            if (isTroubled(0.03) || (!isTroubled_ && node.self.draining)) {
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
                answer(heartbeat, sentAt);
            else
                propose(encodeCommand(RegisterNodeCommand { heartbeat.node }, 0), [this, heartbeat, sentAt] { answer(heartbeat, sentAt); });
        }

        void answer(const Heartbeat& heartbeat, Instant sentAt)
        {
            const auto& record = state_.machine.config().nodes.at(heartbeat.node.id);
            if (!isLeading_ || record != heartbeat.node)
                return;
            leases_.grant(record.id, record.incarnation, leaderClock_.at(now_));
            HeartbeatReply reply;
            state_.machine.addChangesSince(heartbeat.appliedVersion, reply);
            if (!isTroubled(0.1))
                at(messageDelay(), [this, id = record.id.value(), incarnation = record.incarnation, reply, sentAt] { onReply(id, incarnation, reply, sentAt); });
        }

        void onReply(uint32_t id, Incarnation incarnation, const HeartbeatReply& reply, Instant sentAt)
        {
            auto& node = nodes_[id];
            if (node.self.incarnation != incarnation || now_ < node.isolatedUntil)
                return;
            if (now_ < node.suspendedUntil) {
                // The answer waits in the socket.
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
            if (releases && !isTroubled(0.2))
                at(messageDelay(), [this, pool] { nodes_[pool.owner.value()].released.insert({ pool.id, pool.epoch }); });
        }

        std::vector<uint32_t> believers(PoolId pool)
        {
            std::vector<uint32_t> result;
            for (auto& [id, node] : nodes_) {
                auto it = node.view.config().pools.find(pool);
                bool isRunning = now_ >= node.suspendedUntil;
                if (isRunning && it != node.view.config().pools.end() && node.believesToOwn(it->second, node.clock.at(now_)))
                    result.push_back(id);
            }
            return result;
        }

        void check()
        {
            at(20ms, [this] { check(); });
            for (const auto& [id, pool] : state_.machine.config().pools)
                ASSERT_LE(believers(id).size(), 1) << pool.name << " at " << toSeconds(now_) << " s, epoch " << pool.epoch.value();
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
        bool isTroubled_ { true };
        bool isLeading_ { false };
        bool isTickBusy_ { false };
        uint64_t term_ { 0 };
        DriftingClock leaderClock_;
        LeaseTable leases_ { LeaseSettings {} };
        PoolAssigner assigner_;
        std::deque<Proposal> proposals_;
        Duration lastCommit_ {};
    };

    // Guards against two owners of one pool, whatever is delayed, lost or suspended, and against a pool that stays without one.
    TEST(LeaseTakeoverTest, TwoNodesNeverOwnAPoolAndEachPoolFindsAnOwner)
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
            EXPECT_EQ(simulation.ownedPools(), simulation.poolCount());
            handovers += simulation.handovers;
            takeovers += simulation.takeovers;
            terms += simulation.terms;
        }
        // The schedules must exercise what they check.
        EXPECT_GT(handovers, 1000);
        EXPECT_GT(takeovers, 1000);
        EXPECT_GT(terms, 100);
    }

    // Guards against a new leader that takes a pool away while a lease of the leader before it still holds.
    TEST(LeaseTableTest, ANewLeaderWaitsForLeasesItDoesNotKnow)
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

    // Guards against pools that gather on one node or zone, and against moves without need.
    TEST_F(AssignerTest, PoolsAreSpreadAndStay)
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
        EXPECT_TRUE(assign().empty()) << "a new node is no reason to move pools";
    }

    // Guards against owners in the wrong region, and against a zone's pool that leaves its zone without need.
    TEST_F(AssignerTest, OwnersAreOfThePoolsRegionAndBestOfItsZone)
    {
        auto target = targetChange("t", 0, "engine");
        target.poolScope = "north-b";
        target.target.zone = "north-b";
        state.apply(target);
        auto pool = state.machine.findTarget("engine")->pool;
        auto owner = [&] { return state.machine.config().pools.at(pool).owner; };
        join(nodeRecord(1, 1, "south-a", "south"));
        assign();
        EXPECT_FALSE(owner().isValid()) << "another region does not serve the pool";
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

    // Guards against a handover that is decided for a node that has meanwhile gone, or twice in a row.
    TEST_F(AssignerTest, ADrainingNodeHandsItsPoolsOver)
    {
        join(nodeRecord(1, 1));
        assign();
        auto draining = nodeRecord(1, 1);
        draining.draining = true;
        join(draining);
        EXPECT_TRUE(assign().empty()) << "without another node the draining one goes on";
        join(nodeRecord(2, 1));
        auto moves = assign();
        ASSERT_EQ(moves.size(), ceilingPoolCount);
        EXPECT_EQ(moves[0].previousOwner, NodeId(1));
        auto second = nodeRecord(2, 1);
        second.draining = true;
        join(second);
        join(nodeRecord(3, 1));
        EXPECT_TRUE(assign().empty()) << "node 1 may not have learned of the first move";
        now += longestHold;
        for (uint32_t id : { 1, 2, 3 })
            leases.grant(NodeId(id), Incarnation(1), now);
        EXPECT_EQ(assign().size(), ceilingPoolCount);
        EXPECT_FALSE(state.apply(AssignPoolsCommand { moves }).accepted) << "an old decision must not be applied again";
    }

    // Guards against a takeover that is committed after the lost owner came back and got a lease.
    TEST_F(AssignerTest, AReturnOfTheOwnerVoidsATakeover)
    {
        join(nodeRecord(1, 1));
        assign();
        state.apply(MarkNodeLostCommand { NodeId(1), Incarnation(1) }, int64_t(0));
        now += longestHold;
        join(nodeRecord(2, 1));
        auto moves = assigner.decide(
            state.machine.config(), leases, [&](NodeId id) { return state.machine.nodeRecordVersion(id); }, now);
        ASSERT_EQ(moves.size(), ceilingPoolCount);
        EXPECT_FALSE(moves[0].previousOwner.isValid());
        join(nodeRecord(1, 1));
        EXPECT_FALSE(state.apply(AssignPoolsCommand { moves }).accepted);
    }

    // Guards against a handover without a wait: the draining owner may renew its lease before the move is committed.
    TEST_F(AssignerTest, AHandoverNamesThePreviousOwnerEvenWithoutALease)
    {
        join(nodeRecord(1, 1));
        assign();
        auto draining = nodeRecord(1, 1);
        draining.draining = true;
        join(draining);
        now += longestHold;
        join(nodeRecord(2, 1));
        auto moves = assign();
        ASSERT_EQ(moves.size(), ceilingPoolCount);
        EXPECT_EQ(moves[0].previousOwner, NodeId(1));
    }

}
}
