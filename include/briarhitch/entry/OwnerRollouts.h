#pragma once

#include "briarhitch/rollout/PoolRollout.h"
#include "briarhitch/rollout/RolloutObservations.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarhitch {

class MetricRegistry;

/** All must be set. */
struct OwnerRolloutsHooks {
    using RunningAttempts = std::map<AttemptId, std::pair<WorkKindId, TargetId>>;

    /** Sends a report to the control leader; must not block. */
    std::function<void(const RolloutReport&)> report;
    /** Attempts of a pool that were granted a target and have not ended. */
    std::function<RunningAttempts(PoolId)> runningAttempts;
    ClockHook now;
};

/** The rollouts of the pools that a node owns: what their schedulers have to obey, and the reports to the control leader. */
class OwnerRollouts {
public:
    /** Without bounds, rollouts are ignored. */
    OwnerRollouts(NodeId self, std::optional<RolloutBounds> bounds, MetricRegistry& metrics, OwnerRolloutsHooks hooks);

    /** To be called before the schedulers get the targets of the configuration. */
    void onConfigChange(const ClusterConfig& config);
    /** For the pool's scheduler. */
    [[nodiscard]] std::optional<PoolRollout> find(PoolId pool) const;
    /** The entry has named the attempts that it runs. */
    void entrySynced(NodeId entry, const PoolSync& sync) { syncedEpochs_[{ sync.pool, entry }] = sync.epoch; }
    /** Until its next sync, the entry may run attempts that this node does not know of. */
    void entryDisconnected(NodeId entry);
    void attemptGranted(const GrantRequest& request, TargetId target);
    void attemptStarted(const AttemptStarted& started);
    void attemptFinished(const AttemptFinished& finished);
    /** Reports on the pool if its rollout runs; to be called often while this node grants requests for the pool. */
    void tick(PoolId pool);

private:
    struct State {
        PoolRollout rollout;
        std::string poolName;
        Epoch epoch;
        RolloutObservations observations;
        Instant nextReportAt {};
    };

    State* findRunning(PoolId pool);
    void logChange(const State& state) const;
    void publishGauges(const State& state) const;
    /** Entries that may run attempts which this node does not know of. */
    [[nodiscard]] uint32_t unsyncedEntryCount(PoolId pool, Epoch epoch) const;
    [[nodiscard]] bool isTargetVersion(const State& state, TargetId target) const;

    NodeId self_;
    std::optional<RolloutBounds> bounds_;
    MetricRegistry& metrics_;
    OwnerRolloutsHooks hooks_;
    Version appliedVersion_;
    std::map<TargetId, std::string> softwareVersions_;
    std::map<PoolId, State> pools_;
    /** Entries that serve callers and are not lost. */
    std::vector<NodeId> entries_;
    /** The epoch of the last sync of each entry that has not lost its link since. */
    std::map<std::pair<PoolId, NodeId>, Epoch> syncedEpochs_;
};

}
