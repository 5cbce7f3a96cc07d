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
    std::optional<Duration> soloAfter {};
    /** How it then decides. */
    PoolSettings soloPolicy {};
};

/** An entry's side of the pools: asks their owners and remembers what this entry has running in them. */
class PoolClient : public PoolGateway {
public:
    PoolClient(Loop& loop, PoolClientSettings settings, const ClusterView& view, NodeTransport& transport, ClockHook now);
    ~PoolClient() override;

    Result<PoolId> findPool(PoolKind kind, const std::string& serves) const override;
    Result<Grant> acquire(const GrantRequest& ask, Instant deadline) override;
    void abandon(AttemptId attempt) override;
    bool isCurrent(const Grant& grant) const override;
    void release(const Grant& grant) override;
    void started(const AttemptStarted& started) override;
    void finished(const AttemptFinished& finished) override;
    void notice(const TargetAvailabilityNotice& notice) override;
    bool isRestricted(TargetId target) const override { return restrictions_.isRestricted(target, settings_.self, now_()); }

    /** Sends a target's load to the owner of its pool; dropped if that cannot be reached. */
    void reportLoad(const LoadReport& report);

    /** Grant or GrantRefusal from an owner; others are ignored. */
    void onMessage(MessageType type, std::string_view body);
    /** Syncs with new owners and asks them again. */
    void onConfigChange(const ClusterConfig& config);
    /** A link to this node opened: syncs its pools, because messages may have been lost with the last link. */
    void onNodeOpen(NodeId node);
    /** To be called several times a second: refuses asks whose pool has had no reachable owner for too long. */
    void checkOwners();

    [[nodiscard]] size_t pendingCount() const { return pending_.size(); }
    [[nodiscard]] size_t runningCount() const { return running_.size(); }

private:
    struct Pending;
    struct PoolState {
        Epoch epoch;
        NodeId owner;
        /** Since when the owner cannot be reached; none while it can. */
        std::optional<Instant> unreachableSince;
        Instant lastHeard {};
        /** The owner left an ask without an answer for too long; now and then one more is sent to it. */
        bool isSuspect { false };
        Instant nextProbe {};
    };
    struct Recent {
        PoolId pool;
        RecentAttempt repeat;
        Instant sentAt;
    };

    template <class T>
    void postToOwner(PoolId pool, MessageType type, const T& message);
    void onGrant(const Grant& grant);
    void onRefuse(const GrantRefusal& refuse);
    void onQueued(const GrantQueued& queued);
    void noteRestriction(const TargetAvailabilityNotice& notice);
    /** The ask as it is to be decided now: without targets that want nothing from this node. */
    [[nodiscard]] GrantRequest askNow(const Pending& pending) const;
    /** Tells callers when the targets that asked for a pause take work again, if none else is left. */
    [[nodiscard]] Error refusalOf(const GrantRefusal& refuse, const GrantRequest& ask) const;
    void noteHeard(PoolState& state);
    void sendAsk(const Pending& pending);
    void sync(PoolId pool);
    void adoptAssignment(const PoolAssignment& assignment);
    void remember(const GrantRequest& ask, TargetId target);
    void forgetOld();
    bool isOwnerReachable(PoolState& state);
    bool isOwnerOverdue(PoolState& state);
    void refuseAll(PoolId pool);
    bool mustChooseAlone(PoolState& state);
    PoolScheduler& soloScheduler(PoolId pool);
    void setSoloTargets(PoolId pool, PoolScheduler& scheduler) const;
    void submitSolo(Pending& pending);
    void flushSolo(PoolId pool);
    void takeOverSilent();
    void tickSolo();
    void leaveSolo(PoolId pool, AttemptId attempt);
    [[nodiscard]] Error ownerMissing() const;

    Loop& loop_;
    PoolClientSettings settings_;
    const ClusterView& view_;
    NodeTransport& transport_;
    ClockHook now_;
    TargetRestrictions restrictions_;
    std::map<PoolId, PoolState> pools_;
    std::map<AttemptId, std::shared_ptr<Pending>> pending_;
    std::map<AttemptId, RunningAttempt> running_;
    std::deque<Recent> recent_;
    std::map<PoolId, std::unique_ptr<PoolScheduler>> solo_;
    /** Attempts that the solo schedulers hold, queued or granted. */
    std::set<AttemptId> soloAttempts_;
};

}
