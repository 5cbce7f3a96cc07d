#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/core/Clock.h"
#include "briarhitch/model/ClusterConfig.h"
#include "rollout/RolloutController.h"
#include "rollout/RolloutJudge.h"
#include "rollout/RolloutTally.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarhitch {

class MetricRegistry;

/** What the driver asks of the server that it belongs to. */
struct RolloutDriverHooks {
    /** Whether all nodes that may hold a lease have applied this configuration version. */
    std::function<bool(Version)> haveNodesApplied;
    /** Whether a node may hold a lease. */
    std::function<bool()> hasLeases;
};

struct RolloutDecision {
    AdvanceRolloutCommand command;
    std::string reason;
};

/** At the leader: collects the owners' reports of the running rollouts and decides their next changes. */
class RolloutDriver {
public:
    RolloutDriver(const RolloutBounds& bounds, RolloutDriverHooks hooks);

    [[nodiscard]] uint32_t trialPermille() const { return controller_.trialPermille(); }
    /** False if the report is of no running rollout or not of the pool's present owner. */
    bool addReport(const ClusterConfig& config, NodeId sender, const RolloutReport& report, Instant now);
    /** The changes that are due. `wallMs`: this process's wall clock. */
    std::vector<RolloutDecision> decide(const ClusterConfig& config, Instant now, int64_t wallMs);
    /** To be called with each new record of this leader, and the configuration version that contains it. */
    void onChanged(const Rollout& rollout, Version version, const std::string& reason, Instant now);
    /** Forgets everything, when this process starts or ceases to lead. */
    void reset();
    /** The last decisions for a service, the latest last. */
    [[nodiscard]] std::vector<std::string> reasonsOf(const std::string& service) const;
    /** Counts of both sides; empty if there are no reports. */
    [[nodiscard]] RolloutSides countsOf(RolloutId rollout) const;
    void publish(const ClusterConfig& config, MetricRegistry& metrics) const;

private:
    struct PoolReports {
        Instant lastAt {};
        Epoch epoch;
        uint32_t activeTargets { 0 };
        uint32_t runningOnOthers { 0 };
        /** Reports whose owner had applied the last change. */
        uint64_t sinceStep { 0 };
        /** The same, of those that arrived after all nodes had applied it. */
        uint64_t sinceApplied { 0 };
    };
    struct Running {
        RolloutTally tally;
        RolloutJudge judge;
        std::map<PoolId, PoolReports> pools;
        Instant knownSince {};
        Instant stepAt {};
        /** Configuration version of the last change, or a later one. */
        Version stepVersion;
        uint64_t answersAtStep { 0 };
        bool haveNodesApplied { false };
    };

    Running& runningOf(const Rollout& rollout, Version configVersion, Instant now);
    void startStep(Running& running, Version version, Instant now) const;
    [[nodiscard]] RolloutSituation situationOf(const Rollout& rollout, const Running& running, const std::vector<PoolId>& pools, Instant now, int64_t wallMs) const;

    RolloutController controller_;
    RolloutDriverHooks hooks_;
    std::map<RolloutId, Running> running_;
    std::map<std::string, std::deque<std::string>> reasons_;
};

std::string_view toString(RolloutState state);
std::string_view toString(RolloutStage stage);

}
