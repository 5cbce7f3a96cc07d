#include "rollout/RolloutChanges.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Operators resend an order whose answer was lost for at most 5 s; the rest covers the difference between two leaders' clocks. */
    constexpr int64_t resendWindowMs = 10000;
    constexpr uint32_t wholePermille = 1000;

    bool isSameOrder(const Rollout& rollout, const StartRolloutCommand& command)
    {
        return rollout.targetVersion == command.targetVersion && rollout.durationMs == command.durationMs;
    }

    /** Names are written to logs and metric labels as they are. */
    bool isPrintableName(const std::string& name)
    {
        return !name.empty() && std::none_of(name.begin(), name.end(), [](unsigned char c) { return c < ' ' || c == '"' || c == '\\'; });
    }

    RolloutId nextId(const ClusterConfig& config)
    {
        // Records are replaced, never removed, so the highest id is always among them.
        uint64_t highest = 0;
        for (const auto& [service, rollout] : config.rollouts)
            highest = std::max(highest, rollout.id.value());
        return RolloutId(highest + 1);
    }

    bool hasService(const Routing& routing, const std::string& service)
    {
        return std::any_of(routing.services.begin(), routing.services.end(), [&](const RoutedService& routed) { return routed.name == service; });
    }

}

Result<ConfigDelta> startRolloutDelta(const ClusterConfig& config, const StartRolloutCommand& command, int64_t timeMs)
{
    if (!isPrintableName(command.service) || !isPrintableName(command.targetVersion) || command.durationMs == 0 || command.trialPermille > wholePermille)
        return fail(ErrorKind::BadRequest, "a rollout needs a service, a target version and a duration");
    auto known = config.rollouts.find(command.service);
    if (known != config.rollouts.end()) {
        const auto& rollout = known->second;
        bool isRunning = rollout.state == RolloutState::Running;
        if (isSameOrder(rollout, command) && (isRunning || timeMs - rollout.orderedAtMs <= resendWindowMs))
            return ConfigDelta {};
        if (isRunning)
            return fail(ErrorKind::VersionConflict, "service " + command.service + " is being moved to version " + rollout.targetVersion);
    }
    if (!config.routing.version.isValid())
        return fail(ErrorKind::Unavailable, "there is no routing document yet");
    if (!hasService(config.routing, command.service))
        return fail(ErrorKind::NotFound, "the routing document has no service " + command.service);
    ConfigDelta delta;
    delta.rollouts.push_back({ nextId(config), command.service, command.targetVersion, command.durationMs, timeMs,
        RolloutState::Running, RolloutStage::Trial, command.trialPermille });
    return delta;
}

Result<ConfigDelta> advanceRolloutDelta(const ClusterConfig& config, const AdvanceRolloutCommand& command)
{
    auto known = config.rollouts.find(command.expected.service);
    if (known == config.rollouts.end() || known->second != command.expected)
        return fail(ErrorKind::VersionConflict, "the rollout of service " + command.expected.service + " was changed by another command");
    if (known->second.state != RolloutState::Running || command.sharePermille > wholePermille)
        return fail(ErrorKind::BadRequest, "the rollout of service " + command.expected.service + " cannot be changed in this way");
    Rollout rollout = known->second;
    rollout.state = command.state;
    rollout.stage = command.stage;
    rollout.sharePermille = command.sharePermille;
    ConfigDelta delta;
    if (rollout != known->second)
        delta.rollouts.push_back(std::move(rollout));
    return delta;
}

}
