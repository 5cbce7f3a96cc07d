#pragma once

#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/EntryRateLimits.h"
#include "briarhitch/entry/EntryStreamRuns.h"
#include "briarhitch/entry/EntryStreams.h"
#include "briarhitch/entry/EntrySuspects.h"
#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/entry/PoolGateway.h"
#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/sched/TargetRestrictions.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace briarhitch {

class Loop;

struct PoolClientSettings {
    NodeId self;
    std::string region;
    std::string zone;
    /** Time without a reachable pool owner after which requests are refused. */
    Duration ownerTimeout { std::chrono::seconds(6) };
    /** Whether this node holds a lease; without one it must not send requests to targets, even with a grant. */
    std::function<bool()> hasLease;
    /**
     * Time without a reply from the pool owner after which this entry selects targets locally, within its fraction of
     * each target's slots, until the owner replies again. None: only owners select targets.
     */
    std::optional<Duration> localSelectionAfter {};
    /** Scheduling policy for local selection. */
    PoolSettings localSelectionPolicy {};
    EntryStreamsHooks streams {};
    /** None: rollouts restrict nothing. */
    std::optional<RolloutBounds> rollout {};
};

/** The entry's side of pool scheduling: requests grants from pool owners and tracks this entry's running attempts. */
class PoolClient : public PoolGateway {
public:
    PoolClient(Loop& loop, PoolClientSettings settings, const ClusterView& view, NodeTransport& transport, ClockHook now);
    ~PoolClient() override;

    Result<PoolId> findPool(PoolKind kind, const std::string& modelOrService) const override;
    Result<Grant> acquire(const GrantRequest& request, Instant deadline) override;
    void cancelAcquire(AttemptId attempt) override;
    bool isCurrent(const Grant& grant) const override;
    void release(const Grant& grant) override;
    StreamLookup findStream(StreamId stream, Instant deadline) override;
    void reportStarted(const AttemptStarted& started) override;
    void onSuperseded(AttemptId attempt, std::function<void()> hook) override;
    void reportFinished(const AttemptFinished& finished) override;
    void reportAvailability(const TargetAvailabilityNotice& notice) override;
    void reportRateLimit(PoolId pool, const RateLimitObservation& observation) override;
    bool isRateLimited(TargetId target) const override { return rateLimits_.find(target).has_value(); }
    bool isRestricted(TargetId target) const override { return restrictions_.isRestricted(target, settings_.self, now_()); }

    /** Sends a target's load to its pool owner; dropped if the owner is unreachable. */
    void reportLoad(const LoadReport& report);

    /** Handles Grant, the owner's refusal, Queued and TargetNotice; other types are ignored. */
    void onMessage(MessageType type, std::string_view body);
    /** Sends a PoolSync and all pending grant requests to the owners of reassigned pools. */
    void onConfigChange(const ClusterConfig& config);
    /** A link to this node opened: syncs the pools it owns, because messages may have been lost with the previous link. */
    void onOutgoingLinkOpen(NodeId node);
    /**
     * To be called several times a second. Once a pool owner has been unreachable or unresponsive for too long, selects
     * targets locally if that is enabled; otherwise refuses the pending requests after `ownerTimeout`.
     */
    void checkOwners();

    [[nodiscard]] size_t pendingCount() const { return pending_.size(); }
    [[nodiscard]] size_t runningCount() const { return running_.size(); }

private:
    struct PendingRequest;
    struct PoolState {
        Epoch epoch;
        NodeId owner;
        /** When the owner became unreachable; none while it is reachable. */
        std::optional<Instant> unreachableSince;
        Instant lastOwnerMessageAt {};
        /** The owner is reachable, but did not reply to a grant request in time; single requests probe it meanwhile. */
        bool isOwnerUnresponsive { false };
        Instant nextOwnerProbeAt {};
        /** The owner may not know all attempts of this entry: it granted under a new epoch, or was unresponsive. */
        bool isSyncDue { false };
        /** When a sync that is due may be sent to an owner that has not replied yet. */
        Instant nextDueSyncAt {};
    };
    struct PoolRecentAttempt {
        PoolId pool;
        RecentAttempt attempt;
        Instant finishedAt;
    };

    /** acquire() for a request whose software version is known here, if it is known at all. */
    Result<Grant> acquireSlot(const GrantRequest& request, Instant arrivedAt, Instant deadline);
    void onSupersededMessage(const AttemptSuperseded& superseded);
    /** Refuses requests that wait here for a target, if a later one continues their stream. */
    void refuseSuperseded();
    /** Records an attempt before it is sent, and stops those of earlier requests of its stream. */
    void addRunning(const PendingRequest& pending, TargetId target);
    /** Releases a local selection for a stream if the target may have another software version by now. */
    Result<Grant> checkLocalVersion(Result<Grant> grant, Instant deadline);
    template <class T>
    void postToPoolOwner(PoolId pool, MessageType type, const T& message);
    void onGrant(const Grant& grant);
    void onRefusal(const GrantRefusal& refusal);
    void onQueued(const GrantQueued& queued);
    /** Sets the rates for local selection, by the state of each pool's owner. */
    void updateLocalRates();
    void recordRestriction(const TargetAvailabilityNotice& notice);
    /** The grant request with the remaining deadline, and with targets excluded that accept no work from this node now. */
    [[nodiscard]] GrantRequest prepareRequest(const PendingRequest& pending) const;
    /** For NoTarget, retryAfter is at least the time until the first paused target of the pool accepts work again. */
    [[nodiscard]] Error toRefusalError(const GrantRefusal& refusal, const GrantRequest& request) const;
    void recordOwnerMessage(PoolState& state);
    void sendRequest(const PendingRequest& pending);
    void sendPoolSync(PoolId pool);
    void applyAssignment(const PoolAssignment& assignment);
    void recordRecentAttempt(const GrantRequest& request, TargetId target);
    void dropExpiredAttempts();
    bool isOwnerReachable(PoolState& state);
    bool hasOwnerTimedOut(PoolState& state);
    void refusePending(PoolId pool);
    bool mustSelectLocally(PoolState& state);
    PoolScheduler& localScheduler(PoolId pool);
    void setLocalTargets(PoolId pool, PoolScheduler& scheduler) const;
    void submitLocally(PendingRequest& pending);
    void applyLocalActions(PoolId pool);
    void takeOverFromUnresponsiveOwners();
    void tickLocalSchedulers();
    /** Sends a PoolSync to owners for which it is due, if a rollout depends on what they know. */
    void sendDueSyncs();
    void cancelLocally(PoolId pool, AttemptId attempt);
    [[nodiscard]] Error missingOwnerError() const;
    /** Whether the target has announced its end. */
    [[nodiscard]] bool isLeaving(TargetId target) const;

    Loop& loop_;
    PoolClientSettings settings_;
    const ClusterView& view_;
    NodeTransport& transport_;
    ClockHook now_;
    TargetRestrictions restrictions_;
    EntryRateLimits rateLimits_;
    std::map<PoolId, PoolState> pools_;
    std::map<AttemptId, std::shared_ptr<PendingRequest>> pending_;
    std::map<AttemptId, RunningAttempt> running_;
    std::deque<PoolRecentAttempt> recentAttempts_;
    EntrySuspects suspects_;
    EntryStreams streams_;
    EntryStreamRuns streamRuns_;
    std::map<PoolId, std::unique_ptr<PoolScheduler>> localSchedulers_;
    /** Attempts that the local schedulers hold, queued or granted. */
    std::set<AttemptId> localAttempts_;
};

}
