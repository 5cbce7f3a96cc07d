#pragma once

#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/entry/OwnerRateLimits.h"
#include "briarhitch/entry/OwnerRollouts.h"
#include "briarhitch/entry/OwnerStreamRuns.h"
#include "briarhitch/entry/OwnerStreams.h"
#include "briarhitch/entry/OwnerSuspects.h"
#include "briarhitch/entry/OwnerZones.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/sched/TargetRestrictions.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace briarhitch {

class MetricRegistry;

struct PoolHostSettings {
    NodeId self;
    Incarnation incarnation;
    std::string region;
    /** Settings of every pool's scheduler; `kind` is overwritten with that of the pool. */
    PoolSettings pool;
    /** Longest time that a takeover waits for the nodes' PoolSync messages. */
    Duration poolSyncTimeout { std::chrono::milliseconds(500) };
    /** Longest time that another node may consider its lease valid, clock drift included; see docs/design.md 6.1. */
    Duration leaseAndClockDrift { std::chrono::milliseconds(3150) };
    /** None: rollouts restrict nothing. */
    std::optional<RolloutBounds> rollout {};
};

struct PoolHostHooks {
    std::function<bool()> hasLease;
    /** Another node refers to a newer pool assignment: the configuration should be fetched now. */
    std::function<void()> onConfigOutdated;
    /** Records a blocked or cleared suspect in the replicated log. */
    std::function<void(const SuspectVerdict&)> recordSuspect;
    ClockHook now;
    /** Sends a report to the control leader; must not block. May be empty without rollouts. */
    std::function<void(const RolloutReport&)> reportRollout {};
};

/** The pools that this node owns: takeover, grants and handover. Starts no fibers; takes the time from the clock hook. */
class PoolHost {
public:
    PoolHost(PoolHostSettings settings, NodeTransport& transport, MetricRegistry& metrics, PoolHostHooks hooks);
    ~PoolHost();

    void onConfigChange(const ClusterConfig& config);
    /** Handles a message from an entry, or PoolRelease from a previous pool owner. */
    void onMessage(NodeId from, LinkId link, MessageType type, std::string_view body);
    void onEntryConnected(NodeId node);
    /** The entry's last link was closed. */
    void onEntryDisconnected(NodeId node);
    /** To be called every 20 ms while isBusy(), and every 50 ms otherwise. */
    void tick();
    /** Whether any request is queued, or a takeover or handover is in progress. */
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] size_t poolCount() const { return pools_.size(); }
    /** Whether this node may issue grants for the pool now. */
    [[nodiscard]] bool isActive(PoolId pool) const;
    /** Whether a PoolRelease to the new owner of a former pool of this node has not been sent yet. */
    [[nodiscard]] bool isHandingOver() const { return !pendingReleases_.empty(); }

private:
    /** An entry's grant request, queued or granted. */
    struct HostedRequest {
        GrantRequest grantRequest;
        Instant deadline;
        /** When the request arrived at its entry. */
        Instant arrivedAt;
        NodeId entry;
        /** The link of the entry's latest message about this request. */
        LinkId link;
        /** Invalid while the request is queued. */
        TargetId target;
        bool isStarted { false };
    };
    struct Pool {
        PoolAssignment assignment;
        Instant assignedAt;
        /** The previous owner issues no more grants: it sent PoolRelease, or there is none. */
        bool hasPreviousOwnerReleased { false };
        std::set<NodeId> awaitedSyncs;
        std::map<AttemptId, HostedRequest> requests;
        std::vector<RecentAttempt> recentAttempts;
        /** Null during the takeover and while this node has no lease. */
        std::unique_ptr<PoolScheduler> scheduler;
        bool isApplyingActions { false };
    };
    /** A message that arrived before this node learned that it owns the pool. */
    struct EarlyMessage {
        Instant receivedAt;
        NodeId from;
        LinkId link;
        MessageType type;
        std::string body;
    };
    struct PendingRelease {
        NodeId node;
        PoolRelease message;
        Instant since;
    };

    Pool* find(PoolId pool);
    void startTakeover(const PoolAssignment& assignment, const ClusterConfig& config);
    void dropReassignedPools(const ClusterConfig& config);
    void updateActivePools(const ClusterConfig& config);
    void recordLostNodes(const ClusterConfig& config);
    void setTargets(Pool& pool);
    void setContracts(Pool& pool);
    void activateIfReady(Pool& pool);
    void activate(Pool& pool);
    void handle(NodeId from, LinkId link, MessageType type, std::string_view body);
    void bufferEarlyMessage(NodeId from, LinkId link, MessageType type, std::string_view body);
    void replayEarlyMessages();
    void onGrantRequest(NodeId from, LinkId link, const GrantRequest& grantRequest);
    void onStreamSelection(NodeId from, const GrantRequest& grantRequest);
    void onPoolSync(NodeId from, LinkId link, const PoolSync& sync);
    void dropUnlistedRequests(Pool& pool, NodeId from, LinkId link, const PoolSync& sync);
    void restoreAttempt(Pool& pool, NodeId from, LinkId link, const RunningAttempt& running);
    void onCancel(const GrantCancellation& cancel);
    void onStarted(NodeId from, const AttemptStarted& started);
    void onFinished(const AttemptFinished& finished);
    void onLoadReport(const LoadReport& report);
    void onAvailabilityNotice(NodeId from, const TargetAvailabilityNotice& notice);
    /** Presents targets that accept no work from any node to the schedulers as draining, until the restriction ends. */
    void applyRestrictions();
    [[nodiscard]] std::set<TargetId> findRestrictedForAll() const;
    void onRateLimitNotice(NodeId from, const TargetRateLimitNotice& notice);
    /** Adopts what an entry knows of the targets' rate limits; tells all entries what has changed. */
    void mergeRateLimits(NodeId from, const PoolSync& sync);
    void postRateLimit(NodeId entry, const Target& target) const;
    void postRateLimitToAll(const Target& target) const;
    [[nodiscard]] const Target* findTarget(TargetId target) const;
    /** Empty if the target is not listed any more. */
    [[nodiscard]] std::string zoneOf(TargetId target) const;
    void onPoolRelease(NodeId from, const PoolRelease& release);
    [[nodiscard]] OwnerSuspectsHooks suspectHooks();
    [[nodiscard]] OwnerStreamRunsHooks streamRunsHooks();
    [[nodiscard]] OwnerRolloutsHooks rolloutsHooks();
    /** Refuses requests of the pool that wait, or whose grants are held, if a later one continues their stream. */
    void refuseSuperseded(Pool& pool);
    /** `isUnsent`: no target has seen the request under this attempt. */
    void removeRequest(Pool& pool, AttemptId attempt, bool isUnsent);
    /** Hands a request to the scheduler, unless it is blocked or continues an unknown stream. */
    void submit(Pool& pool, AttemptId attempt);
    void refuse(Pool& pool, AttemptId attempt, const Error& error);
    /** Refuses queued requests if a block has begun. */
    void refuseBlocked();
    /** Whether the target has announced its end. */
    [[nodiscard]] bool isLeaving(TargetId target) const;
    void applyActions(Pool& pool);
    void applyAction(Pool& pool, const PoolAction& action);
    void sendGrant(const Pool& pool, const HostedRequest& request);
    void removeRequestsOfLostEntries();
    void sendReleases();
    void publishStats();
    void publishZones(const Pool& pool);

    PoolHostSettings settings_;
    NodeTransport& transport_;
    MetricRegistry& metrics_;
    PoolHostHooks hooks_;
    /** The schedulers refer to its limiter. */
    OwnerRateLimits rateLimits_;
    OwnerSuspects suspects_;
    OwnerStreams streams_;
    OwnerStreamRuns streamRuns_;
    OwnerRollouts rollouts_;
    OwnerZones zones_;
    std::map<PoolId, Pool> pools_;
    std::vector<Target> targets_;
    std::map<CustomerId, Contract> contracts_;
    std::deque<EarlyMessage> earlyMessages_;
    std::map<NodeId, Instant> disconnectedSince_;
    std::set<NodeId> connectedEntries_;
    TargetRestrictions restrictions_;
    /** Targets that accept no work from any node; schedulers see them as draining. */
    std::set<TargetId> restrictedForAll_;
    std::vector<PendingRelease> pendingReleases_;
    Instant statsPublishedAt_;
};

}
