#include "briarhitch/entry/PoolClient.h"

#include "support/EntryFakes.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** An entry with a PoolClient whose only pool, 10, is owned by node 2 with epoch 5. */
    struct Entry {
        explicit Entry(Loop& loopToUse, std::optional<Duration> localSelectionAfter = std::nullopt, uint32_t selfToUse = 1)
            : loop(loopToUse)
            , localSelectionAfter_(localSelectionAfter)
            , self(selfToUse)
        {
            Target target;
            target.id = TargetId(7);
            target.pool = PoolId(10);
            target.slots = 4;
            config.targets[target.id] = target;
            config.version = Version(1);
            for (uint32_t id = 1; id <= 3; ++id)
                config.nodes[NodeId(id)] = nodeRecord(id);
            assign(modelPool(10, Epoch(5), 2));
        }

        void assign(const PoolAssignment& assignment)
        {
            config.pools[assignment.id] = assignment;
            config.version = Version(config.version.value() + 1);
            HeartbeatReply reply;
            reply.snapshot = config;
            view.apply(reply);
            client.onConfigChange(view.config());
        }

        /** Requests a grant in a new fiber; the result is set when the request has been decided. */
        std::shared_ptr<std::optional<Result<Grant>>> requestGrant(uint64_t requestId)
        {
            auto result = std::make_shared<std::optional<Result<Grant>>>();
            GrantRequest request;
            request.pool = PoolId(10);
            request.attempt = { RequestId(requestId), 1 };
            loop.spawn([this, request, result] { *result = client.acquire(request, clock.now + 1h); });
            sleepFor(loop, 0ms);
            return result;
        }

        void grant(uint64_t request, Epoch epoch)
        {
            client.onMessage(MessageType::Grant, encode(Grant { PoolId(10), { RequestId(request), 1 }, epoch, TargetId(7) }));
            sleepFor(loop, 0ms);
        }

        size_t requestsTo(uint32_t node) const { return transport.posted<GrantRequest>(MessageType::GrantRequest, NodeId(node)).size(); }
        size_t cancelsTo(uint32_t node) const { return transport.posted<GrantCancellation>(MessageType::GrantCancellation, NodeId(node)).size(); }

        Loop& loop;
        ManualClock clock;
        FakeTransport transport;
        ClusterConfig config;
        ClusterView view;
        bool hasLease { true };
        std::optional<Duration> localSelectionAfter_;
        NodeId self;
        std::unique_ptr<PoolClient> owned { std::make_unique<PoolClient>(loop, settings(), view, transport, clock.hook()) };
        PoolClient& client { *owned };

        PoolClientSettings settings()
        {
            PoolClientSettings settings { self, "lakes", "duluth", 6s, [this] { return hasLease; } };
            settings.localSelectionAfter = localSelectionAfter_;
            settings.localSelectionPolicy.policy = "slots";
            settings.rollout = RolloutBounds {};
            return settings;
        }
    };

    // Guards against sending a request under a grant of an owner that has lost the pool.
    TEST(PoolClientTest, GrantOfAnOldEpochIsIgnored)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            auto result = entry.requestGrant(100);
            entry.grant(100, Epoch(4));
            EXPECT_FALSE(result->has_value());
            entry.grant(100, Epoch(5));
            ASSERT_TRUE(result->has_value());
            ASSERT_TRUE(**result);
            EXPECT_TRUE(entry.client.isCurrent(***result));
            entry.assign(modelPool(10, Epoch(6), 3));
            EXPECT_FALSE(entry.client.isCurrent(***result));
        });
    }

    // Guards against grant requests that hang after a takeover, and running attempts that the new owner does not know.
    TEST(PoolClientTest, NewOwnerReceivesSyncAndPendingRequests)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            auto running = entry.requestGrant(100);
            entry.grant(100, Epoch(5));
            auto waiting = entry.requestGrant(101);
            entry.transport.posts.clear();
            entry.assign(modelPool(10, Epoch(6), 3));
            ASSERT_EQ(entry.transport.posts.size(), 2u);
            EXPECT_EQ(entry.transport.posts[0].type, MessageType::PoolSync);
            auto sync = entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(3));
            ASSERT_EQ(sync.size(), 1u);
            EXPECT_EQ(sync[0].epoch, Epoch(6));
            ASSERT_EQ(sync[0].running.size(), 1u);
            EXPECT_EQ(sync[0].running[0].target, TargetId(7));
            EXPECT_EQ(entry.requestsTo(3), 1u);
            entry.grant(101, Epoch(6));
            EXPECT_TRUE(waiting->has_value());
        });
    }

    // Guards against grant requests that are lost with a link and never sent again.
    TEST(PoolClientTest, ReopenedLinkReceivesSyncAndPendingRequests)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            auto waiting = entry.requestGrant(101);
            entry.client.onOutgoingLinkOpen(NodeId(2));
            EXPECT_EQ(entry.requestsTo(2), 2u);
            entry.client.onOutgoingLinkOpen(NodeId(3));
            EXPECT_EQ(entry.requestsTo(2), 2u);
            entry.grant(101, Epoch(5));
            EXPECT_TRUE(waiting->has_value());
        });
    }

    // Guards against requests that wait forever for a pool owner, and against refusals during a takeover of normal length.
    TEST(PoolClientTest, RequestsWithoutAnOwnerAreRefusedAfterTheOwnerTimeout)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            entry.transport.unreachable.insert(NodeId(2));
            auto waiting = entry.requestGrant(100);
            entry.clock.now += 5999ms;
            entry.client.checkOwners();
            sleepFor(loop, 0ms);
            EXPECT_FALSE(waiting->has_value());
            entry.clock.now += 1ms;
            entry.client.checkOwners();
            sleepFor(loop, 0ms);
            ASSERT_TRUE(waiting->has_value());
            EXPECT_EQ((*waiting)->error().kind, ErrorKind::NoOwner);
            EXPECT_EQ((*waiting)->error().ran, Ran::No);
            auto later = entry.requestGrant(101);
            ASSERT_TRUE(later->has_value());
            EXPECT_EQ((*later)->error().kind, ErrorKind::NoOwner);
        });
    }

    // Guards against requests that stay queued at a node that has lost its lease and must not send them.
    TEST(PoolClientTest, RequestsWithoutALeaseAreRefusedAfterTheOwnerTimeout)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            auto waiting = entry.requestGrant(100);
            entry.hasLease = false;
            entry.client.checkOwners();
            entry.clock.now += 6s;
            entry.client.checkOwners();
            sleepFor(loop, 0ms);
            ASSERT_TRUE(waiting->has_value());
            EXPECT_EQ((*waiting)->error().kind, ErrorKind::NoQuorum);
        });
    }

    // Guards against slots that stay occupied by grants for requests that were cancelled.
    TEST(PoolClientTest, CancelledRequestReturnsALateGrant)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            auto waiting = entry.requestGrant(100);
            entry.client.cancelAcquire({ RequestId(100), 1 });
            sleepFor(loop, 0ms);
            ASSERT_TRUE(waiting->has_value());
            EXPECT_EQ((*waiting)->error().kind, ErrorKind::CallerLeft);
            EXPECT_EQ(entry.cancelsTo(2), 1u);
            entry.grant(100, Epoch(5));
            EXPECT_EQ(entry.cancelsTo(2), 2u);
            EXPECT_EQ(entry.client.runningCount(), 0u);
        });
    }

    // Guards against requests that wait for a pool owner that died without closing its connections.
    TEST(PoolClientTest, EntrySelectsLocallyWhileTheOwnerIsUnresponsive)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop, 150ms);
            auto waiting = entry.requestGrant(100);
            entry.clock.now += 100ms;
            entry.client.checkOwners();
            EXPECT_FALSE(waiting->has_value());
            entry.clock.now += 100ms;
            entry.client.checkOwners();
            sleepFor(loop, 0ms);
            ASSERT_TRUE(waiting->has_value());
            ASSERT_TRUE(**waiting);
            EXPECT_EQ((***waiting).target, TargetId(7));
            EXPECT_TRUE(entry.client.isCurrent(***waiting));
            EXPECT_EQ(entry.cancelsTo(2), 1u) << "the owner must not grant the same request";
            auto next = entry.requestGrant(101);
            EXPECT_TRUE(next->has_value()) << "the next request must not wait for the unresponsive owner";
        });
    }

    // Guards against local selection for a request that the owner has confirmed as queued.
    TEST(PoolClientTest, QueuedRequestStaysWithItsOwner)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop, 150ms);
            auto waiting = entry.requestGrant(100);
            entry.client.onMessage(MessageType::GrantQueued, encode(GrantQueued { PoolId(10), { RequestId(100), 1 } }));
            entry.clock.now += 2s;
            entry.client.checkOwners();
            sleepFor(loop, 0ms);
            EXPECT_FALSE(waiting->has_value());
            entry.transport.unreachable.insert(NodeId(2));
            entry.client.checkOwners();
            sleepFor(loop, 0ms);
            EXPECT_TRUE(waiting->has_value()) << "local selection once the owner is unreachable";
        });
    }

    // Guards against entries that together overload a target by local selection, and against attempts that the owner does
    // not learn of when it is reachable again.
    TEST(PoolClientTest, LocalSelectionUsesAFractionOfTheSlotsAndIsReportedToTheOwner)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop, 150ms);
            entry.transport.unreachable.insert(NodeId(2));
            std::vector<std::shared_ptr<std::optional<Result<Grant>>>> results;
            for (uint64_t id = 100; id < 104; ++id)
                results.push_back(entry.requestGrant(id));
            auto granted = std::count_if(results.begin(), results.end(), [](const auto& result) { return result->has_value(); });
            EXPECT_EQ(granted, 2) << "1.5 times a third of 4 slots";
            entry.transport.unreachable.clear();
            entry.transport.posts.clear();
            entry.client.onOutgoingLinkOpen(NodeId(2));
            auto sync = entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(2));
            ASSERT_EQ(sync.size(), 1u);
            EXPECT_EQ(sync[0].running.size(), 2u);
            EXPECT_EQ(entry.requestsTo(2), 2u);
            entry.grant(102, Epoch(5));
            entry.grant(103, Epoch(5));
            EXPECT_TRUE(results[3]->has_value());
        });
    }

    // Guards against entries without an owner that each send a version which is tried the owner's share.
    TEST(PoolClientTest, LocalSelectionLeavesOutTheVersionThatIsTried)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop, 150ms);
            entry.config.targets[TargetId(7)].softwareVersion = "v2";
            auto old = entry.config.targets[TargetId(7)];
            old.id = TargetId(8);
            old.softwareVersion = "v1";
            entry.config.targets[old.id] = old;
            entry.config.rollouts["m7"] = { RolloutId(1), "m7", "v2", 12000, 0, RolloutState::Running, RolloutStage::Trial, 60 };
            entry.assign(modelPool(10, Epoch(6), 2));
            entry.transport.unreachable.insert(NodeId(2));
            std::vector<std::shared_ptr<std::optional<Result<Grant>>>> results;
            for (uint64_t id = 100; id < 104; ++id)
                results.push_back(entry.requestGrant(id));
            auto isGranted = [](const auto& result) { return result->has_value() && **result && (**result)->target == TargetId(8); };
            EXPECT_EQ(std::count_if(results.begin(), results.end(), isGranted), 2) << "1.5 times a third of 4 slots";
            EXPECT_FALSE(results[3]->has_value());
            entry.config.rollouts["m7"].stage = RolloutStage::Drain;
            entry.assign(modelPool(10, Epoch(6), 2));
            sleepFor(loop, 0ms);
            ASSERT_TRUE(results[3]->has_value() && **results[3]);
            EXPECT_EQ((**results[3])->target, TargetId(7));
        });
    }

    // Guards against a rollout that completes because its owner does not know of a request on an old target that an entry
    // selected while the owner was suspended; without a rollout nothing more is sent than before.
    TEST(PoolClientTest, LocalRunsAreReportedToAnOwnerThatRespondsAgain)
    {
        runInFiber([](Loop& loop) {
            for (bool hasRollout : { false, true }) {
                Entry entry(loop, 150ms);
                if (hasRollout)
                    entry.config.rollouts["m7"] = { RolloutId(1), "m7", "v2", 12000, 0, RolloutState::Running, RolloutStage::Trial, 60 };
                entry.assign(modelPool(10, Epoch(6), 2));
                auto local = entry.requestGrant(100);
                entry.clock.now += 200ms;
                entry.client.checkOwners();
                sleepFor(loop, 0ms);
                ASSERT_TRUE(local->has_value() && **local);
                entry.transport.posts.clear();
                entry.client.checkOwners();
                EXPECT_TRUE(entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(2)).empty());
                entry.grant(999, Epoch(6));
                entry.client.checkOwners();
                entry.client.checkOwners();
                auto syncs = entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(2));
                ASSERT_EQ(syncs.size(), hasRollout ? 1u : 0u);
                EXPECT_EQ(hasRollout ? syncs[0].running.size() : 1u, 1u);
                entry.grant(998, Epoch(7));
                entry.client.checkOwners();
                EXPECT_EQ(entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(2)).size(), hasRollout ? 2u : 0u) << "a new epoch";
            }
        });
    }

    // Load: no request after the one that met a suspended owner. Guards against a rollout that completes while that request runs
    // on an old target, because nothing else makes the owner reply to the entry.
    TEST(PoolClientTest, LocalRunsAreReportedToAnOwnerThatIsNotAskedAgain)
    {
        runInFiber([](Loop& loop) {
            for (bool hasRollout : { false, true }) {
                Entry entry(loop, 150ms);
                if (hasRollout)
                    entry.config.rollouts["m7"] = { RolloutId(1), "m7", "v2", 12000, 0, RolloutState::Running, RolloutStage::Trial, 60 };
                entry.assign(modelPool(10, Epoch(6), 2));
                auto local = entry.requestGrant(100);
                entry.clock.now += 200ms;
                entry.client.checkOwners();
                sleepFor(loop, 0ms);
                ASSERT_TRUE(local->has_value() && **local);
                entry.transport.posts.clear();
                for (size_t count : { 1U, 2U }) {
                    entry.clock.now += 200ms;
                    entry.client.checkOwners();
                    entry.client.checkOwners();
                    auto syncs = entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(2));
                    ASSERT_EQ(syncs.size(), hasRollout ? count : 0u);
                    EXPECT_EQ(hasRollout ? syncs.back().running.size() : 1u, 1u);
                }
            }
        });
    }

    // Guards against overload when many entries lose a pool's owner and each sends at least one request to every target.
    TEST(PoolClientTest, LocalSelectionOfManyEntriesIsSpreadOverTheTargets)
    {
        runInFiber([](Loop& loop) {
            constexpr uint32_t entries = 60;
            constexpr uint32_t targets = 40;
            size_t granted = 0;
            for (uint32_t self = 1; self <= entries; ++self) {
                Entry entry(loop, 150ms, self);
                entry.transport.unreachable.insert(NodeId(2));
                for (uint32_t id = 1; id <= entries; ++id)
                    entry.config.nodes[NodeId(id)] = nodeRecord(id);
                entry.config.targets.clear();
                for (uint32_t id = 1; id <= targets; ++id) {
                    Target target;
                    target.id = TargetId(id);
                    target.name = "t" + std::to_string(id);
                    target.pool = PoolId(10);
                    target.slots = 8;
                    entry.config.targets[target.id] = target;
                }
                entry.assign(modelPool(10, Epoch(6), 2));
                std::vector<std::shared_ptr<std::optional<Result<Grant>>>> results;
                for (uint64_t id = 100; id < 100 + targets; ++id)
                    results.push_back(entry.requestGrant(id));
                granted += static_cast<size_t>(std::count_if(results.begin(), results.end(), [](const auto& result) { return result->has_value(); }));
                for (uint64_t id = 100; id < 100 + targets; ++id)
                    entry.client.cancelAcquire({ RequestId(id), 1 });
                sleepFor(loop, 0ms);
            }
            size_t slots = 8 * targets;
            EXPECT_GE(granted, slots);
            EXPECT_LE(granted, 2 * slots);
        });
    }

    // Guards against requests of this node that reach a target which has asked it for a pause.
    TEST(PoolClientTest, RestrictedTargetsAreExcludedFromRequests)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop);
            entry.client.reportAvailability({ PoolId(10), TargetId(7), false, 1500 });
            EXPECT_EQ(entry.transport.posted<TargetAvailabilityNotice>(MessageType::TargetAvailabilityNotice, NodeId(2)).size(), 1u);
            EXPECT_TRUE(entry.client.isRestricted(TargetId(7)));
            auto waiting = entry.requestGrant(100);
            auto requests = entry.transport.posted<GrantRequest>(MessageType::GrantRequest, NodeId(2));
            ASSERT_EQ(requests.size(), 1u);
            EXPECT_EQ(requests[0].excluded, std::vector { TargetId(7) });
            entry.client.onMessage(MessageType::GrantRefusal, encode(GrantRefusal { PoolId(10), { RequestId(100), 1 }, ErrorKind::NoTarget, 500, "" }));
            sleepFor(loop, 0ms);
            ASSERT_TRUE(waiting->has_value());
            ASSERT_FALSE(**waiting);
            EXPECT_EQ((*waiting)->error().retryAfter, Duration(1500ms)) << "no target accepts work before the end of the pause";
            entry.clock.now += 1500ms;
            EXPECT_FALSE(entry.client.isRestricted(TargetId(7)));
        });
    }

    // Guards against a limit that a malformed header ends, against a report of each response instead of each change, and against
    // a new owner that is not told what the entry knows.
    TEST(PoolClientTest, RateLimitChangesAreReportedToTheOwnerAndToTheNextOwner)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop, 150ms);
            auto notices = [&] { return entry.transport.posted<TargetRateLimitNotice>(MessageType::TargetRateLimitNotice, NodeId(2)); };
            entry.client.reportRateLimit(PoolId(10), { TargetId(7), RequestRate(2.5), entry.clock.now - 40ms });
            entry.client.reportRateLimit(PoolId(10), { TargetId(7), RequestRate(2.5), entry.clock.now });
            entry.clock.now += 1s;
            entry.client.reportRateLimit(PoolId(10), { TargetId(7), {}, entry.clock.now, false });
            EXPECT_TRUE(entry.client.isRateLimited(TargetId(7)));
            ASSERT_EQ(notices().size(), 1u);
            EXPECT_EQ(notices()[0].limit, RequestRate(2.5));
            EXPECT_EQ(notices()[0].ageMs, 40u);
            entry.assign(modelPool(10, Epoch(6), 3));
            auto sync = entry.transport.posted<PoolSync>(MessageType::PoolSync, NodeId(3));
            ASSERT_EQ(sync.size(), 1u);
            ASSERT_EQ(sync[0].rateLimits.size(), 1u);
            EXPECT_EQ(sync[0].rateLimits[0].limit, RequestRate(2.5));
            EXPECT_EQ(sync[0].rateLimits[0].ageMs, 1000u);
        });
    }

    // Guards against an entry that selects a leaving target, or a new owner that grants it, because only other nodes were
    // notified.
    TEST(PoolClientTest, LeavingTargetIsLearnedFromTheOwnerAndReportedToTheNextOwner)
    {
        runInFiber([](Loop& loop) {
            Entry entry(loop, 150ms);
            entry.client.onMessage(MessageType::TargetAvailabilityNotice, encode(TargetAvailabilityNotice { PoolId(10), TargetId(7), true, 0 }));
            EXPECT_TRUE(entry.client.isRestricted(TargetId(7)));
            entry.transport.posts.clear();
            entry.assign(modelPool(10, Epoch(6), 3));
            auto notices = entry.transport.posted<TargetAvailabilityNotice>(MessageType::TargetAvailabilityNotice, NodeId(3));
            ASSERT_EQ(notices.size(), 1u);
            EXPECT_TRUE(notices[0].isLeaving);
            EXPECT_EQ(entry.transport.posts.front().type, MessageType::TargetAvailabilityNotice) << "the owner may grant as soon as it has the sync";
            entry.transport.unreachable.insert(NodeId(3));
            auto result = entry.requestGrant(101);
            ASSERT_TRUE(result->has_value());
            EXPECT_FALSE(**result);
        });
    }

}
}
