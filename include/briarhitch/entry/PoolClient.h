#pragma once

#include "briarhitch/entry/ClusterView.h"
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
    /** Time without a reachable owner after which asks are refused. */
    Duration ownerTimeout { std::chrono::seconds(6) };
    /** Without a lease of its own a node may send nothing, whatever it is granted. */
    std::function<bool()> hasLease;
    /**
     * Silence of a pool's owner after which this entry chooses targets by itself, on its part of each target's slots,
     * until the owner answers again. None: only owners choose.
     */
    std::optional<Duration> localSelectionAfter {};
    /** How it then decides. */
    PoolSettings localSelectionPolicy {};
};

/** An entry's side of the pools: asks their owners and remembers what this entry has running in them. */
class PoolClient : public PoolGateway {
public:
    PoolClient(Loop& loop, PoolClientSettings settings, const ClusterView& view, NodeTransport& transport, ClockHook now);
    ~PoolClient() override;

    Result<PoolId> findPool(PoolKind kind, const std::string& serves) const override;
    Result<Grant> acquire(const Ask& ask, Instant deadline) override;
    void cancelAcquire(AttemptId attempt) override;
    bool isCurrent(const Grant& grant) const override;
    void release(const Grant& grant) override;
    void reportStarted(const Started& started) override;
    void reportFinished(const Finished& finished) override;
    void reportAvailability(const TargetNotice& notice) override;
    bool isRestricted(TargetId target) const override { return restrictions_.isRestricted(target, settings_.self, now_()); }

    /** Sends a target's load to the owner of its pool; dropped if that cannot be reached. */
    void reportLoad(const LoadReport& report);

    /** Grant or Refuse from an owner; others are ignored. */
    void onMessage(MessageType type, std::string_view body);
    /** Syncs with new owners and asks them again. */
    void onConfigChange(const ClusterConfig& config);
    /** A link to this node opened: syncs its pools, because messages may have been lost with the last link. */
    void onOutgoingLinkOpen(NodeId node);
    /** To be called several times a second: refuses asks whose pool has had no reachable owner for too long. */
    void checkOwners();

    [[nodiscard]] size_t pendingCount() const { return pending_.size(); }
    [[nodiscard]] size_t runningCount() const { return running_.size(); }

private:
    struct PendingRequest;
    struct PoolState {
        Epoch epoch;
        NodeId owner;
        /** Since when the owner cannot be reached; none while it can. */
        std::optional<Instant> unreachableSince;
        Instant lastOwnerMessageAt {};
        /** The owner left an ask without an answer for too long; now and then one more is sent to it. */
        bool isOwnerUnresponsive { false };
        Instant nextOwnerProbeAt {};
    };
    struct PoolRecentAttempt {
        PoolId pool;
        RecentRepeat attempt;
        Instant finishedAt;
    };

    template <class T>
    void postToPoolOwner(PoolId pool, MessageType type, const T& message);
    void onGrant(const Grant& grant);
    void onRefusal(const Refuse& refuse);
    void onQueued(const Queued& queued);
    void recordRestriction(const TargetNotice& notice);
    /** The ask as it is to be decided now: without targets that want nothing from this node. */
    [[nodiscard]] Ask prepareRequest(const PendingRequest& pending) const;
    /** Tells callers when the targets that asked for a pause take work again, if none else is left. */
    [[nodiscard]] Error toRefusalError(const Refuse& refuse, const Ask& ask) const;
    void recordOwnerMessage(PoolState& state);
    void sendRequest(const PendingRequest& pending);
    void sendPoolSync(PoolId pool);
    void applyAssignment(const PoolAssignment& assignment);
    void recordRecentAttempt(const Ask& ask, TargetId target);
    void dropExpiredAttempts();
    bool isOwnerReachable(PoolState& state);
    bool hasOwnerTimedOut(PoolState& state);
    void refusePending(PoolId pool);
    bool mustSelectLocally(PoolState& state);
    PoolScheduler& localScheduler(PoolId pool);
    void setLocalTargets(PoolId pool, PoolScheduler& scheduler) const;
    void submitLocally(PendingRequest& pending);
    void applyLocalActions(PoolId pool);
    void takeOverUnresponsive();
    void tickLocalSchedulers();
    void cancelLocally(PoolId pool, AttemptId attempt);
    [[nodiscard]] Error missingOwnerError() const;

    Loop& loop_;
    PoolClientSettings settings_;
    const ClusterView& view_;
    NodeTransport& transport_;
    ClockHook now_;
    TargetRestrictions restrictions_;
    std::map<PoolId, PoolState> pools_;
    std::map<AttemptId, std::shared_ptr<PendingRequest>> pending_;
    std::map<AttemptId, RunningAttempt> running_;
    std::deque<PoolRecentAttempt> recent_;
    std::map<PoolId, std::unique_ptr<PoolScheduler>> localSchedulers_;
    /** Attempts that the solo schedulers hold, queued or granted. */
    std::set<AttemptId> localAttempts_;
};

}
