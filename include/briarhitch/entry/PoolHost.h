#pragma once

#include "briarhitch/entry/NodeTransport.h"
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
    /** For every pool; the kind is set for each. */
    PoolSettings pool;
    /** Longest wait for the nodes' PoolSync. */
    Duration poolSyncTimeout { std::chrono::milliseconds(500) };
    /** Lease and drift of another node; see docs/design.md 6.1. */
    Duration leaseAndClockDrift { std::chrono::milliseconds(3150) };
};

struct PoolHostHooks {
    std::function<bool()> hasLease;
    /** Another node knows of a newer assignment: the configuration should be asked for now. */
    std::function<void()> onConfigOutdated;
    ClockHook now;
};

/** The pools that this node owns: takeover, grants, handover. Runs no fibers; time comes from the clock hook. */
class PoolHost {
public:
    PoolHost(PoolHostSettings settings, NodeTransport& transport, MetricRegistry& metrics, PoolHostHooks hooks);
    ~PoolHost();

    void onConfigChange(const ClusterConfig& config);
    /** A message from an entry, or PoolRelease from a former owner. */
    void onMessage(NodeId from, LinkId link, MessageType type, std::string_view body);
    void onEntryConnected(NodeId node);
    /** The entry has no link open any more. */
    void onEntryDisconnected(NodeId node);
    /** To be called every 20 ms while isBusy(), and every 50 ms otherwise. */
    void tick();
    /** Whether anything is queued, or a takeover or handover is going on. */
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] size_t poolCount() const { return pools_.size(); }
    /** Whether this node may issue grants for the pool now. */
    [[nodiscard]] bool isActive(PoolId pool) const;
    /** Whether a former owner still waits to tell a new one that it issues no more grants. */
    [[nodiscard]] bool isHandingOver() const { return !pendingReleases_.empty(); }

private:
    /** A request of an entry, queued or granted. */
    struct HostedRequest {
        Ask grantRequest;
        Instant deadline;
        NodeId entry;
        /** The link over which the entry asked last. */
        LinkId link;
        /** None while it is queued. */
        TargetId target;
        bool isStarted { false };
    };
    struct Pool {
        PoolAssignment assignment;
        Instant assignedAt;
        /** The earlier owner certainly issues no more grants. */
        bool hasPreviousOwnerReleased { false };
        std::set<NodeId> awaitedSyncs;
        std::map<AttemptId, HostedRequest> requests;
        std::vector<RecentRepeat> recentAttempts;
        /** None during the takeover and while this node has no lease. */
        std::unique_ptr<PoolScheduler> scheduler;
        bool isApplyingActions { false };
    };
    /** A message that came before this node learned that it owns the pool. */
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
    void onGrantRequest(NodeId from, LinkId link, const Ask& ask);
    void onPoolSync(NodeId from, LinkId link, const PoolSync& sync);
    void dropUnlistedRequests(Pool& pool, NodeId from, LinkId link, const PoolSync& sync);
    void restoreAttempt(Pool& pool, NodeId from, LinkId link, const RunningAttempt& running);
    void onCancel(const Cancel& cancel);
    void onStarted(const Started& started);
    void onFinished(const Finished& finished);
    void onLoadReport(const LoadReport& report);
    void onAvailabilityNotice(NodeId from, const TargetNotice& notice);
    /** Keeps targets that want no work from anybody out of the pools' decisions, and takes them back in time. */
    void applyRestrictions();
    [[nodiscard]] std::set<TargetId> findRestrictedForAll() const;
    void onPoolRelease(NodeId from, const PoolRelease& release);
    void removeRequest(Pool& pool, AttemptId attempt);
    void applyActions(Pool& pool);
    void applyAction(Pool& pool, const PoolAction& action);
    void sendGrant(const Pool& pool, const HostedRequest& hosted);
    void removeRequestsOfLostEntries();
    void sendReleases();
    void publishStats();

    PoolHostSettings settings_;
    NodeTransport& transport_;
    MetricRegistry& metrics_;
    PoolHostHooks hooks_;
    std::map<PoolId, Pool> pools_;
    std::vector<Target> targets_;
    std::map<CustomerId, Contract> contracts_;
    std::deque<EarlyMessage> earlyMessages_;
    std::map<NodeId, Instant> disconnectedSince_;
    std::set<NodeId> connectedEntries_;
    TargetRestrictions restrictions_;
    /** Targets that the schedulers do not know as active because of the restrictions. */
    std::set<TargetId> restrictedForAll_;
    std::vector<PendingRelease> pendingReleases_;
    Instant statsPublishedAt_;
};

}
