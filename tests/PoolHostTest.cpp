#include "briarhitch/entry/PoolHost.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t slots = 1;

    /** Grants target 1 in the order of arrival, one attempt at a time. */
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
        void started(AttemptId, Duration, Instant) override { }
        void finished(AttemptId attempt, AttemptOutcome, Tokens, Tokens, Duration, Instant) override { remove(attempt); }
        void restore(PoolRequest request, TargetId, bool, Instant) override { running_.insert(request.attempt); }
        void restoreRepeat(uint64_t repeatKey, TargetId, Instant) override { repeats.push_back(repeatKey); }
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
        static inline std::vector<uint64_t> repeats;

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
            OneSlotScheduler::repeats.clear();
            for (uint32_t id = 1; id <= 3; ++id)
                config_.nodes[NodeId(id)] = nodeRecord(id);
            PoolHostSettings settings;
            settings.self = NodeId(1);
            settings.incarnation = Incarnation(1);
            settings.region = "lakes";
            settings.pool.policy = "test-one-slot";
            host_ = std::make_unique<PoolHost>(settings, transport_, metrics_, PoolHostHooks { [this] { return hasLease_; }, [this] { ++configAsks_; }, clock_.hook() });
        }

        void assign(const PoolAssignment& assignment)
        {
            config_.pools[assignment.id] = assignment;
            host_->onConfigChange(config_);
        }

        /** Assigns pool 10 to this node and lets all nodes sync. */
        void own()
        {
            assign(modelPool(10, Epoch(2), 1));
            for (uint32_t node = 1; node <= 3; ++node)
                sync(node, {});
        }

        static GrantRequest askFor(uint64_t request)
        {
            GrantRequest ask;
            ask.pool = PoolId(10);
            ask.attempt = { RequestId(request), 1 };
            ask.deadlineMs = 60000;
            return ask;
        }

        template <class T>
        void send(uint32_t from, MessageType type, const T& message, uint64_t link = 1)
        {
            host_->onMessage(NodeId(from), LinkId(link), type, encode(message));
        }
        void ask(uint32_t from, uint64_t request, uint64_t link = 1) { send(from, MessageType::GrantRequest, askFor(request), link); }
        void sync(uint32_t from, const std::vector<uint64_t>& running, uint64_t link = 1, Epoch epoch = Epoch(2))
        {
            PoolSync message { PoolId(10), epoch, {}, {} };
            for (auto request : running)
                message.running.push_back({ askFor(request), TargetId(1), false });
            send(from, MessageType::PoolSync, message, link);
        }
        void finish(uint32_t from, uint64_t request)
        {
            AttemptFinished finished;
            finished.pool = PoolId(10);
            finished.attempt = askFor(request).attempt;
            send(from, MessageType::AttemptFinished, finished);
        }
        void pass(Duration time)
        {
            clock_.now += time;
            host_->tick();
        }
        size_t grantsTo(uint32_t node) const { return transport_.answered<Grant>(MessageType::Grant, NodeId(node)).size(); }

        ManualClock clock_;
        FakeTransport transport_;
        MetricRegistry metrics_;
        ClusterConfig config_;
        bool hasLease_ { true };
        int configAsks_ { 0 };
        std::unique_ptr<PoolHost> host_;
    };

    // Guards against a new owner that grants targets which are still busy with an earlier owner's grants.
    TEST_F(PoolHostTest, TakeoverCollectsWhatRunsBeforeItGrants)
    {
        assign(modelPool(10, Epoch(2), 1));
        ask(2, 100);
        sync(1, {});
        sync(2, {});
        EXPECT_EQ(grantsTo(2), 0u);
        sync(3, { 50 });
        EXPECT_TRUE(host_->isActive(PoolId(10)));
        EXPECT_EQ(grantsTo(2), 0u);
        finish(3, 50);
        ASSERT_EQ(grantsTo(2), 1u);
        EXPECT_EQ(transport_.answered<Grant>(MessageType::Grant, NodeId(2))[0].epoch, Epoch(2));
    }

    // Guards against a takeover that a silent node blocks for good.
    TEST_F(PoolHostTest, TakeoverWaitsForSyncsAtMostHalfASecond)
    {
        assign(modelPool(10, Epoch(2), 1));
        ask(2, 100);
        sync(1, {});
        pass(499ms);
        EXPECT_EQ(grantsTo(2), 0u);
        pass(1ms);
        EXPECT_EQ(grantsTo(2), 1u);
    }

    // Guards against a sync that was meant for an earlier owner.
    TEST_F(PoolHostTest, SyncWithAnOldEpochIsIgnored)
    {
        assign(modelPool(10, Epoch(2), 1));
        for (uint32_t node = 1; node <= 3; ++node)
            sync(node, {}, 1, Epoch(1));
        EXPECT_FALSE(host_->isActive(PoolId(10)));
    }

    // Guards against two owners that grant at the same time.
    TEST_F(PoolHostTest, EarlierOwnerIsWaitedOut)
    {
        assign(modelPool(10, Epoch(2), 1, 2));
        for (uint32_t node = 1; node <= 3; ++node)
            sync(node, {});
        ask(3, 100);
        send(3, MessageType::PoolRelease, PoolRelease { PoolId(10), Epoch(2) });
        send(2, MessageType::PoolRelease, PoolRelease { PoolId(10), Epoch(1) });
        pass(3149ms);
        EXPECT_EQ(grantsTo(3), 0u);
        pass(1ms);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against a planned handover that stops the pool for the time of a lease; the release may even come first.
    TEST_F(PoolHostTest, ReleaseEndsTheWaitForTheEarlierOwner)
    {
        ask(3, 100);
        EXPECT_EQ(configAsks_, 0);
        send(2, MessageType::PoolRelease, PoolRelease { PoolId(10), Epoch(2) });
        EXPECT_EQ(configAsks_, 1);
        assign(modelPool(10, Epoch(2), 1, 2));
        for (uint32_t node = 1; node <= 3; ++node)
            sync(node, {});
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against grants after the handover, and against a release that is lost while the link is down.
    TEST_F(PoolHostTest, HandoverStopsGrantsAndTellsTheNewOwner)
    {
        own();
        ask(3, 100);
        ask(3, 101);
        ASSERT_EQ(grantsTo(3), 1u);
        transport_.unreachable.insert(NodeId(2));
        assign(modelPool(10, Epoch(3), 2, 1));
        EXPECT_EQ(host_->poolCount(), 0u);
        EXPECT_TRUE(host_->isHandingOver());
        finish(3, 100);
        ask(3, 102);
        EXPECT_EQ(grantsTo(3), 1u);
        transport_.unreachable.clear();
        pass(20ms);
        auto releases = transport_.posted<PoolRelease>(MessageType::PoolRelease, NodeId(2));
        ASSERT_EQ(releases.size(), 1u);
        EXPECT_EQ(releases[0].epoch, Epoch(3));
        EXPECT_FALSE(host_->isHandingOver());
    }

    // Guards against grants under an ended lease, and against forgetting afterwards what is running.
    TEST_F(PoolHostTest, NoGrantsWithoutALease)
    {
        own();
        ask(2, 100);
        hasLease_ = false;
        ask(3, 101);
        finish(2, 100);
        ask(3, 102);
        pass(20ms);
        EXPECT_EQ(grantsTo(3), 0u);
        hasLease_ = true;
        pass(20ms);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against a second submission, or a lost grant, when an entry asks again over a new link.
    TEST_F(PoolHostTest, RepeatedAskGetsTheSameGrant)
    {
        own();
        ask(2, 100);
        ask(2, 100);
        EXPECT_EQ(OneSlotScheduler::submissions, 1);
        auto grants = transport_.answered<Grant>(MessageType::Grant, NodeId(2));
        ASSERT_EQ(grants.size(), 2u);
        EXPECT_EQ(grants[0].target, grants[1].target);
    }

    // Guards against targets that stay taken by an entry that died, and against freeing those of one that only lost its link.
    TEST_F(PoolHostTest, AttemptsOfALostEntryAreFreedAfterTheLeaseTime)
    {
        own();
        ask(2, 100);
        ask(3, 101);
        host_->onEntryClosed(NodeId(2));
        pass(3s);
        host_->onEntryOpen(NodeId(2));
        pass(1s);
        EXPECT_EQ(grantsTo(3), 0u);
        host_->onEntryClosed(NodeId(2));
        pass(3149ms);
        EXPECT_EQ(grantsTo(3), 0u);
        pass(1ms);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against targets that stay taken because AttemptFinished or GrantCancellation was lost with a link.
    TEST_F(PoolHostTest, SyncOverANewLinkFreesWhatTheEntryNoLongerHas)
    {
        own();
        ask(2, 100);
        ask(3, 101);
        sync(2, {}, 1);
        EXPECT_EQ(grantsTo(3), 0u);
        sync(2, {}, 2);
        EXPECT_EQ(grantsTo(3), 1u);
    }

    // Guards against an earlier life of this node's process that is taken for this one.
    TEST_F(PoolHostTest, PoolOfAnotherIncarnationIsNotAdopted)
    {
        auto assignment = modelPool(10, Epoch(2), 1);
        assignment.ownerIncarnation = Incarnation(9);
        assign(assignment);
        EXPECT_EQ(host_->poolCount(), 0u);
    }

    /** A host whose pool 10 has targets 1 and 2, with one slot each and the policy "slots". */
    class TargetNoticeTest : public PoolHostTest {
    protected:
        TargetNoticeTest()
        {
            PoolHostSettings settings;
            settings.self = NodeId(1);
            settings.incarnation = Incarnation(1);
            settings.region = "lakes";
            settings.pool.policy = "slots";
            host_ = std::make_unique<PoolHost>(settings, transport_, metrics_, PoolHostHooks { [] { return true; }, [] {}, clock_.hook() });
            for (uint32_t id : { 1, 2 }) {
                Target target;
                target.id = TargetId(id);
                target.pool = PoolId(10);
                target.slots = 1;
                config_.targets[target.id] = target;
            }
            own();
        }

        std::vector<TargetId> grantsTo(uint32_t node) const
        {
            std::vector<TargetId> targets;
            for (const auto& grant : transport_.answered<Grant>(MessageType::Grant, NodeId(node)))
                targets.push_back(grant.target);
            return targets;
        }
    };

    // Guards against grants for a target that has said it leaves, and entries that go on choosing it by themselves.
    TEST_F(TargetNoticeTest, LeavingTargetIsGrantedToNobodyAndAllEntriesLearnIt)
    {
        host_->onEntryOpen(NodeId(2));
        host_->onEntryOpen(NodeId(3));
        send(2, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), true, 0 });
        send(3, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), true, 0 });
        EXPECT_EQ(transport_.answered<TargetAvailabilityNotice>(MessageType::TargetAvailabilityNotice, NodeId(3)).size(), 1u) << "once, however many entries tell it";
        for (uint64_t request : { 1, 2, 3 }) {
            ask(3, request);
            finish(3, request);
        }
        EXPECT_EQ(grantsTo(3), (std::vector<TargetId>(3, TargetId(2))));
        config_.targets[TargetId(1)].bornMs = 5;
        host_->onConfigChange(config_);
        ask(3, 4);
        ask(3, 5);
        EXPECT_EQ(grantsTo(3).size(), 5u) << "its new incarnation is used";
    }

    // Guards against a target that sends node after node away, and is forgotten after its pause.
    TEST_F(TargetNoticeTest, TargetThatPausesSeveralNodesRestsUntilThePauseEnds)
    {
        for (uint32_t node : { 1, 2, 3 })
            send(node, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { PoolId(10), TargetId(1), false, 1000 });
        ask(2, 1);
        ask(2, 2);
        EXPECT_EQ(grantsTo(2), std::vector<TargetId> { TargetId(2) });
        pass(1000ms);
        EXPECT_EQ(grantsTo(2).size(), 2u);
    }

}
}
