#include "briarhitch/entry/PoolHost.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t slots = 1;

    /** Grants target 1 in the order of arrival, to one attempt at a time. */
    class OneSlotScheduler : public PoolScheduler {
    public:
        void setTargets(const std::vector<Target>&, Instant) override { }
        void setContract(const Contract&) override { }
        void submit(PoolRequest request, Instant) override
        {
            ++submissions;
            queue_.push_back(request.attempt);
            grantNext();
        }
        void cancel(AttemptId attempt, Instant) override { remove(attempt); }
        void attemptStarted(AttemptId, Duration, Instant) override { }
        void attemptFinished(AttemptId attempt, AttemptOutcome, Tokens, Tokens, Duration, Instant) override { remove(attempt); }
        void restore(PoolRequest request, TargetId, bool, Instant) override { running_.insert(request.attempt); }
        void restoreRecentAttempt(uint64_t repeatKey, TargetId, Instant) override { recentAttempts.push_back(repeatKey); }
        void reportLoad(const LoadReport&, Instant) override { }
        void tick(Instant) override { }
        std::vector<PoolAction> takeActions() override { return std::exchange(actions_, {}); }
        [[nodiscard]] PoolStats stats() const override
        {
            PoolStats stats;
            stats.queued[0] = queue_.size();
            return stats;
        }

        static inline int submissions = 0;
        static inline std::vector<uint64_t> recentAttempts;

    private:
        void remove(AttemptId attempt)
        {
            running_.erase(attempt);
            std::erase(queue_, attempt);
            grantNext();
        }
        void grantNext()
        {
            while (running_.size() < slots && !queue_.empty()) {
                actions_.emplace_back(PoolGrant { queue_.front(), TargetId(1) });
                running_.insert(queue_.front());
                queue_.pop_front();
            }
        }

        std::deque<AttemptId> queue_;
        std::set<AttemptId> running_;
        std::vector<PoolAction> actions_;
    };

    const PoolSchedulerRegistry::Registration registration("test-one-slot", [](const PoolSettings&) { return std::make_unique<OneSlotScheduler>(); });

    class PoolHostTest : public testing::Test {
    protected:
        PoolHostTest()
        {
            OneSlotScheduler::submissions = 0;
            OneSlotScheduler::recentAttempts.clear();
            for (uint32_t id = 1; id <= 3; ++id)
                config_.nodes[NodeId(id)] = nodeRecord(id);
            PoolHostSettings settings;
            settings.self = NodeId(1);
            settings.incarnation = Incarnation(1);
            settings.region = "lakes";
            settings.pool.policy = "test-one-slot";
            host_ = std::make_unique<PoolHost>(settings, transport_, metrics_, PoolHostHooks { [this] { return hasLease_; }, [this] { ++configFetches_; }, [](const SuspectVerdict&) {}, clock_.hook() });
        }

        void assign(const PoolAssignment& assignment)
        {
            config_.pools[assignment.id] = assignment;
            host_->onConfigChange(config_);
        }

        /** Assigns pool 10 to this node and delivers a PoolSync from each node. */
        void takeOverPool()
        {
            assign(modelPool(10, Epoch(2), 1));
            for (uint32_t node = 1; node <= 3; ++node)
                sync(node, {});
        }

        static GrantRequest grantRequestFor(uint64_t request)
        {
            GrantRequest message;
            message.pool = PoolId(10);
            message.attempt = { RequestId(request), 1 };
            message.deadlineMs = 60000;
            return message;
        }

        template <class T>
        void send(uint32_t from, MessageType type, const T& message, uint64_t link = 1)
        {
            host_->onMessage(NodeId(from), LinkId(link), type, encode(message));
        }
        void requestGrant(uint32_t from, uint64_t request, uint64_t link = 1) { send(from, MessageType::GrantRequest, grantRequestFor(request), link); }
        void sync(uint32_t from, const std::vector<uint64_t>& running, uint64_t link = 1, Epoch epoch = Epoch(2))
        {
            PoolSync message { PoolId(10), epoch, {}, {}, {}, {}, {} };
            for (auto request : running)
                message.running.push_back({ grantRequestFor(request), TargetId(1), false });
            send(from, MessageType::PoolSync, message, link);
        }
        void finish(uint32_t from, uint64_t request)
        {
            AttemptFinished finished;
            finished.pool = PoolId(10);
            finished.attempt = grantRequestFor(request).attempt;
            send(from, MessageType::AttemptFinished, finished);
        }
        void advance(Duration time)
        {
            clock_.now += time;
            host_->tick();
        }
        size_t grantsTo(uint32_t node) const { return transport_.replied<Grant>(MessageType::Grant, NodeId(node)).size(); }

        ManualClock clock_;
        FakeTransport transport_;
        MetricRegistry metrics_;
        ClusterConfig config_;
        bool hasLease_ { true };
        int configFetches_ { 0 };
        std::unique_ptr<PoolHost> host_;
    };

    // Guards against a new pool owner that grants slots which attempts granted by an earlier owner still occupy.
    TEST_F(PoolHostTest, TakeoverCollectsRunningAttemptsBeforeItGrants)
    {
        assign(modelPool(10, Epoch(2), 1));
        requestGrant(2, 100);
        sync(1, {});
        sync(2, {});
        EXPECT_EQ(grantsTo(2), 0u);
        sync(3, { 50 });
        EXPECT_TRUE(host_->isActive(PoolId(10)));
        EXPECT_EQ(grantsTo(2), 0u);
        finish(3, 50);
        ASSERT_EQ(grantsTo(2), 1u);
        EXPECT_EQ(transport_.replied<Grant>(MessageType::Grant, NodeId(2))[0].epoch, Epoch(2));
    }

    // Guards against a takeover that an unresponsive node blocks forever.
    TEST_F(PoolHostTest, TakeoverWaitsForSyncsAtMostHalfASecond)
    {
        assign(modelPool(10, Epoch(2), 1));
        requestGrant(2, 100);
        sync(1, {});
        advance(499ms);
        EXPECT_EQ(grantsTo(2), 0u);
        advance(1ms);
        EXPECT_EQ(grantsTo(2), 1u);
    }

    // Guards against a takeover that accepts a sync meant for an earlier owner as complete.
    TEST_F(PoolHostTest, SyncWithAnOldEpochIsIgnored)
    {
        assign(modelPool(10, Epoch(2), 1));
        for (uint32_t node = 1; node <= 3; ++node)
            sync(node, {}, 1, Epoch(1));
        EXPECT_FALSE(host_->isActive(PoolId(10)));
    }

    // Guards against two owners that grant at the same time.
    TEST_F(PoolHostTest, TakeoverWaitsUntilThePreviousOwnersLeaseHasEnded)
    {
        assign(modelPool(10, Epoch(2), 1, 2));
        for (uint32_t node = 1; node <= 3; ++node)
            sync(node, {});
        requestGrant(3, 100);
        send(3, MessageType::PoolRelease, PoolRelease { PoolId(10), Epoch(2) });
        send(2, MessageType::PoolRelease, PoolRelease { PoolId(10), Epoch(1) });
        advance(3149ms);
        EXPECT_EQ(grantsTo(3), 0u);
        advance(1ms);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against a planned handover that stops the pool for the duration of a lease. The PoolRelease may arrive even
    // before the assignment.
    TEST_F(PoolHostTest, ReleaseEndsTheWaitForThePreviousOwner)
    {
        requestGrant(3, 100);
        EXPECT_EQ(configFetches_, 0);
        send(2, MessageType::PoolRelease, PoolRelease { PoolId(10), Epoch(2) });
        EXPECT_EQ(configFetches_, 1);
        assign(modelPool(10, Epoch(2), 1, 2));
        for (uint32_t node = 1; node <= 3; ++node)
            sync(node, {});
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against grants after a handover, and against a PoolRelease that is lost while the link is down.
    TEST_F(PoolHostTest, HandoverStopsGrantsAndNotifiesTheNewOwner)
    {
        takeOverPool();
        requestGrant(3, 100);
        requestGrant(3, 101);
        ASSERT_EQ(grantsTo(3), 1u);
        transport_.unreachable.insert(NodeId(2));
        assign(modelPool(10, Epoch(3), 2, 1));
        EXPECT_EQ(host_->poolCount(), 0u);
        EXPECT_TRUE(host_->isHandingOver());
        finish(3, 100);
        requestGrant(3, 102);
        EXPECT_EQ(grantsTo(3), 1u);
        transport_.unreachable.clear();
        advance(20ms);
        auto releases = transport_.posted<PoolRelease>(MessageType::PoolRelease, NodeId(2));
        ASSERT_EQ(releases.size(), 1u);
        EXPECT_EQ(releases[0].epoch, Epoch(3));
        EXPECT_FALSE(host_->isHandingOver());
    }

    // Guards against grants after the lease has ended, and against losing the running attempts when it is renewed.
    TEST_F(PoolHostTest, NoGrantsWithoutALease)
    {
        takeOverPool();
        requestGrant(2, 100);
        hasLease_ = false;
        requestGrant(3, 101);
        finish(2, 100);
        requestGrant(3, 102);
        advance(20ms);
        EXPECT_EQ(grantsTo(3), 0u);
        hasLease_ = true;
        advance(20ms);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against a second submission, or a lost grant, when an entry resends its request over a new link.
    TEST_F(PoolHostTest, ResentRequestReceivesTheSameGrant)
    {
        takeOverPool();
        requestGrant(2, 100);
        requestGrant(2, 100);
        EXPECT_EQ(OneSlotScheduler::submissions, 1);
        auto grants = transport_.replied<Grant>(MessageType::Grant, NodeId(2));
        ASSERT_EQ(grants.size(), 2u);
        EXPECT_EQ(grants[0].target, grants[1].target);
    }

    // Guards against slots that stay occupied by a dead entry, and against freeing those of an entry that lost only its link.
    TEST_F(PoolHostTest, AttemptsOfALostEntryAreFreedAfterTheLeaseTime)
    {
        takeOverPool();
        requestGrant(2, 100);
        requestGrant(3, 101);
        host_->onEntryDisconnected(NodeId(2));
        advance(3s);
        host_->onEntryConnected(NodeId(2));
        advance(1s);
        EXPECT_EQ(grantsTo(3), 0u);
        host_->onEntryDisconnected(NodeId(2));
        advance(3149ms);
        EXPECT_EQ(grantsTo(3), 0u);
        advance(1ms);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against slots that stay occupied because the end or cancellation of an attempt was lost with a link.
    TEST_F(PoolHostTest, SyncOverANewLinkRemovesUnlistedAttempts)
    {
        takeOverPool();
        requestGrant(2, 100);
        requestGrant(3, 101);
        sync(2, {}, 1);
        EXPECT_EQ(grantsTo(3), 0u);
        sync(2, {}, 2);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against taking over a pool that was assigned to another incarnation of this node.
    TEST_F(PoolHostTest, PoolOfAnotherIncarnationIsNotTakenOver)
    {
        auto assignment = modelPool(10, Epoch(2), 1);
        assignment.ownerIncarnation = Incarnation(9);
        assign(assignment);
        EXPECT_EQ(host_->poolCount(), 0u);
    }

    /** A PoolHost whose pool 10 has targets 1 and 2, with one slot each and the policy "slots". */
    class TargetAvailabilityTest : public PoolHostTest {
    protected:
        TargetAvailabilityTest()
        {
            PoolHostSettings settings;
            settings.self = NodeId(1);
            settings.incarnation = Incarnation(1);
            settings.region = "lakes";
            settings.pool.policy = "slots";
            host_ = std::make_unique<PoolHost>(settings, transport_, metrics_, PoolHostHooks { [] { return true; }, [] {}, [](const SuspectVerdict&) {}, clock_.hook() });
            for (uint32_t id : { 1, 2 }) {
                Target target;
                target.id = TargetId(id);
                target.pool = PoolId(10);
                target.slots = 1;
                config_.targets[target.id] = target;
            }
            takeOverPool();
        }

        std::vector<TargetId> grantsTo(uint32_t node) const
        {
            std::vector<TargetId> targets;
            for (const auto& grant : transport_.replied<Grant>(MessageType::Grant, NodeId(node)))
                targets.push_back(grant.target);
            return targets;
        }
    };

    // Guards against grants for a target that has announced its shutdown, and entries that still select it locally.
    TEST_F(TargetAvailabilityTest, LeavingTargetIsNotGrantedAndAllEntriesAreNotified)
    {
        host_->onEntryConnected(NodeId(2));
        host_->onEntryConnected(NodeId(3));
        send(2, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), true, 0 });
        send(3, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), true, 0 });
        EXPECT_EQ(transport_.replied<TargetAvailabilityNotice>(MessageType::TargetAvailabilityNotice, NodeId(3)).size(), 1u) << "one notification, however many entries report the target";
        for (uint64_t request : { 1, 2, 3 }) {
            requestGrant(3, request);
            finish(3, request);
        }
        EXPECT_EQ(grantsTo(3), (std::vector<TargetId>(3, TargetId(2))));
        config_.targets[TargetId(1)].incarnationStartMs = 5;
        host_->onConfigChange(config_);
        requestGrant(3, 4);
        requestGrant(3, 5);
        EXPECT_EQ(grantsTo(3).size(), 5u) << "the target's new incarnation is granted";
    }

    // Guards against a new owner that grants a leaving target, because the report came before it knew of the pool.
    TEST_F(TargetAvailabilityTest, ReportBeforeTheAssignmentIsKept)
    {
        auto targets = std::exchange(config_.targets, {});
        config_.pools.clear();
        host_->onConfigChange(config_);
        send(2, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), true, 0 });
        config_.targets = targets;
        takeOverPool();
        requestGrant(3, 1);
        requestGrant(3, 2);
        EXPECT_EQ(grantsTo(3), std::vector<TargetId> { TargetId(2) });
    }

    // Guards against an entry that starts again and selects a leaving target itself.
    TEST_F(TargetAvailabilityTest, EntryThatConnectsLaterIsNotified)
    {
        send(2, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), true, 0 });
        host_->onEntryConnected(NodeId(3));
        EXPECT_EQ(transport_.replied<TargetAvailabilityNotice>(MessageType::TargetAvailabilityNotice, NodeId(3)).size(), 1u);
    }

    // Guards against granting a target to one node after another while it asks each for a pause, and against never
    // granting it again after the pause.
    TEST_F(TargetAvailabilityTest, TargetThatPausesSeveralNodesIsNotGrantedDuringThePause)
    {
        for (uint32_t node : { 1, 2, 3 })
            send(node, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), false, 1000 });
        requestGrant(2, 1);
        requestGrant(2, 2);
        EXPECT_EQ(grantsTo(2), std::vector<TargetId> { TargetId(2) });
        advance(1000ms);
        EXPECT_EQ(grantsTo(2).size(), 2u);
    }

}
}
