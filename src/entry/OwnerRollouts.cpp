#include "briarhitch/entry/OwnerRollouts.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration reportInterval = 250ms;

    const Log& rolloutLog()
    {
        static const Log log("pool:");
        return log;
    }

    std::string stageName(const Rollout& rollout)
    {
        if (rollout.state == RolloutState::Completed)
            return "completed";
        if (rollout.state == RolloutState::RolledBack)
            return "rolled_back";
        if (rollout.stage == RolloutStage::Trial)
            return "trial";
        return rollout.stage == RolloutStage::Shift ? "shift" : "drain";
    }

    std::string_view versionLabel(bool isTargetVersion)
    {
        return isTargetVersion ? std::string_view(",version=\"target\"") : std::string_view(",version=\"other\"");
    }

}

OwnerRollouts::OwnerRollouts(NodeId self, std::optional<RolloutBounds> bounds, MetricRegistry& metrics, OwnerRolloutsHooks hooks)
    : self_(self)
    , bounds_(bounds)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

void OwnerRollouts::onConfigChange(const ClusterConfig& config)
{
    appliedVersion_ = config.version;
    entries_ = callerServingNodes(config);
    softwareVersions_.clear();
    if (config.rollouts.empty() || !bounds_) {
        pools_.clear();
        return;
    }
    for (const auto& [id, target] : config.targets)
        softwareVersions_[id] = target.softwareVersion;
    std::erase_if(pools_, [&](const auto& entry) {
        auto assigned = config.pools.find(entry.first);
        return assigned == config.pools.end() || assigned->second.owner != self_;
    });
    for (const auto& [id, assignment] : config.pools) {
        auto rollout = assignment.owner == self_ ? findPoolRollout(config, id, bounds_) : std::nullopt;
        if (!rollout)
            continue;
        auto& state = pools_[id];
        bool isKnown = state.epoch == assignment.epoch && state.rollout.rollout.id == rollout->rollout.id;
        // The leader adds up the counters of all epochs, so each one starts at zero.
        if (!isKnown)
            state = State { *rollout, assignment.name, assignment.epoch, {} };
        bool hasChanged = !isKnown || state.rollout.rollout != rollout->rollout;
        state.rollout = *rollout;
        if (hasChanged)
            logChange(state);
        publishGauges(state);
    }
}

void OwnerRollouts::logChange(const State& state) const
{
    const auto& rollout = state.rollout.rollout;
    rolloutLog().event("rollout", { { "pool", state.poolName }, { "target_version", rollout.targetVersion }, { "stage", stageName(rollout) }, { "share_permille", int64_t(rollout.sharePermille) }, { "new_targets", int64_t(state.rollout.targetVersionTargets) }, { "other_targets", int64_t(state.rollout.otherTargets) }, { "config_version", static_cast<int64_t>(appliedVersion_.value()) } });
}

void OwnerRollouts::publishGauges(const State& state) const
{
    const auto& rollout = state.rollout.rollout;
    auto pool = absl::StrCat("pool=\"", state.poolName, "\"");
    bool isShared = rollout.state == RolloutState::Running && rollout.stage != RolloutStage::Drain;
    auto share = isShared ? rollout.sharePermille : rollout.state == RolloutState::RolledBack ? 0U
                                                                                              : 1000U;
    metrics_.setGauge("pool_rollout_share_permille", pool, static_cast<double>(share));
    for (bool isTargetVersion : { false, true })
        metrics_.setGauge("pool_rollout_running", absl::StrCat(pool, std::string(versionLabel(isTargetVersion))), static_cast<double>(state.observations.runningCount(isTargetVersion)));
}

std::optional<PoolRollout> OwnerRollouts::find(PoolId pool) const
{
    auto found = pools_.find(pool);
    if (found == pools_.end())
        return std::nullopt;
    auto rollout = found->second.rollout;
    // The scheduler that used the slack may have been replaced, because the lease had ended for some time.
    if (found->second.observations.hasGranted(true))
        rollout.slack = 0;
    return rollout;
}

void OwnerRollouts::entryDisconnected(NodeId entry)
{
    std::erase_if(syncedEpochs_, [&](const auto& synced) { return synced.first.second == entry; });
}

uint32_t OwnerRollouts::unsyncedEntryCount(PoolId pool, Epoch epoch) const
{
    return static_cast<uint32_t>(std::count_if(entries_.begin(), entries_.end(), [&](NodeId entry) {
        auto synced = syncedEpochs_.find({ pool, entry });
        return synced == syncedEpochs_.end() || synced->second != epoch;
    }));
}

OwnerRollouts::State* OwnerRollouts::findRunning(PoolId pool)
{
    auto found = pools_.find(pool);
    return found == pools_.end() || found->second.rollout.rollout.state != RolloutState::Running ? nullptr : &found->second;
}

bool OwnerRollouts::isTargetVersion(const State& state, TargetId target) const
{
    // A target that is not listed any more counts as one of the others: they must have no work left before the rollout ends.
    auto found = softwareVersions_.find(target);
    return found != softwareVersions_.end() && found->second == state.rollout.rollout.targetVersion;
}

void OwnerRollouts::attemptGranted(const GrantRequest& request, TargetId target)
{
    auto* state = findRunning(request.pool);
    if (!state)
        return;
    bool isTarget = isTargetVersion(*state, target);
    state->observations.attemptGranted(request.attempt, request.kind, isTarget);
    metrics_.count("pool_rollout_granted_total", absl::StrCat("pool=\"", state->poolName, "\"", std::string(versionLabel(isTarget))));
}

void OwnerRollouts::attemptStarted(const AttemptStarted& started)
{
    if (auto* state = findRunning(started.pool))
        state->observations.attemptStarted(started.attempt, std::chrono::milliseconds(started.firstTokenMs));
}

void OwnerRollouts::attemptFinished(const AttemptFinished& finished)
{
    if (auto* state = findRunning(finished.pool))
        state->observations.attemptFinished(finished.attempt, finished.outcome, std::chrono::milliseconds(finished.durationMs));
}

void OwnerRollouts::tick(PoolId pool)
{
    auto* state = findRunning(pool);
    if (!state || hooks_.now() < state->nextReportAt)
        return;
    state->nextReportAt = hooks_.now() + reportInterval;
    auto running = hooks_.runningAttempts(pool);
    auto& observations = state->observations;
    observations.retain([&](AttemptId attempt) { return running.contains(attempt); });
    for (const auto& [attempt, granted] : running) {
        if (!observations.contains(attempt))
            observations.attemptAdopted(attempt, granted.first, isTargetVersion(*state, granted.second));
    }
    RolloutReport report { state->rollout.rollout.id, pool, state->epoch, appliedVersion_, observations.counters() };
    report.runningOnTargetVersion = observations.runningCount(true);
    // An entry without a link selects targets itself. The rollout must not complete while one might use an old target.
    report.runningOnOthers = observations.runningCount(false) + unsyncedEntryCount(pool, state->epoch);
    report.activeTargets = state->rollout.targetVersionTargets;
    publishGauges(*state);
    hooks_.report(report);
}

}
