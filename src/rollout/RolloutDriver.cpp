#include "rollout/RolloutDriver.h"

#include "briarhitch/metrics/MetricRegistry.h"

#include <algorithm>
#include <set>

namespace briarhitch {

namespace {

    constexpr size_t maxReasons = 8;
    constexpr double permille = 1000;
    /**
     * Reports with no running request after all nodes have applied Drain. Two, because the first may have been taken before;
     * an owner sends one at a time, so the second was taken after the first had arrived here.
     */
    constexpr uint64_t reportsOfDrain = 2;

    std::vector<PoolId> poolsOf(const ClusterConfig& config, const std::string& service)
    {
        std::set<PoolId> pools;
        for (const auto& [id, target] : config.targets) {
            if (target.serves == service && target.state == TargetState::Active)
                pools.insert(target.pool);
        }
        return { pools.begin(), pools.end() };
    }

    const Rollout* findRunning(const ClusterConfig& config, RolloutId id)
    {
        auto it = std::find_if(config.rollouts.begin(), config.rollouts.end(), [id](const auto& entry) { return entry.second.id == id; });
        return it == config.rollouts.end() || it->second.state != RolloutState::Running ? nullptr : &it->second;
    }

    std::string labelsOf(const std::string& service, std::string_view side)
    {
        return "service=\"" + service + "\",version=\"" + std::string(side) + "\"";
    }

    void publishSide(MetricRegistry& metrics, const std::string& labels, const RolloutCounts& counts)
    {
        metrics.setGauge("control_rollout_granted", labels, static_cast<double>(counts.granted));
        metrics.setGauge("control_rollout_answered", labels, static_cast<double>(counts.answered));
        metrics.setGauge("control_rollout_bad", labels, static_cast<double>(counts.bad));
    }

}

std::string_view toString(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

std::string_view toString(RolloutStage stage)
{
    switch (stage) {
    case RolloutStage::Trial:
        return "trial";
    case RolloutStage::Shift:
        return "shift";
    case RolloutStage::Drain:
        return "drain";
    }
    return "unknown";
}

RolloutDriver::RolloutDriver(const RolloutBounds& bounds, RolloutDriverHooks hooks)
    : controller_(bounds)
    , hooks_(std::move(hooks))
{
}

void RolloutDriver::reset()
{
    running_.clear();
    reasons_.clear();
}

RolloutDriver::Running& RolloutDriver::runningOf(const Rollout& rollout, Version configVersion, Instant now)
{
    auto [it, isNew] = running_.try_emplace(rollout.id);
    if (isNew) {
        it->second.knownSince = now;
        // The change that led to this record is not later than the present configuration.
        startStep(it->second, configVersion, now);
    }
    return it->second;
}

void RolloutDriver::startStep(Running& running, Version version, Instant now) const
{
    running.stepAt = now;
    running.stepVersion = version;
    running.answersAtStep = sumOf(running.judge.totals()).target.answered;
    running.haveNodesApplied = false;
    for (auto& [pool, reports] : running.pools)
        reports.sinceStep = reports.sinceApplied = 0;
}

bool RolloutDriver::addReport(const ClusterConfig& config, NodeId sender, const RolloutReport& report, Instant now)
{
    const auto* rollout = findRunning(config, report.rollout);
    auto pool = config.pools.find(report.pool);
    if (!rollout || pool == config.pools.end() || pool->second.epoch != report.epoch || pool->second.owner != sender)
        return false;
    auto& running = runningOf(*rollout, config.version, now);
    if (!running.tally.add(report))
        return false;
    running.judge.add(now, running.tally.totals());
    auto& reports = running.pools[report.pool];
    if (reports.epoch != report.epoch)
        reports.sinceStep = reports.sinceApplied = 0;
    reports.epoch = report.epoch;
    reports.lastAt = now;
    reports.activeTargets = report.activeTargets;
    reports.runningOnOthers = report.runningOnOthers;
    bool isOfStep = report.appliedVersion >= running.stepVersion;
    reports.sinceStep = isOfStep ? reports.sinceStep + 1 : 0;
    reports.sinceApplied = isOfStep && running.haveNodesApplied ? reports.sinceApplied + 1 : 0;
    return true;
}

RolloutSituation RolloutDriver::situationOf(const Rollout& rollout, const Running& running, const std::vector<PoolId>& pools, Instant now, int64_t wallMs) const
{
    RolloutSituation situation;
    situation.judgement = running.judge.judge();
    situation.elapsed = std::chrono::milliseconds(std::max<int64_t>(0, wallMs - rollout.orderedAtMs));
    auto sum = sumOf(running.judge.totals());
    situation.grantedToTarget = sum.target.granted;
    situation.grantedToAll = sum.target.granted + sum.others.granted;
    situation.grantRate = running.judge.grantRate();
    situation.peakGrantRate = running.judge.peakGrantRate();
    situation.hasLeases = hooks_.hasLeases();
    situation.sinceStep = now - running.stepAt;
    situation.answersSinceStep = sum.target.answered - running.answersAtStep;
    situation.reportsSinceStep = pools.empty() ? 0 : UINT64_MAX;
    situation.isDrained = running.haveNodesApplied && !pools.empty();
    for (auto pool : pools) {
        auto it = running.pools.find(pool);
        auto reports = it == running.pools.end() ? PoolReports {} : it->second;
        situation.reportAge = std::max(situation.reportAge, now - std::max(running.knownSince, reports.lastAt));
        situation.reportsSinceStep = std::min(situation.reportsSinceStep, reports.sinceStep);
        situation.activeTargets += reports.activeTargets;
        // A pool without targets of the target version keeps granting others, although none may run a request at times.
        situation.isDrained = situation.isDrained && reports.sinceApplied >= reportsOfDrain && reports.runningOnOthers == 0 && reports.activeTargets > 0;
    }
    if (pools.empty())
        situation.reportAge = now - running.knownSince;
    return situation;
}

std::vector<RolloutDecision> RolloutDriver::decide(const ClusterConfig& config, Instant now, int64_t wallMs)
{
    std::erase_if(running_, [&](const auto& entry) { return !findRunning(config, entry.first); });
    std::vector<RolloutDecision> decisions;
    for (const auto& [service, rollout] : config.rollouts) {
        if (rollout.state != RolloutState::Running)
            continue;
        auto& running = runningOf(rollout, config.version, now);
        running.haveNodesApplied = running.haveNodesApplied || hooks_.haveNodesApplied(running.stepVersion);
        auto step = controller_.decide(rollout, situationOf(rollout, running, poolsOf(config, service), now, wallMs));
        if (step)
            decisions.push_back({ { rollout, step->state, step->stage, step->sharePermille }, std::move(step->reason) });
    }
    return decisions;
}

void RolloutDriver::onChanged(const Rollout& rollout, Version version, const std::string& reason, Instant now)
{
    auto& reasons = reasons_[rollout.service];
    reasons.push_back(std::string(rollout.state == RolloutState::Running ? toString(rollout.stage) : toString(rollout.state)) + " "
        + std::to_string(rollout.sharePermille) + " permille: " + reason);
    if (reasons.size() > maxReasons)
        reasons.pop_front();
    if (rollout.state == RolloutState::Running)
        startStep(runningOf(rollout, version, now), version, now);
}

std::vector<std::string> RolloutDriver::reasonsOf(const std::string& service) const
{
    auto it = reasons_.find(service);
    return it == reasons_.end() ? std::vector<std::string>() : std::vector<std::string>(it->second.begin(), it->second.end());
}

RolloutSides RolloutDriver::countsOf(RolloutId rollout) const
{
    auto it = running_.find(rollout);
    return it == running_.end() ? RolloutSides {} : sumOf(it->second.judge.totals());
}

void RolloutDriver::publish(const ClusterConfig& config, MetricRegistry& metrics) const
{
    for (const auto& [service, rollout] : config.rollouts) {
        auto label = "service=\"" + service + "\"";
        metrics.setGauge("control_rollout_state", label, static_cast<double>(rollout.state));
        metrics.setGauge("control_rollout_stage", label, static_cast<double>(rollout.stage));
        metrics.setGauge("control_rollout_share", label, rollout.sharePermille / permille);
        if (!running_.contains(rollout.id))
            continue;
        auto counts = countsOf(rollout.id);
        publishSide(metrics, labelsOf(service, "target"), counts.target);
        publishSide(metrics, labelsOf(service, "others"), counts.others);
    }
}

}
